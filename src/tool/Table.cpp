#include "tool/Table.h"

#include <algorithm>

namespace wrenhinge::tool {

std::string Table::text() const
{
    std::vector<std::size_t> widths;
    for (const auto& row : m_rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string out;
    for (const auto& row : m_rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        out += line + "\n";
    }
    return out;
}

} // namespace wrenhinge::tool
