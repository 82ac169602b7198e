/** \file
 * One connection between two wrenhinge processes: an HTTP/2 connection with one long-lived stream that carries
 * length-prefixed messages both ways.
 *
 * HTTP/2 gives framing, flow control and PING; nghttp2 runs in memory over an Asio socket. All calls and callbacks
 * happen on the link's strand, except `send` and `close`, which may come from any thread.
 *
 * A network cut that drops packets closes nothing. A link therefore pings while it is silent, and reports itself
 * closed when nothing has been heard for `silenceLimit`; otherwise a gateway would wait for ever for an answer.
 */
#pragma once

#include "base/HybridClock.h"
#include "base/Time.h"
#include "connection/Asio.h"
#include "message/Messages.h"

#include <atomic>
#include <functional>
#include <memory>

struct nghttp2_session;

namespace wrenhinge {

class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    enum class Side : std::uint8_t { Dialled, Accepted };

    /// What the owner of a link hears. `onClosed` comes exactly once, after `onFault` if what came can't be used.
    struct Handlers {
        std::function<void(HybridTime, Message&&)> onMessage;
        std::function<void()> onClosed;
        std::function<void(const std::string& from, const std::string& what)> onFault {};
    };

    /// After this long without a byte from the peer the link asks with a PING.
    static constexpr Duration pingAfter = 400ms;
    /// After this long without a byte the peer counts as gone.
    static constexpr Duration silenceLimit = 1500ms;
    /// A peer that leaves this much unread is slower than what it is told, or does not read; its link is given up, and what it must know
    /// is told anew over the next one. The largest messages are parts of 64 KB and entries of the log of up to a megabyte.
    static constexpr std::size_t queueLimit = 8u << 20;
    /// What is read at a time. Most messages are some hundred bytes; a part of 64 KB of a document takes 16 reads, a few times a day. With
    /// 64 KB a link takes 80 KB of memory at either end instead of 20, nearly all unused: 2.8 MB more at a gateway with 46 links.
    static constexpr std::size_t bytesPerRead = 4096;
    /// A longer message is a protocol error.
    static constexpr std::size_t messageLimit = 64u << 20;
    /// The first message, a Hello, is some hundred bytes. Whoever has not said who it is may not fill our memory.
    static constexpr std::size_t firstMessageLimit = 64u << 10;

    static std::shared_ptr<PeerLink> make(Tcp::socket, Side);
    PeerLink(Tcp::socket, Side);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    void start(Handlers);
    /// Any thread. \param stamp travels with the message, for the time line. \returns how many bytes the message takes.
    std::size_t send(const Message&, HybridTime stamp);
    [[nodiscard]] Side side() const { return m_side; }
    /// Bytes that were sent and that the system has not taken yet. Any thread.
    [[nodiscard]] std::size_t queuedBytes() const { return m_queuedBytes; }
    /// Closes after what was sent before has left.
    void close();

private:
    struct Callbacks;
    void sendBytes(std::string bytes);
    void pump();
    void read();
    void receive(std::size_t n);
    void takeMessages();
    void write();
    void watchSilence();
    void fail();
    void refuse(const std::string& what);
    void countQueued() { m_queuedBytes = m_outbox.size() - m_outboxTaken + (m_writing ? m_wire.size() : 0); }

    Tcp::socket m_socket;
    Side m_side;
    Handlers m_handlers;
    nghttp2_session* m_session = nullptr;
    int m_streamId = -1;
    std::string m_outbox; ///< Message bytes that nghttp2 has not taken yet.
    std::size_t m_outboxTaken = 0;
    std::string m_inbox; ///< Message bytes that are not a whole message yet.
    std::string m_wire; ///< HTTP/2 bytes being written.
    std::atomic<std::size_t> m_queuedBytes = 0;
    std::array<char, bytesPerRead> m_readBuffer {};
    boost::asio::steady_timer m_silenceTimer;
    std::chrono::steady_clock::time_point m_lastHeard;
    bool m_isIntroduced = false; ///< A Hello has come.
    bool m_writing = false;
    bool m_closed = false;
    bool m_closing = false;
};

} // namespace wrenhinge
