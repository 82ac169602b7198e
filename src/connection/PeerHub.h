/** \file
 * All links of one process: it listens, dials the addresses of the settings again and again, exchanges `Hello`, and
 * reports peers as they come and go.
 *
 * A process that starts first finds nobody; a peer that restarts comes back under a new PeerId. Dialling therefore
 * never gives up; it waits a little longer after each failure, with a spread, so that the return of a zone is no surge.
 */
#pragma once

#include "connection/DialBackoff.h"
#include "connection/PeerLink.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace wrenhinge {

class PeerHub {
public:
    struct Handlers {
        std::function<void(const Hello&)> onUp;
        std::function<void(PeerId)> onDown;
        std::function<void(PeerId, Message&&)> onMessage;
        std::function<HybridTime()> stampSend;
        std::function<void(HybridTime)> stampReceive;
        /// A peer said what can't be used; its link ends.
        std::function<void(const std::string& from, const std::string& what)> onFault {};
    };

    PeerHub(IoContext&, Hello self, Handlers);

    /// Listens on `address` ("127.0.0.1:0" takes any free port). \returns the bound address, or an Error.
    Result<std::string> listen(const std::string& address);
    /// Keeps a link to `address` up until `stop`. An address that is dialled already, or that a linked peer gives as its name,
    /// is not dialled again.
    void dial(const std::string& address);
    /// Ends that, and closes the link that was dialled there.
    void leave(const std::string& address);
    /// Sends if the peer is there; else the message is lost, as on a cut network.
    void send(PeerId, const Message&);
    /// Changes what later links are told of this process.
    void setAdminAddress(const std::string&);
    /// Who is linked now.
    [[nodiscard]] std::vector<Hello> peers() const;
    /// Bytes that wait in all links for their peers to read, and in the fullest one.
    struct Queued {
        std::size_t all = 0;
        std::size_t most = 0;
    };
    [[nodiscard]] Queued queuedBytes() const;
    /// Bytes of all messages that were sent over links since the start.
    [[nodiscard]] std::uint64_t sentBytes() const { return m_sentBytes; }
    void stop();

private:
    void accept();
    void adopt(const std::shared_ptr<PeerLink>&, std::function<void()> onClosed);
    void dialAfter(const std::string& address, Duration delay, DialBackoff);
    void connect(const std::string& address, DialBackoff);
    bool takesOver(const std::shared_ptr<PeerLink>& former, const std::shared_ptr<PeerLink>& link, PeerId peer) const;
    [[nodiscard]] std::optional<PeerId> linkedByName(const std::string& name) const;
    Hello self();

    IoContext& m_io;
    Handlers m_handlers;
    std::atomic<std::uint64_t> m_sentBytes = 0;
    Tcp::acceptor m_acceptor;
    mutable std::mutex m_mutex; ///< Guards what follows. Taken last in the lock order; no callback runs under it.
    Hello m_self;
    std::unordered_map<PeerId, std::shared_ptr<PeerLink>> m_links;
    std::unordered_map<PeerId, Hello> m_hellos;
    std::set<std::string> m_dialled;
    std::mt19937_64 m_random { std::random_device {}() };
    bool m_stopped = false;
};

} // namespace wrenhinge
