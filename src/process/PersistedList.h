/** \file
 * A controller's soft state on disk, so that it is available immediately after a whole site has lost power.
 *
 * Replicas: without the file, gateways wait for the announcements after such a restart. These arrive one by one within an announcement
 * interval, and all requests in the meantime go to the first known replicas: the first prefill replica was sent 29 prompts within 0.9 s, of
 * which 16 were cancelled after 0.6 s and prefilled at decode replicas.
 *
 * The number of gateways: without the file, gateways would not know how many share the limits of the site until all have connected.
 *
 * Requests that crash replicas: without the file, such a request crashes three more replicas after each such restart.
 *
 * The stored state may be outdated. A replica that no longer exists is not renewed and is soon considered stale, and each call contains the
 * id of the replica that it is meant for, so another replica at its address refuses it. A replica that has restarted under the same id is
 * stored as its former run, which the newer run replaces. These files give no durability guarantee: they are written after the change has
 * been passed on, on a separate thread, since a stalled disk must delay neither announcements nor the log.
 */
#pragma once

#include "message/Messages.h"
#include "process/EventLog.h"
#include "process/RefusalLog.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace wrenhinge {

/// A list stored in a file. \tparam Entry the type of its entries; there is one file per type.
template <typename Entry> class PersistedList {
public:
    /// Changes are rare but come in bursts: changes within this time are combined into one write.
    static constexpr Duration batchDelay = 100ms;

    /// \param folder the controller's data folder, which must exist.
    PersistedList(std::string folder, EventLog&, RefusalLog&);
    ~PersistedList();
    PersistedList(const PersistedList&) = delete;
    PersistedList& operator=(const PersistedList&) = delete;

    /// The list saved last, or an empty list if it can't be read. Invalid entries are skipped.
    [[nodiscard]] std::vector<Entry> load() const;
    /// Returns immediately; the newest list is written after `batchDelay`. Thread-safe.
    void save(std::vector<Entry>);

    /// The valid entries in a file's contents; nullopt if these are damaged. \param refused called for each invalid entry.
    static std::optional<std::vector<Entry>> read(std::string_view bytes, const std::function<void(const std::string& why)>& refused);

private:
    void run();
    void write(const std::vector<Entry>&);

    std::string m_folder;
    EventLog& m_log;
    RefusalLog& m_refusals;
    std::mutex m_mutex; ///< Guards the members below; no other mutex is locked while it is held.
    std::condition_variable m_changed;
    std::optional<std::vector<Entry>> m_unsaved;
    bool m_isStopping = false;
    std::thread m_thread; ///< Last, as the thread uses the members above.
};

using PersistedReplicas = PersistedList<Announcement>;
using PersistedCrashes = PersistedList<ReplicaCrash>;
using PersistedGatewayCount = PersistedList<StoredGatewayCount>; ///< A list with one entry.

} // namespace wrenhinge
