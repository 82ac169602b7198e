/** \file
 * Strict reading of JSON from other programs: each field has a type and a range, and an error names the field, its value and what is
 * expected.
 *
 * Converting a number directly to an unsigned type would wrap around: -1 would become the highest version number, which no later version
 * could exceed. Deeply nested values would overflow the stack when they are copied or written.
 */
#pragma once

#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace wrenhinge {

using Json = nlohmann::json;

/// An invalid field. Derived from the library's exception, so that both are caught together.
class FieldFault : public Json::exception {
public:
    explicit FieldFault(const std::string& what)
        : Json::exception(0, what.c_str())
    {
    }
};

enum class DuplicateKeys : std::uint8_t { LastCounts, Refused };

/// Parses the JSON value in `text`. Throws Json::exception if there isn't exactly one, if it is nested too deeply, or if it has so many
/// values that it would take many times its size in memory.
/// \param duplicates what to do if the outermost object has a key twice, which two parsers may read differently.
/// \param take the parser's callback, which decides which values are kept; for LastCounts only.
Json readJson(const std::string& text, DuplicateKeys duplicates, const Json::parser_callback_t& take = nullptr);
/// A short reason for a parse error, without unprintable bytes.
std::string reasonOf(const Json::exception&);

class Fields {
public:
    struct Whole {
        std::uint64_t low = 0;
        std::uint64_t high = std::numeric_limits<std::uint64_t>::max();
    };

    /// \param owner names the object in errors, such as "route 'x'". The object must outlive this.
    Fields(const Json& object, std::string owner);

    [[nodiscard]] bool has(const char* name) const { return m_object.contains(name); }
    [[nodiscard]] std::string text(const char* name) const;
    [[nodiscard]] std::string textOr(const char* name, const std::string& absent) const;
    /// \returns the index of the text in `words`; any other text is an error.
    [[nodiscard]] std::size_t oneOf(const char* name, const std::vector<std::string>& words) const;
    /// A whole number, written without a fraction or exponent.
    [[nodiscard]] std::uint64_t whole(const char* name, Whole) const;
    /// A whole number from zero, which may be written as `2.0`. Numbers above `high` are read as `high`.
    [[nodiscard]] std::uint64_t count(const char* name, std::uint64_t high) const;
    [[nodiscard]] std::uint64_t countOr(const char* name, std::uint64_t high, std::uint64_t absent) const;
    /// A number from zero.
    [[nodiscard]] double number(const char* name) const;
    [[nodiscard]] double numberOr(const char* name, double absent) const;
    [[nodiscard]] bool flag(const char* name) const;
    [[nodiscard]] bool flagOr(const char* name, bool absent) const;
    [[nodiscard]] const Json& list(const char* name) const;
    /// Throws the error that the field is not what is expected.
    [[noreturn]] void refuse(const char* name, const std::string& expected) const;

private:
    [[nodiscard]] const Json& at(const char* name, const std::string& expected) const;

    const Json& m_object;
    std::string m_owner;
};

} // namespace wrenhinge
