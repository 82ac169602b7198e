/** \file
 * The header fields of a request, kept as one text.
 *
 * A list of strings takes up to sixty times the bytes of a short field, so a head inside its limit of bytes could take hundreds of
 * kilobytes for as long as its request is in progress.
 */
#pragma once

#include "message/Messages.h"

#include <array>
#include <initializer_list>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>

namespace wrenhinge {

/// Of a character of a header's name. The function of the standard library asks the locale each time.
constexpr char lowerCase(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

/// Compares header names, which are not case-sensitive.
bool isSameName(std::string_view, std::string_view);

class HeaderFields {
public:
    struct Field {
        std::string_view name;
        std::string_view value;
    };

    class Iterator {
    public:
        using iterator_category = std::input_iterator_tag;
        using value_type = Field;
        using difference_type = std::ptrdiff_t;
        using pointer = const Field*;
        using reference = Field;

        Iterator() = default;
        explicit Iterator(std::string_view rest)
            : m_rest(rest)
            , m_line(lineIn(rest))
        {
        }
        Field operator*() const;
        Iterator& operator++();
        Iterator operator++(int)
        {
            auto former = *this;
            ++*this;
            return former;
        }
        bool operator==(const Iterator& other) const { return m_rest.size() == other.m_rest.size(); }

    private:
        static std::size_t lineIn(std::string_view rest);

        std::string_view m_rest; ///< Starts with the present field.
        std::size_t m_line = 0; ///< Bytes of the present field, without the line end.
    };

    HeaderFields() = default;
    HeaderFields(const HeaderList&);
    HeaderFields(std::initializer_list<HeaderList::value_type> fields)
        : HeaderFields(HeaderList(fields))
    {
    }

    /// \param name without a colon, \param value without a line end, as a parser gives them.
    void add(std::string_view name, std::string_view value);
    [[nodiscard]] Iterator begin() const { return Iterator(m_text); }
    [[nodiscard]] static Iterator end() { return {}; }
    [[nodiscard]] bool empty() const { return m_text.empty(); }
    /// The first value of a field; names are not case-sensitive.
    [[nodiscard]] std::optional<std::string_view> value(std::string_view name) const;
    /// The first value of each of several fields. A caller may send thousands of fields, so they are looked through once.
    template <std::size_t count>
    [[nodiscard]] std::array<std::optional<std::string_view>, count> values(const std::array<std::string_view, count>& names) const
    {
        std::array<std::optional<std::string_view>, count> found;
        for (const auto& field : *this) {
            for (std::size_t i = 0; i < count; ++i) {
                if (!found[i] && isSameName(field.name, names[i]))
                    found[i] = field.value;
            }
        }
        return found;
    }
    /// As on the wire: a line for each field.
    [[nodiscard]] const std::string& text() const { return m_text; }
    [[nodiscard]] std::size_t bytes() const { return m_text.capacity(); }
    void reserve(std::size_t bytes) { m_text.reserve(bytes); }

private:
    std::string m_text;
};

} // namespace wrenhinge
