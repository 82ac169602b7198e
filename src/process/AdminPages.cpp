#include "process/AdminPages.h"

#include "connection/CallerProtocol.h"

namespace wrenhinge {

using Json = nlohmann::json;

AdminPages::AdminPages(const Settings& settings, Runtime& runtime, Sources sources)
    : m_settings(settings)
    , m_runtime(runtime)
    , m_sources(std::move(sources))
{
}

AdminReply AdminPages::json(const Json& value, int status)
{
    return { status, "application/json", value.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n" };
}

AdminReply AdminPages::error(const Error& error) { return { httpStatusOf(error.code), "application/json", errorBody(error, {}) + "\n" }; }

AdminReply AdminPages::notFound(const std::string& path)
{
    return { 404, "application/json",
        errorBody({ ResultCode::UnknownService, "no page " + path + " here; see docs/OPERATING.md" }, {}) + "\n" };
}

std::optional<AdminReply> AdminPages::answer(const AdminRequest& request) const
{
    if (request.path == "/healthz")
        return AdminReply { 200, "text/plain", "ok\n" };
    if (request.path == "/readyz")
        return m_sources.isReady() ? AdminReply { 200, "text/plain", "ready\n" } : AdminReply { 503, "text/plain", "not ready\n" };
    if (request.path == "/peers")
        return json(peers());
    if (request.path == "/timeline")
        return json(timeline(queryValue(request.query, "request")));
    return std::nullopt;
}

Json AdminPages::identity() const
{
    return { { "name", m_settings.name }, { "role", nameOf(m_settings.role) }, { "site", m_settings.site }, { "zone", m_settings.zone },
        { "id", toString(m_runtime.self()) }, { "admin", m_adminAddress } };
}

Json AdminPages::peers() const
{
    auto list = Json::array({ identity() });
    for (const auto& peer : m_sources.peers()) {
        list.push_back({ { "name", peer.name }, { "role", nameOf(peer.role) }, { "site", peer.site }, { "zone", peer.zone },
            { "id", toString(peer.id) }, { "admin", peer.adminAddress } });
    }
    return list;
}

Json AdminPages::timeline(const std::string& request) const
{
    auto list = Json::array();
    for (const auto& event : m_runtime.log().events(request)) {
        list.push_back({ { "wall_us", event.stamp.wallMicros }, { "logical", event.stamp.logical }, { "process", m_settings.name },
            { "event", static_cast<int>(event.code) }, { "name", nameOf(event.code) }, { "request", event.request },
            { "text", event.text } });
    }
    return list;
}

Json toJson(const LoadReport& load)
{
    return { { "slots", load.slots }, { "occupied", load.occupied }, { "queued", load.queued }, { "backlog_us", load.backlog.count() },
        { "urgent_backlog_us", load.urgentBacklog.count() }, { "fixed_cost_us", load.fixedCost.count() },
        { "us_per_token", load.microsPerToken }, { "mean_hold_us", load.meanHold.count() },
        { "token_interval_us", load.tokenInterval.count() }, { "draining", load.draining } };
}

Json toJson(const Configuration& configuration)
{
    return { { "version", configuration.version().value() }, { "number", configuration.number() }, { "entries", configuration.entries() } };
}

} // namespace wrenhinge
