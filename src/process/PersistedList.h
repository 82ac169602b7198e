/** \file
 * What a controller knows of soft state, kept on its disk, so that a site that lost power as a whole knows it at once.
 *
 * Of replicas: without it gateways wait for the announcements after such a restart. These come one by one within an announcement's
 * interval, and what callers ask meanwhile all goes to the first replicas that are known: the first prefill replica was sent 29 prompts
 * within 0.9 s, of which 16 were given up after 0.6 s and read at decode replicas.
 *
 * Of requests that crash replicas: without it such a request crashes three more of them after each such restart.
 *
 * What is remembered may be wrong. A replica that has gone is not renewed and soon doubted, and each call names the replica that it
 * means, so another one at its address refuses it. One that has started again under its id is remembered as the run that it was, and
 * yields to the newer one. Nothing is promised by these files: they are written after the news has been passed on,
 * on a thread of their own, since a disk that stalls must hold up neither announcements nor the log.
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

/// A list in a file. \tparam Entry what it is a list of; each kind has a file of its own.
template <typename Entry> class PersistedList {
public:
    /// What is remembered changes rarely, but much at once: what changes within this is one write.
    static constexpr Duration batchDelay = 100ms;

    /// \param folder the controller's data folder, which exists.
    PersistedList(std::string folder, EventLog&, RefusalLog&);
    ~PersistedList();
    PersistedList(const PersistedList&) = delete;
    PersistedList& operator=(const PersistedList&) = delete;

    /// What was saved last, or nothing if that can't be read. An entry that can't be used is left out alone.
    [[nodiscard]] std::vector<Entry> load() const;
    /// Returns at once; the newest list is written soon. Any thread.
    void save(std::vector<Entry>);

    /// The usable ones of the entries in a file's bytes; nothing if they are damaged. \param refused hears of each other one.
    static std::optional<std::vector<Entry>> read(std::string_view bytes, const std::function<void(const std::string& why)>& refused);

private:
    void run();
    void write(const std::vector<Entry>&);

    std::string m_folder;
    EventLog& m_log;
    RefusalLog& m_refusals;
    std::mutex m_mutex; ///< Guards what follows; nothing is locked under it.
    std::condition_variable m_changed;
    std::optional<std::vector<Entry>> m_unsaved;
    bool m_isStopping = false;
    std::thread m_thread; ///< Last: it uses everything above.
};

using PersistedReplicas = PersistedList<Announcement>;
using PersistedCrashes = PersistedList<ReplicaCrash>;

} // namespace wrenhinge
