/** \file
 * Formats rows as a plain-text table with aligned columns.
 */
#pragma once

#include <string>
#include <vector>

namespace wrenhinge::tool {

/// A table whose first row holds the column headers.
class Table {
public:
    explicit Table(std::vector<std::string> headers)
        : m_rows { std::move(headers) }
    {
    }
    void addRow(std::vector<std::string> cells) { m_rows.push_back(std::move(cells)); }
    /// \returns the table, one line a row, each column as wide as its widest cell.
    [[nodiscard]] std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace wrenhinge::tool
