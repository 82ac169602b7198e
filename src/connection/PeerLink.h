/** \file
 * One connection between two wrenhinge processes: an HTTP/2 connection with one long-lived stream that carries
 * length-prefixed messages both ways.
 *
 * HTTP/2 gives framing, flow control and PING; nghttp2 runs in memory over an Asio socket. All calls and callbacks
 * happen on the link's strand, except `send` and `close`, which may come from any thread.
 *
 * A network partition that drops packets closes no connection. A link therefore sends PINGs while nothing is received, and closes itself
 * when nothing was received for `silenceLimit`; otherwise a gateway would wait forever for an answer.
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

    /// Callbacks to the owner of a link. `onClosed` is called exactly once, after `onFault` if the peer sent something invalid.
    struct Handlers {
        std::function<void(HybridTime, Message&&)> onMessage;
        std::function<void()> onClosed;
        std::function<void(const std::string& from, const std::string& what)> onFault {};
    };

    /// A PING is sent when nothing was received for this long.
    static constexpr Duration pingAfter = 400ms;
    /// The link is closed when nothing was received for this long.
    static constexpr Duration silenceLimit = 1500ms;
    /// Bytes that may wait for a slow peer. Beyond that the link is closed, and the peer gets the present state on its next link. The
    /// largest messages are document parts of 64 KB, log entries of up to a megabyte, and requests with the bodies of callers, which are
    /// offered.
    static constexpr std::size_t queueLimit = 8u << 20;
    /// Size of the read buffer. Most messages have a few hundred bytes. With 64 KB a link would take 80 KB of memory at either end instead
    /// of 20 KB: 2.8 MB more at a gateway with 46 links.
    static constexpr std::size_t bytesPerRead = 4096;
    /// A longer message is a protocol error.
    static constexpr std::size_t messageLimit = 64u << 20;
    /// The first message, a Hello, has a few hundred bytes. A peer that has not identified itself must not fill the memory.
    static constexpr std::size_t firstMessageLimit = 64u << 10;

    static std::shared_ptr<PeerLink> make(Tcp::socket, Side);
    PeerLink(Tcp::socket, Side);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    void start(Handlers);
    /// Thread-safe. \param stamp is sent with the message, for the time line. \returns the size of the message in bytes.
    std::size_t send(const Message&, HybridTime stamp);
    /// The same for a message that is encoded already.
    std::size_t sendEncoded(const std::string& message, HybridTime stamp);
    /// Sends an encoded message, unless too much waits for the peer already. For what can be refused, so that it neither closes the link
    /// nor is put before everything else. Thread-safe. \returns whether it is sent.
    bool offerEncoded(const std::string& message, HybridTime stamp);
    [[nodiscard]] Side side() const { return m_side; }
    /// Bytes that were sent and are not being written yet. Thread-safe.
    [[nodiscard]] std::size_t queuedBytes() const { return m_queuedBytes; }
    /// Closes the link after all earlier messages were sent.
    void close();

private:
    struct Callbacks;
    void sendBytes(std::string bytes, bool isOffered);
    void pump();
    void read();
    void receive(std::size_t n);
    void takeMessages();
    void write();
    void watchSilence();
    void fail();
    void refuse(const std::string& what);

    Tcp::socket m_socket;
    Side m_side;
    Handlers m_handlers;
    nghttp2_session* m_session = nullptr;
    int m_streamId = -1;
    std::string m_outbox; ///< Message bytes that nghttp2 has not taken yet.
    std::size_t m_outboxTaken = 0;
    std::size_t m_largestOffered = 0; ///< Of the offered messages that were sent. One that was alone may be larger than the limit.
    std::string m_inbox; ///< Message bytes that are not a whole message yet.
    std::string m_wire; ///< HTTP/2 bytes being written.
    std::atomic<std::size_t> m_queuedBytes = 0;
    std::array<char, bytesPerRead> m_readBuffer {};
    boost::asio::steady_timer m_silenceTimer;
    std::chrono::steady_clock::time_point m_lastHeard;
    bool m_isIntroduced = false; ///< A Hello was received.
    bool m_writing = false;
    bool m_closed = false;
    bool m_closing = false;
};

} // namespace wrenhinge
