/** \file
 * The header fields of a request, kept as one text.
 *
 * A list of strings takes up to sixty times the bytes of a short field, so a head inside its limit of bytes could take hundreds of
 * kilobytes for as long as its request is in progress.
 */
#pragma once

#include "message/Messages.h"

#include <initializer_list>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>

namespace wrenhinge {

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
        std::string_view m_rest; ///< Starts with the present field.
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
    /// As on the wire: a line for each field.
    [[nodiscard]] const std::string& text() const { return m_text; }
    [[nodiscard]] std::size_t bytes() const { return m_text.capacity(); }
    void reserve(std::size_t bytes) { m_text.reserve(bytes); }

private:
    std::string m_text;
};

} // namespace wrenhinge
