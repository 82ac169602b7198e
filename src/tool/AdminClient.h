/** \file
 * The tool's side of the admin pages: one JSON call to one process, by the HTTP client of cxxtools.
 */
#pragma once

#include "base/ResultCode.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace wrenhinge::tool {

struct AdminResponse {
    int status = 0;
    nlohmann::json json;
    std::string text; ///< The body as it came.
};

/// \returns the answer, or an Error if nobody answered at `address`.
Result<AdminResponse> callAdmin(
    const std::string& address, const std::string& method, const std::string& path, const std::string& body = "");

/// A process that can be asked.
struct ProcessInfo {
    std::string name;
    std::string role;
    std::string site;
    std::string zone;
    std::string admin;
};

/// All processes that can be found from `address` on, by asking each for its peers.
Result<std::vector<ProcessInfo>> discoverProcesses(const std::string& address);

} // namespace wrenhinge::tool
