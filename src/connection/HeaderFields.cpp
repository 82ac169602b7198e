#include "connection/HeaderFields.h"

#include "connection/HttpText.h"

namespace wrenhinge {

namespace {

    constexpr std::string_view separator = ": ";
    constexpr std::string_view lineEnd = "\r\n";

} // namespace

HeaderFields::Field HeaderFields::Iterator::operator*() const
{
    auto line = m_rest.substr(0, m_rest.find(lineEnd));
    auto nameEnd = line.find(separator);
    return { line.substr(0, nameEnd), line.substr(nameEnd + separator.size()) };
}

HeaderFields::Iterator& HeaderFields::Iterator::operator++()
{
    m_rest.remove_prefix(m_rest.find(lineEnd) + lineEnd.size());
    return *this;
}

HeaderFields::HeaderFields(const HeaderList& list)
{
    for (const auto& [name, value] : list)
        add(name, value);
}

void HeaderFields::add(std::string_view name, std::string_view value)
{
    m_text.append(name).append(separator).append(value).append(lineEnd);
}

std::optional<std::string_view> HeaderFields::value(std::string_view name) const
{
    for (const auto& field : *this) {
        if (isSameName(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

} // namespace wrenhinge
