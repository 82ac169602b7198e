/** \file
 * The client of the processes' admin HTTP servers: sends one request to one process, with the HTTP client of cxxtools.
 */
#pragma once

#include "base/ResultCode.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace wrenhinge::tool {

struct AdminResponse {
    int status = 0; ///< The HTTP status.
    nlohmann::json json; ///< The parsed body; `is_discarded()` if the body is not JSON.
    std::string text; ///< The unparsed body.
};

/// Sends one HTTP request to the admin server at `address` (IP:PORT).
/// \returns the response, whatever its HTTP status, or ConnectFailed if the address is malformed or the request fails or times out.
Result<AdminResponse> callAdmin(
    const std::string& address, const std::string& method, const std::string& path, const std::string& body = "");

/// A process as its own admin server describes it.
struct ProcessInfo {
    std::string name;
    std::string role;
    std::string site;
    std::string zone;
    std::string admin; ///< The address of its admin server.
};

/// Discovers all processes reachable from the one at `address`: requests the peers of each discovered process in turn.
/// A process that doesn't respond is left out. \returns an Error if the process at `address` is unreachable.
Result<std::vector<ProcessInfo>> discoverProcesses(const std::string& address);

} // namespace wrenhinge::tool
