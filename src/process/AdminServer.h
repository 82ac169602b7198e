/** \file
 * The HTTP server of each process for operators: short JSON and text replies, served by cxxtools.
 *
 * cxxtools buffers each reply completely before sending it. That suits these replies, but not token streams, so inference requests
 * are served by CallerServer instead.
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
    std::string query; ///< As received, not decoded, such as `request=…`.
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

    /// Starts serving; `handler` is called on the server's own threads. \returns the bound address.
    Result<std::string> start(const std::string& address, Handler handler);
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// The value of a query parameter, not decoded, or empty if it is missing.
std::string queryValue(const std::string& query, const std::string& name);

} // namespace wrenhinge
