/** \file
 * JSON that others wrote, read strictly: each field has a type and a range, and a fault names the field, what came and what is
 * expected.
 *
 * Reading a number straight into an unsigned type wraps round: -1 became the highest version of all, which no later one could
 * follow. And what is nested deeper than the stack ends the process when it is copied or written.
 */
#pragma once

#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace wrenhinge {

using Json = nlohmann::json;

/// What is wrong with a field. Caught where the library's own faults are.
class FieldFault : public Json::exception {
public:
    explicit FieldFault(const std::string& what)
        : Json::exception(0, what.c_str())
    {
    }
};

enum class DuplicateKeys : std::uint8_t { LastCounts, Refused };

/// The JSON value in `text`; throws Json::exception if it isn't exactly one, or nests too deep.
/// \param duplicates the same key twice in the outermost object: two readers may take different ones.
/// \param take sees each value as it is read, and says whether it is kept; for LastCounts only.
Json readJson(const std::string& text, DuplicateKeys duplicates, const Json::parser_callback_t& take = nullptr);
/// Why reading failed, short and without the bytes that can't be shown.
std::string reasonOf(const Json::exception&);

class Fields {
public:
    struct Whole {
        std::uint64_t low = 0;
        std::uint64_t high = std::numeric_limits<std::uint64_t>::max();
    };

    /// \param owner names the object in faults, such as "route 'x'". Both must live as long as this.
    Fields(const Json& object, std::string owner);

    [[nodiscard]] bool has(const char* name) const { return m_object.contains(name); }
    [[nodiscard]] std::string text(const char* name) const;
    [[nodiscard]] std::string textOr(const char* name, const std::string& absent) const;
    /// A text that is one of these. \returns its position.
    [[nodiscard]] std::size_t oneOf(const char* name, const std::vector<std::string>& words) const;
    /// Written without a fraction or exponent.
    [[nodiscard]] std::uint64_t whole(const char* name, Whole) const;
    /// From zero, also written as `2.0`; above `high` it counts as that.
    [[nodiscard]] std::uint64_t count(const char* name, std::uint64_t high) const;
    [[nodiscard]] std::uint64_t countOr(const char* name, std::uint64_t high, std::uint64_t absent) const;
    /// From zero.
    [[nodiscard]] double number(const char* name) const;
    [[nodiscard]] double numberOr(const char* name, double absent) const;
    [[nodiscard]] bool flag(const char* name) const;
    [[nodiscard]] bool flagOr(const char* name, bool absent) const;
    [[nodiscard]] const Json& list(const char* name) const;
    /// Throws: the field is not what is expected.
    [[noreturn]] void refuse(const char* name, const std::string& expected) const;

private:
    [[nodiscard]] const Json& at(const char* name, const std::string& expected) const;

    const Json& m_object;
    std::string m_owner;
};

} // namespace wrenhinge
