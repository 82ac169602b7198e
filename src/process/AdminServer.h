/** \file
 * The operators' side of each process: short JSON and text replies over HTTP, by the server of cxxtools.
 *
 * cxxtools gathers each reply whole before it sends it, which is right for these and wrong for token streams; the
 * request path therefore runs on CallerServer instead.
 */
#pragma once

#include "base/ResultCode.h"

#include <functional>
#include <memory>
#include <string>

namespace wrenhinge {

struct AdminRequest {
    std::string method;
    std::string path;
    std::string query; ///< As it came, such as `request=…`.
    std::string body;
};

struct AdminReply {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

class AdminServer {
public:
    using Handler = std::function<AdminReply(const AdminRequest&)>;

    AdminServer();
    ~AdminServer();

    /// Serves `handler` on threads of its own. \returns the bound address.
    Result<std::string> start(const std::string& address, Handler handler);
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// The value of a parameter in a query, or empty.
std::string queryValue(const std::string& query, const std::string& name);

} // namespace wrenhinge
