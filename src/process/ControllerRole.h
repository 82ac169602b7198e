/** \file
 * The controller process: runs ControllerLogic on a dedicated thread, since each batch of events ends with a write to disk.
 *
 * Events are queued while the disk is busy. The next batch processes all of them, writes their records with one sync, and only then sends
 * the messages that depend on those records.
 */
#pragma once

#include "connection/PeerHub.h"
#include "process/AdminPages.h"
#include "process/CrashRelay.h"
#include "process/PersistedList.h"
#include "process/QuotaRelay.h"
#include "process/Registrar.h"
#include "process/ReplicaLimitRelay.h"
#include "process/StreamDirectoryServer.h"
#include "version/ControllerLogic.h"
#include "version/LogStorage.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <thread>

namespace wrenhinge {

class ControllerRole {
public:
    ControllerRole(const Settings&, Runtime&);
    ~ControllerRole();

    /// Receives the reply to a proposal or a read, on the controller's thread.
    using ReplyCallback = std::function<void(ProposeReply)>;

    Result<nlohmann::json> start();
    void drain();
    void reload(const Settings&) { }

    /// Proposes a command, through another controller if that is the leader. Thread-safe. \param sendsWholeText see LocalPropose.
    void propose(Command, ReplyCallback, bool sendsWholeText = false);
    /// Reads the routing document linearizably: the reply contains its version and text. Thread-safe.
    void readDocument(ReplyCallback);
    /// Handles the replicas' announcements; call it on `strand()` only.
    /// Of the process, in bytes.
    [[nodiscard]] std::size_t memory() const { return m_settings.memory; }
    Registrar& registrar() { return m_registrar; }
    RefusalLog& refusals() { return m_runtime.refusals(); }
    [[nodiscard]] const Strand& strand() const { return m_strand; }
    /// The term in which this controller is the leader, or zero, as of the last batch of events. Thread-safe.
    [[nodiscard]] std::uint64_t leadingTerm() const { return m_leadingTerm; }
    /// Called with the engine loads that gateways report, on any thread. Set it before `start`.
    std::function<void(PeerId, const EngineLoadReport&)> onEngineLoad;

private:
    void post(controller::Event);
    void loop();
    bool execute(ControllerLogic::Effects&);
    Result<void> store(const ControllerLogic::Effects&);
    Result<raft::Recovered> recoverLog();
    bool reopenStorage();
    void onPeerUp(const Hello&);
    void onMessage(PeerId, Message&&);
    void startRegistrar();
    void startCrashRelay();
    [[nodiscard]] ControllerRoster roster() const;
    [[nodiscard]] bool isDynamic() const { return !m_settings.controller.seeds.empty(); }
    [[nodiscard]] bool hasDisk() const { return !m_settings.controller.data.empty(); }
    std::uint64_t newTicket(ReplyCallback);
    void answer(std::uint64_t ticket, ProposeReply);
    void failPendingReplies();
    void stopLoop();
    AdminReply admin(const AdminRequest&);
    AdminReply applyConfig(const AdminRequest&);
    ProposeReply proposeAndWait(Command);
    [[nodiscard]] nlohmann::json status() const;
    [[nodiscard]] std::string metrics() const;
    [[nodiscard]] nlohmann::json history() const;
    [[nodiscard]] nlohmann::json configStatus() const;

    Settings m_settings;
    Runtime& m_runtime;
    LogStorage m_storage;
    Strand m_strand;
    PeerHub m_hub;
    Registrar m_registrar;
    CrashRelay m_crashRelay;
    QuotaRelay m_quotaRelay;
    ReplicaLimitRelay m_limitRelay;
    StreamDirectoryServer m_streams;
    std::optional<PersistedReplicas> m_persistedReplicas; ///< Set by `start`.
    std::optional<PersistedGatewayCount> m_persistedGateways; ///< Set by `start`.
    std::optional<PersistedCrashes> m_persistedCrashes; ///< Set by `start`.
    AdminPages m_pages;
    AdminServer m_adminServer;
    std::thread m_thread;

    mutable std::mutex m_logicMutex; ///< Guards m_logic; locked before m_queueMutex, never after it.
    std::unique_ptr<ControllerLogic> m_logic;
    std::atomic<std::uint64_t> m_leadingTerm = 0; ///< Atomic, as m_logicMutex is held while the disk is busy.

    std::mutex m_queueMutex; ///< Guards the members below.
    std::condition_variable m_wake;
    std::vector<controller::Event> m_queue;
    std::map<std::uint64_t, ReplyCallback> m_tickets;
    std::uint64_t m_lastTicket = 0;
    bool m_isStopping = false;
};

} // namespace wrenhinge
