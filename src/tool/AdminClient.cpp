#include "tool/AdminClient.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <deque>
#include <set>

namespace wrenhinge::tool {

namespace {

    constexpr int requestTimeoutMs = 8000;

    Error unreachableError(const std::string& address, const std::string& why)
    {
        return { ResultCode::ConnectFailed, "no answer from " + address + ": " + why + "; check --admin" };
    }

} // namespace

Result<AdminResponse> callAdmin(const std::string& address, const std::string& method, const std::string& path, const std::string& body)
{
    auto colon = address.rfind(':');
    auto port = colon == std::string::npos ? std::string() : address.substr(colon + 1);
    if (port.empty() || port.size() > 5 || port.find_first_not_of("0123456789") != std::string::npos)
        return unreachableError(address, "it is not IP:PORT");
    try {
        cxxtools::http::Client client(address.substr(0, colon), static_cast<unsigned short>(std::stoul(port)));
        auto query = path.find('?');
        cxxtools::http::Request request(path.substr(0, query));
        request.method(method);
        if (query != std::string::npos)
            request.qparams(path.substr(query + 1));
        if (!body.empty())
            request.body() << body;
        client.execute(request, cxxtools::Milliseconds(requestTimeoutMs));
        const auto& reply = client.readBody();
        AdminResponse response { static_cast<int>(reply.httpReturnCode()), {}, reply.body() };
        response.json = nlohmann::json::parse(response.text, nullptr, false);
        return response;
    } catch (const std::exception& e) {
        return unreachableError(address, e.what());
    }
}

Result<std::vector<ProcessInfo>> discoverProcesses(const std::string& address)
{
    std::vector<ProcessInfo> processes;
    std::set<std::string> seen { address };
    std::deque<std::string> pending { address };
    while (!pending.empty()) {
        auto current = pending.front();
        pending.pop_front();
        auto response = callAdmin(current, "GET", "/peers");
        if (!response && processes.empty() && pending.empty())
            return response.error();
        if (!response || !response.value().json.is_array())
            continue;
        bool isFirst = true;
        for (const auto& peer : response.value().json) {
            ProcessInfo process { peer.value("name", ""), peer.value("role", ""), peer.value("site", ""), peer.value("zone", ""),
                peer.value("admin", "") };
            bool isNew = !process.admin.empty() && seen.insert(process.admin).second;
            if (isNew)
                pending.push_back(process.admin);
            // The first entry is the process that answers.
            if (std::exchange(isFirst, false))
                processes.push_back(process);
        }
    }
    return processes;
}

} // namespace wrenhinge::tool
