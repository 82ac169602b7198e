#include "connection/PeerHub.h"

#include "connection/Endpoint.h"
#include "message/Codec.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    /// Several round trips between regions. A host that is down doesn't answer, and the system repeats the first packet only after a
    /// second, although the host may be back sooner.
    constexpr Duration connectLimit = 250ms;

} // namespace

PeerHub::PeerHub(IoContext& io, Hello self, Handlers handlers)
    : m_io(io)
    , m_handlers(std::move(handlers))
    , m_acceptor(boost::asio::make_strand(io))
    , m_self(std::move(self))
{
    m_self.messageTypes = static_cast<std::uint32_t>(std::variant_size_v<Message>);
}

Result<std::string> PeerHub::listen(const std::string& address)
{
    auto bound = listenOn(m_acceptor, address);
    if (bound)
        accept();
    return bound;
}

void PeerHub::accept()
{
    m_acceptor.async_accept(boost::asio::make_strand(m_io), [this](ErrorCode ec, Tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted)
            return;
        if (!ec)
            adopt(PeerLink::make(std::move(socket), PeerLink::Side::Accepted), [] {});
        accept();
    });
}

void PeerHub::dial(const std::string& address)
{
    {
        std::lock_guard lock(m_mutex);
        if (address == m_self.name || !m_dialled.insert(address).second)
            return;
    }
    dialAfter(address, Duration::zero(), {});
}

void PeerHub::leave(const std::string& address)
{
    std::shared_ptr<PeerLink> link;
    {
        std::lock_guard lock(m_mutex);
        m_dialled.erase(address);
        if (auto peer = linkedByName(address))
            link = m_links.at(*peer);
    }
    if (link)
        link->close();
}

std::optional<PeerId> PeerHub::linkedByName(const std::string& name) const
{
    auto it = std::find_if(m_hellos.begin(), m_hellos.end(), [&name](const auto& item) { return item.second.name == name; });
    return it == m_hellos.end() ? std::nullopt : std::optional(it->first);
}

/// Two processes may dial each other at the same time. Both then keep the link that the process with the lower id dialled. A second link
/// that was dialled by the same side replaces the first, which that side has closed.
bool PeerHub::takesOver(const std::shared_ptr<PeerLink>& former, const std::shared_ptr<PeerLink>& link, PeerId peer) const
{
    if (!former || former->side() == link->side())
        return true;
    bool isDialledByUs = link->side() == PeerLink::Side::Dialled;
    return isDialledByUs == (m_self.id < peer);
}

void PeerHub::dialAfter(const std::string& address, Duration delay, DialBackoff backoff)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
    timer->async_wait([this, address, backoff, timer](ErrorCode) { connect(address, backoff); });
}

void PeerHub::connect(const std::string& address, DialBackoff backoff)
{
    Duration spread {};
    {
        std::lock_guard lock(m_mutex);
        if (m_stopped || !m_dialled.contains(address))
            return;
        auto ceiling = backoff.ceiling();
        spread = std::uniform_int_distribution<std::int64_t>(ceiling.count() / 2, ceiling.count())(m_random) * 1us;
        if (linkedByName(address)) {
            backoff.linkedOtherwise();
            return dialAfter(address, DialBackoff::longestRetry, backoff);
        }
    }
    auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return;
    auto socket = std::make_shared<Tcp::socket>(boost::asio::make_strand(m_io));
    auto limit = std::make_shared<boost::asio::steady_timer>(socket->get_executor(), connectLimit);
    limit->async_wait([socket](ErrorCode ec) {
        ErrorCode ignored;
        if (!ec)
            socket->close(ignored);
    });
    socket->async_connect(endpoint.value(), [this, socket, limit, address, backoff, spread](ErrorCode ec) mutable {
        limit->cancel();
        if (ec || !socket->is_open()) {
            backoff.connectFailed();
            return dialAfter(address, spread, backoff);
        }
        auto onClosed = [this, address, backoff, spread, since = std::chrono::steady_clock::now()]() mutable {
            backoff.linkEnded(duration_cast<Duration>(std::chrono::steady_clock::now() - since));
            dialAfter(address, spread, backoff);
        };
        adopt(PeerLink::make(std::move(*socket), PeerLink::Side::Dialled), onClosed);
    });
}

void PeerHub::adopt(const std::shared_ptr<PeerLink>& link, std::function<void()> onClosed)
{
    // The link owns its handlers, so they hold it weakly. The table holds it once its Hello was received.
    auto peer = std::make_shared<PeerId>();
    auto onMessage = [this, peer, weak = std::weak_ptr(link)](HybridTime stamp, Message&& message) {
        m_handlers.stampReceive(stamp);
        if (auto hello = std::get_if<Hello>(&message); hello && *peer == PeerId()) {
            *peer = hello->id;
            std::shared_ptr<PeerLink> former;
            auto link = weak.lock();
            bool isTaken = false;
            {
                std::lock_guard lock(m_mutex);
                auto& current = m_links[*peer];
                isTaken = takesOver(current, link, *peer);
                if (isTaken) {
                    former = std::exchange(current, link);
                    m_hellos[*peer] = *hello;
                }
            }
            if (!isTaken) {
                *peer = {};
                link->close();
                return;
            }
            if (former) {
                // The peer closed its former link and connected again before that was noticed here.
                m_handlers.onDown(*peer);
                former->close();
            }
            m_handlers.onUp(*hello);
            return;
        }
        if (*peer != PeerId())
            m_handlers.onMessage(*peer, std::move(message));
    };
    auto onGone = [this, peer, weak = std::weak_ptr(link), onClosed = std::move(onClosed)] {
        bool wasCurrent = false;
        {
            std::lock_guard lock(m_mutex);
            if (auto it = m_links.find(*peer); it != m_links.end() && it->second == weak.lock()) {
                m_links.erase(it);
                m_hellos.erase(*peer);
                wasCurrent = true;
            }
        }
        if (wasCurrent)
            m_handlers.onDown(*peer);
        onClosed();
    };
    link->start({ onMessage, onGone, m_handlers.onFault });
    link->send(self(), m_handlers.stampSend());
}

std::shared_ptr<PeerLink> PeerHub::linkTo(PeerId peer) const
{
    std::lock_guard lock(m_mutex);
    auto it = m_links.find(peer);
    return it == m_links.end() ? nullptr : it->second;
}

void PeerHub::send(PeerId peer, const Message& message)
{
    if (auto link = linkTo(peer))
        m_sentBytes += link->send(message, m_handlers.stampSend());
}

bool PeerHub::offer(PeerId peer, const Message& message)
{
    auto link = linkTo(peer);
    if (!link)
        return true;
    auto encoded = encode(message);
    if (!link->offerEncoded(encoded, m_handlers.stampSend())) {
        ++m_declinedOffers;
        return false;
    }
    m_sentBytes += encoded.size();
    return true;
}

void PeerHub::broadcast(const Message& message, const std::function<bool(const Hello&)>& includes)
{
    std::vector<std::shared_ptr<PeerLink>> links;
    {
        std::lock_guard lock(m_mutex);
        for (const auto& [peer, hello] : m_hellos) {
            if (includes(hello))
                links.push_back(m_links.at(peer));
        }
    }
    if (links.empty())
        return;
    auto encoded = encode(message);
    for (const auto& link : links)
        m_sentBytes += link->sendEncoded(encoded, m_handlers.stampSend());
}

std::size_t PeerHub::count(const std::function<bool(const Hello&)>& includes) const
{
    std::lock_guard lock(m_mutex);
    auto isIncluded = [&includes](const auto& item) { return includes(item.second); };
    return static_cast<std::size_t>(std::count_if(m_hellos.begin(), m_hellos.end(), isIncluded));
}

std::vector<Hello> PeerHub::peers() const
{
    std::lock_guard lock(m_mutex);
    std::vector<Hello> list;
    for (const auto& [peer, hello] : m_hellos)
        list.push_back(hello);
    return list;
}

PeerHub::Queued PeerHub::queuedBytes() const
{
    std::lock_guard lock(m_mutex);
    Queued queued;
    for (const auto& [peer, link] : m_links) {
        queued.all += link->queuedBytes();
        queued.most = std::max(queued.most, link->queuedBytes());
    }
    return queued;
}

Hello PeerHub::self()
{
    std::lock_guard lock(m_mutex);
    return m_self;
}

void PeerHub::setAdminAddress(const std::string& address)
{
    std::lock_guard lock(m_mutex);
    m_self.adminAddress = address;
}

void PeerHub::stop()
{
    std::vector<std::shared_ptr<PeerLink>> links;
    {
        std::lock_guard lock(m_mutex);
        m_stopped = true;
        for (auto& [peer, link] : m_links)
            links.push_back(link);
    }
    boost::asio::post(m_acceptor.get_executor(), [this] {
        ErrorCode ignored;
        m_acceptor.close(ignored);
    });
    for (auto& link : links)
        link->close();
}

} // namespace wrenhinge
