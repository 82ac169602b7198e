/** \file
 * The controller as a process: ControllerLogic on a thread of its own, since each batch of events ends on the disk.
 *
 * Events queue up while the disk is busy; the next batch takes them all, writes their records with one sync, and only
 * then sends any message that tells of them.
 */
#pragma once

#include "connection/PeerHub.h"
#include "process/AdminPages.h"
#include "process/CrashRelay.h"
#include "process/PersistedList.h"
#include "process/QuotaRelay.h"
#include "process/Registrar.h"
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

    /// How the answer to a proposal or a read comes back, on the controller's own thread.
    using ReplyCallback = std::function<void(ProposeReply)>;

    Result<nlohmann::json> start();
    void drain();
    void reload(const Settings&) { }

    /// Has a command committed, through another controller if that one leads. Any thread. \param sendsWholeText see LocalPropose.
    void propose(Command, ReplyCallback, bool sendsWholeText = false);
    /// Reads the routing document linearizably: the reply has its version and text. Any thread.
    void readDocument(ReplyCallback);
    /// For the replicas' announcements; on the strand of `strand()`.
    Registrar& registrar() { return m_registrar; }
    RefusalLog& refusals() { return m_runtime.refusals(); }
    [[nodiscard]] const Strand& strand() const { return m_strand; }
    /// The term in which this controller leads, or zero, as of the last batch of events. Any thread.
    [[nodiscard]] std::uint64_t leadingTerm() const { return m_leadingTerm; }
    /// Takes what gateways tell of the engines' load; set before `start`. Called on any thread.
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
    void sendRoster(PeerId);
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
    [[nodiscard]] nlohmann::json inForce() const;

    Settings m_settings;
    Runtime& m_runtime;
    LogStorage m_storage;
    Strand m_strand;
    PeerHub m_hub;
    Registrar m_registrar;
    CrashRelay m_crashRelay;
    QuotaRelay m_quotaRelay;
    std::optional<PersistedReplicas> m_persistedReplicas; ///< From `start` on.
    std::optional<PersistedCrashes> m_persistedCrashes; ///< The same.
    AdminPages m_pages;
    AdminServer m_adminServer;
    std::thread m_thread;

    mutable std::mutex m_logicMutex; ///< Guards m_logic; taken before m_queueMutex, never after it.
    std::unique_ptr<ControllerLogic> m_logic;
    std::atomic<std::uint64_t> m_leadingTerm = 0; ///< Beside the lock, which is held while the disk is busy.

    std::mutex m_queueMutex; ///< Guards what follows.
    std::condition_variable m_wake;
    std::vector<controller::Event> m_queue;
    std::map<std::uint64_t, ReplyCallback> m_tickets;
    std::uint64_t m_lastTicket = 0;
    bool m_isStopping = false;
};

} // namespace wrenhinge
