#include "connection/HeaderFields.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    constexpr std::string_view separator = ": ";
    constexpr std::string_view lineEnd = "\r\n";

} // namespace

bool isSameName(std::string_view a, std::string_view b)
{
    // Most names differ in length, and a caller may send thousands.
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lowerCase(x) == lowerCase(y); });
}

std::size_t HeaderFields::Iterator::lineIn(std::string_view rest)
{
    // A value has no line end in it, so one character is enough to look for.
    auto end = rest.find(lineEnd.back());
    return end == std::string_view::npos ? rest.size() : end + 1 - lineEnd.size();
}

HeaderFields::Field HeaderFields::Iterator::operator*() const
{
    auto line = m_rest.substr(0, m_line);
    auto nameEnd = line.find(separator.front());
    return { line.substr(0, nameEnd), line.substr(nameEnd + separator.size()) };
}

HeaderFields::Iterator& HeaderFields::Iterator::operator++()
{
    m_rest.remove_prefix(m_line + lineEnd.size());
    m_line = lineIn(m_rest);
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
