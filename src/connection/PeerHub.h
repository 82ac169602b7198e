/** \file
 * All links of one process: listens, dials other processes, exchanges `Hello`, and reports which peers connect and disconnect.
 *
 * Dialling is repeated until it succeeds, and after each disconnect. The delay grows with each failure and is randomised, so that the
 * processes of an availability zone that returns don't connect all at once.
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
        /// A peer sent something invalid, and its link is closed.
        std::function<void(const std::string& from, const std::string& what)> onFault {};
    };

    PeerHub(IoContext&, Hello self, Handlers);

    /// Listens on `address` ("127.0.0.1:0" takes any free port). \returns the bound address, or an Error.
    Result<std::string> listen(const std::string& address);
    /// Keeps a link to `address` until `leave` or `stop`. An address that is dialled already, or that is the name of a connected peer, is
    /// not dialled again.
    void dial(const std::string& address);
    /// Stops dialling the address, and closes the link to it.
    void leave(const std::string& address);
    /// Sends the message if the peer is connected, otherwise drops it.
    void send(PeerId, const Message&);
    /// Like `send`, unless too much waits for the peer already. \returns false if the message was not sent for that.
    bool offer(PeerId, const Message&);
    /// Sends the message to all connected peers that `includes` returns true for.
    void broadcast(const Message&, const std::function<bool(const Hello&)>& includes);
    /// Sets the admin address that the Hello of later links contains.
    void setAdminAddress(const std::string&);
    /// The number of connected peers that `includes` returns true for.
    [[nodiscard]] std::size_t count(const std::function<bool(const Hello&)>& includes) const;
    /// The connected peers.
    [[nodiscard]] std::vector<Hello> peers() const;
    /// Unsent bytes of all links, and of the link with the most.
    struct Queued {
        std::size_t all = 0;
        std::size_t most = 0;
    };
    [[nodiscard]] Queued queuedBytes() const;
    /// Bytes of all messages that were sent over links since the start.
    [[nodiscard]] std::uint64_t sentBytes() const { return m_sentBytes; }
    /// Messages that were offered and not sent.
    [[nodiscard]] std::uint64_t declinedOffers() const { return m_declinedOffers; }
    void stop();

private:
    void accept();
    void adopt(const std::shared_ptr<PeerLink>&, std::function<void()> onClosed);
    void dialAfter(const std::string& address, Duration delay, DialBackoff);
    void connect(const std::string& address, DialBackoff);
    bool takesOver(const std::shared_ptr<PeerLink>& former, const std::shared_ptr<PeerLink>& link, PeerId peer) const;
    [[nodiscard]] std::shared_ptr<PeerLink> linkTo(PeerId) const;
    [[nodiscard]] std::optional<PeerId> linkedByName(const std::string& name) const;
    Hello self();

    IoContext& m_io;
    Handlers m_handlers;
    std::atomic<std::uint64_t> m_sentBytes = 0;
    std::atomic<std::uint64_t> m_declinedOffers = 0;
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
