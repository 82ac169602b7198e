/** \file
 * Makes a sidecar's calls to its upstream over HTTP/1.1 (Boost.Beast). A call is cancelled by closing its connection.
 *
 * Each call has its own connection: a reused one may have been closed by the upstream just before, and then it is unknown whether a call
 * that may not be repeated has run. On loopback a new connection takes a few tens of microseconds.
 */
#pragma once

#include "connection/Asio.h"
#include "request/sidecar/SidecarEvents.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace wrenhinge {

class UpstreamClient {
public:
    using Report = std::function<void(sidecar::Event)>;

    /// \param report is called with CallHead, CallData, CallEnd, CallPrefilled and CallFailed events, from any thread.
    UpstreamClient(IoContext&, Tcp::endpoint, Report report);

    void start(UpstreamCall);
    /// Closes the call's connection. No further events of it are reported.
    void abort(CallId);
    void releaseResult(const std::string& kvParams);

private:
    class Exchange;

    IoContext& m_io;
    Tcp::endpoint m_endpoint;
    Report m_report;
    std::mutex m_mutex; ///< Guards the table only; no callback runs under it.
    std::map<CallId, std::weak_ptr<Exchange>> m_exchanges;
};

} // namespace wrenhinge
