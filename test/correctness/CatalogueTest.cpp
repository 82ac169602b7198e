/** \file
 * The tables in docs/ list exactly the program's result codes and events.
 */
#include "base/EventCode.h"
#include "base/ResultCode.h"

#include <doctest/doctest.h>
#include <fstream>
#include <set>
#include <sstream>

using namespace wrenhinge;

namespace {

/// Reads the `| number | NAME |` table rows of a page in docs/.
std::set<std::string> rowsOf(const std::string& file)
{
    std::ifstream in(std::string(WRENHINGE_DOCS) + "/" + file);
    std::set<std::string> rows;
    for (std::string line; std::getline(in, line);) {
        std::istringstream words(line);
        std::string bar, number, name;
        words >> bar >> number >> bar >> name;
        if (!number.empty() && std::isdigit(static_cast<unsigned char>(number[0])))
            rows.insert(number + " " + name);
    }
    return rows;
}

} // namespace

TEST_CASE("docs/EVENTS.md lists every event")
{
    std::set<std::string> events;
    for (const auto& row : allEvents())
        events.insert(std::to_string(static_cast<int>(row.code)) + " " + std::string(row.name));
    CHECK(events == rowsOf("EVENTS.md"));
}

TEST_CASE("docs/ERRORS.md lists every result code")
{
    std::set<std::string> codes;
    for (const auto code : allResultCodes())
        codes.insert(std::to_string(static_cast<int>(code)) + " " + std::string(nameOf(code)));
    CHECK(codes == rowsOf("ERRORS.md"));
}
