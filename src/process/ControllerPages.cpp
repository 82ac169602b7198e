/** \file
 * The part of ControllerRole for operators: the admin address.
 */
#include "base/SystemClock.h"
#include "process/ControllerRole.h"
#include "process/TimeHistogram.h"

namespace wrenhinge {

namespace {

    using Json = nlohmann::json;

    constexpr Duration proposalTimeout = 5s;

    Json describe(const ConfigChange& change)
    {
        return { { "version", change.version.value() }, { "number", change.command.number }, { "change_id", change.command.changeId },
            { "author", change.command.author }, { "puts", change.command.puts }, { "removes", change.command.removes } };
    }

    Result<ConfigCommand> readChange(const std::string& body)
    {
        try {
            auto json = Json::parse(body);
            ConfigCommand command;
            command.number = json.at("number").get<std::uint64_t>();
            command.changeId = json.at("change_id").get<std::string>();
            command.author = json.value("author", "");
            command.puts = json.value("puts", std::map<std::string, std::string>());
            command.removes = json.value("removes", std::vector<std::string>());
            if (command.changeId.empty())
                return Error { ResultCode::BadConfiguration, "`change_id` is empty; set it to a unique id for this change" };
            return command;
        } catch (const Json::exception& e) {
            return Error { ResultCode::BadConfiguration,
                std::string("invalid change; expected JSON with `number`, `change_id`, `puts` and `removes`: ") + e.what() };
        }
    }

} // namespace

AdminReply ControllerRole::admin(const AdminRequest& request)
{
    if (auto common = m_pages.answer(request))
        return *common;
    if (request.path == "/status")
        return AdminPages::json(status());
    if (request.path == "/config" && request.method == "POST")
        return applyConfig(request);
    if (request.path == "/config") {
        std::lock_guard lock(m_logicMutex);
        return AdminPages::json(toJson(m_logic->state().configuration()));
    }
    if (request.path == "/config/history")
        return AdminPages::json(history());
    if (request.path == "/config/status")
        return AdminPages::json(configStatus());
    if (request.path == "/metrics")
        return { 200, "text/plain; version=0.0.4", metrics() };
    return AdminPages::notFound(request.path);
}

AdminReply ControllerRole::applyConfig(const AdminRequest& request)
{
    auto command = readChange(request.body);
    if (!command)
        return AdminPages::error(command.error());
    if (auto valid = Configuration::validate(command.value().puts); !valid)
        return AdminPages::error(valid.error());
    auto reply = proposeAndWait(std::move(command.value()));
    if (reply.code == ResultCode::Ok)
        return AdminPages::json({ { "version", reply.number } });
    auto answer = AdminPages::error({ reply.code, reply.text });
    if (reply.code == ResultCode::ConfigUnavailable) {
        std::lock_guard lock(m_logicMutex);
        auto json = Json::parse(answer.body);
        json["leader_admin"] = m_logic->leaderAdminAddress();
        answer.body = json.dump() + "\n";
    }
    return answer;
}

ProposeReply ControllerRole::proposeAndWait(Command command)
{
    // Shared with the callback, which may be called after this call has timed out.
    auto promise = std::make_shared<std::promise<ProposeReply>>();
    auto future = promise->get_future();
    propose(std::move(command), [promise](ProposeReply reply) { promise->set_value(std::move(reply)); });
    if (future.wait_for(proposalTimeout) == std::future_status::ready)
        return future.get();
    ProposeReply reply;
    reply.code = ResultCode::ConfigUnavailable;
    reply.text = "no majority of controllers answered in time; the change may still be accepted: resend it with the same change id";
    return reply;
}

/// Besides the state of the log, contains what uses a controller's memory: documents are the largest data that it holds, sends and stores.
std::string ControllerRole::metrics() const
{
    auto queued = m_hub.queuedBytes();
    std::lock_guard lock(m_logicMutex);
    const auto& raft = m_logic->raft();
    return metricGauge("wrenhinge_log_commit_index", static_cast<double>(raft.commitIndex()))
        + metricGauge("wrenhinge_log_is_leader", raft.isLeader() ? 1 : 0)
        + metricGauge("wrenhinge_log_kept_entries", static_cast<double>(raft.entriesKept()))
        + metricGauge("wrenhinge_log_kept_document_bytes", static_cast<double>(raft.bytesKept()))
        + metricGauge("wrenhinge_document_version", static_cast<double>(m_logic->state().document().version()))
        + metricGauge("wrenhinge_document_bytes", static_cast<double>(m_logic->state().document().text().size()))
        + metricGauge("wrenhinge_links", static_cast<double>(m_hub.peers().size()))
        + metricGauge("wrenhinge_links_sent_bytes_total", static_cast<double>(m_hub.sentBytes()))
        + metricGauge("wrenhinge_links_queued_bytes", static_cast<double>(queued.all))
        + metricGauge("wrenhinge_link_queued_bytes_most", static_cast<double>(queued.most)) + m_runtime.refusals().metrics();
}

Json ControllerRole::status() const
{
    auto json = m_pages.identity();
    std::lock_guard lock(m_logicMutex);
    const auto& raft = m_logic->raft();
    json["leader"] = raft.leader();
    json["is_leader"] = raft.isLeader();
    json["is_voter"] = raft.isVoter();
    json["term"] = raft.term();
    json["last_index"] = raft.lastIndex();
    json["commit_index"] = raft.commitIndex();
    json["config_version"] = m_logic->state().configuration().version().value();
    json["members"] = raft.members();
    json["document_version"] = m_logic->state().document().version();
    json["ledger_entries"] = m_logic->state().ledger().entries().size();
    return json;
}

Json ControllerRole::history() const
{
    std::lock_guard lock(m_logicMutex);
    auto list = Json::array();
    for (const auto& change : m_logic->state().history())
        list.push_back(describe(change));
    return list;
}

Json ControllerRole::configStatus() const
{
    std::lock_guard lock(m_logicMutex);
    auto now = currentInstant();
    auto list = Json::array();
    for (const auto& [peer, watcher] : m_logic->watchers()) {
        list.push_back({ { "name", watcher.peer.name }, { "role", nameOf(watcher.peer.role) }, { "site", watcher.peer.site },
            { "zone", watcher.peer.zone }, { "version", watcher.inForce.value() },
            { "since_ms", (now - watcher.inForceSince).count() / 1000 } });
    }
    return { { "version", m_logic->state().configuration().version().value() }, { "watchers", list } };
}

} // namespace wrenhinge
