/** \file
 * Aligned columns for people.
 */
#pragma once

#include <string>
#include <vector>

namespace wrenhinge::tool {

class Table {
public:
    explicit Table(std::vector<std::string> headers)
        : m_rows { std::move(headers) }
    {
    }
    void addRow(std::vector<std::string> cells) { m_rows.push_back(std::move(cells)); }
    [[nodiscard]] std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace wrenhinge::tool
