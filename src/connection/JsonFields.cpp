#include "connection/JsonFields.h"

#include "connection/MessageCheck.h"

#include <cmath>
#include <optional>
#include <set>

namespace wrenhinge {

namespace {

    /// What is read here nests seven times at most.
    constexpr int deepestNesting = 64;
    /// Bytes of a field's content that a fault shows, and of a whole fault.
    constexpr std::size_t shownBytes = 40;
    constexpr std::size_t longestReason = 300;

    /// A value takes up to a hundred bytes, where its text may have two. The largest documents in use have some ten thousands.
    constexpr std::size_t mostValues = 300'000;

    /// Counted before parsing: a text of brackets only takes fifty times its size in memory once it is parsed.
    /// \returns what is wrong with the text's shape, or nothing.
    std::optional<std::string> shapeFault(const std::string& text)
    {
        int depth = 0;
        std::size_t values = 1;
        bool isInText = false;
        for (std::size_t i = 0; i < text.size(); ++i) {
            char c = text[i];
            if (isInText) {
                i += c == '\\' ? 1 : 0;
                isInText = c != '"';
                continue;
            }
            isInText = c == '"';
            bool isOpening = c == '[' || c == '{';
            depth += isOpening ? 1 : 0;
            depth -= c == ']' || c == '}' ? 1 : 0;
            values += isOpening || c == ',' || c == ':' ? 1 : 0;
            if (depth > deepestNesting)
                return "it nests deeper than " + std::to_string(deepestNesting) + " levels";
            if (values > mostValues)
                return "it has more than " + std::to_string(mostValues) + " values";
        }
        return std::nullopt;
    }

    std::string shown(const Json& value)
    {
        if (value.is_string())
            return "'" + readable(value.get_ref<const std::string&>(), shownBytes) + "'";
        if (value.is_structured())
            return value.is_array() ? "a list" : "an object";
        return value.dump();
    }

    bool isWholeFloat(const Json& value, double high)
    {
        if (!value.is_number_float())
            return false;
        auto n = value.get<double>();
        return n >= 0 && (n >= high || n == std::floor(n));
    }

} // namespace

Json readJson(const std::string& text, DuplicateKeys duplicates, const Json::parser_callback_t& take)
{
    if (auto fault = shapeFault(text))
        throw FieldFault(*fault);
    if (duplicates == DuplicateKeys::LastCounts)
        return Json::parse(text, take);
    std::set<std::string> keys;
    return Json::parse(text, [&keys](int depth, Json::parse_event_t event, Json& parsed) {
        bool isKey = event == Json::parse_event_t::key && depth == 1;
        if (isKey && !keys.insert(parsed.get_ref<const std::string&>()).second)
            throw FieldFault("`" + readable(parsed.get_ref<const std::string&>(), shownBytes) + "` stands twice");
        return true;
    });
}

std::string reasonOf(const Json::exception& e)
{
    // The library opens with a number of its own in brackets.
    std::string_view what = e.what();
    if (auto end = what.find("] "); what.starts_with("[json.") && end != std::string_view::npos)
        what.remove_prefix(end + 2);
    return readable(what, longestReason);
}

Fields::Fields(const Json& object, std::string owner)
    : m_object(object)
    , m_owner(std::move(owner))
{
    if (!object.is_object())
        throw FieldFault(m_owner + " must be an object, but is " + shown(object));
}

void Fields::refuse(const char* name, const std::string& expected) const
{
    auto it = m_object.find(name);
    auto came = it == m_object.end() ? "is missing" : "is " + shown(*it);
    throw FieldFault("`" + std::string(name) + "` of " + m_owner + " " + came + "; it must be " + expected);
}

const Json& Fields::at(const char* name, const std::string& expected) const
{
    auto it = m_object.find(name);
    if (it == m_object.end())
        refuse(name, expected);
    return *it;
}

std::string Fields::text(const char* name) const
{
    constexpr auto expected = "a text";
    const auto& value = at(name, expected);
    if (!value.is_string())
        refuse(name, expected);
    return value.get<std::string>();
}

std::string Fields::textOr(const char* name, const std::string& absent) const { return has(name) ? text(name) : absent; }

std::size_t Fields::oneOf(const char* name, const std::vector<std::string>& words) const
{
    std::string expected;
    for (const auto& word : words)
        expected += (expected.empty() ? "'" : " or '") + word + "'";
    const auto& value = at(name, expected);
    for (std::size_t i = 0; i < words.size(); ++i) {
        if (value.is_string() && value.get_ref<const std::string&>() == words[i])
            return i;
    }
    refuse(name, expected);
}

std::uint64_t Fields::whole(const char* name, Whole range) const
{
    auto expected = "a whole number from " + std::to_string(range.low) + " to " + std::to_string(range.high);
    const auto& value = at(name, expected);
    bool isInRange = value.is_number_unsigned() && value.get<std::uint64_t>() >= range.low && value.get<std::uint64_t>() <= range.high;
    if (!isInRange)
        refuse(name, expected);
    return value.get<std::uint64_t>();
}

std::uint64_t Fields::count(const char* name, std::uint64_t high) const
{
    constexpr auto expected = "a whole number from 0";
    const auto& value = at(name, expected);
    if (value.is_number_unsigned())
        return std::min(value.get<std::uint64_t>(), high);
    if (!isWholeFloat(value, static_cast<double>(high)))
        refuse(name, expected);
    auto n = value.get<double>();
    return n >= static_cast<double>(high) ? high : static_cast<std::uint64_t>(n);
}

std::uint64_t Fields::countOr(const char* name, std::uint64_t high, std::uint64_t absent) const
{
    return has(name) ? count(name, high) : absent;
}

double Fields::number(const char* name) const
{
    constexpr auto expected = "a number from 0";
    const auto& value = at(name, expected);
    if (!value.is_number() || !(value.get<double>() >= 0))
        refuse(name, expected);
    return value.get<double>();
}

double Fields::numberOr(const char* name, double absent) const { return has(name) ? number(name) : absent; }

bool Fields::flag(const char* name) const
{
    constexpr auto expected = "true or false";
    const auto& value = at(name, expected);
    if (!value.is_boolean())
        refuse(name, expected);
    return value.get<bool>();
}

bool Fields::flagOr(const char* name, bool absent) const { return has(name) ? flag(name) : absent; }

const Json& Fields::list(const char* name) const
{
    constexpr auto expected = "a list";
    const auto& value = at(name, expected);
    if (!value.is_array())
        refuse(name, expected);
    return value;
}

} // namespace wrenhinge
