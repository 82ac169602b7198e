#include "connection/PeerLink.h"

#include "base/DynamicThreshold.h"
#include "connection/MessageCheck.h"
#include "message/Codec.h"

#include <cstring>
#include <nghttp2/nghttp2.h>

namespace wrenhinge {

namespace {

    constexpr std::int32_t windowSize = 32 << 20;
    // A message on the wire: its length, the sender's hybrid time, the msgpack bytes.
    constexpr std::size_t lengthBytes = 4;
    constexpr std::size_t wallBytes = 8;
    constexpr std::size_t logicalBytes = 4;
    constexpr std::size_t prefixBytes = lengthBytes + wallBytes + logicalBytes;
    constexpr std::size_t compactAbove = 1u << 20;
    /// Bytes that are written at a time. Without a bound, all waiting bytes would be held a second time as HTTP/2 frames, and replies to
    /// PINGs would be sent after them.
    constexpr std::size_t bytesPerWrite = 128 * 1024;

    nghttp2_nv headerField(std::string_view name, std::string_view value)
    {
        // nghttp2 copies both strings; its struct only lacks the const.
        return { reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
            reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE };
    }

    std::string frame(const std::string& payload, HybridTime stamp)
    {
        std::string bytes(prefixBytes, '\0');
        auto n = static_cast<std::uint32_t>(payload.size());
        std::memcpy(bytes.data(), &n, lengthBytes);
        std::memcpy(bytes.data() + lengthBytes, &stamp.wallMicros, wallBytes);
        std::memcpy(bytes.data() + lengthBytes + wallBytes, &stamp.logical, logicalBytes);
        return bytes + payload;
    }

    HybridTime stampIn(const char* prefix)
    {
        HybridTime stamp;
        std::memcpy(&stamp.wallMicros, prefix + lengthBytes, wallBytes);
        std::memcpy(&stamp.logical, prefix + lengthBytes + wallBytes, logicalBytes);
        return stamp;
    }

    std::string describe(std::string_view bytes)
    {
        auto type = typeIndex(bytes);
        return "a message of " + (type ? "type " + std::to_string(*type) : "no type") + ", " + std::to_string(bytes.size()) + " bytes";
    }

} // namespace

/// The C callbacks of nghttp2.
struct PeerLink::Callbacks {
    static ssize_t fill(
        nghttp2_session*, std::int32_t, std::uint8_t* buf, std::size_t n, std::uint32_t*, nghttp2_data_source* source, void*)
    {
        auto& self = *static_cast<PeerLink*>(source->ptr);
        auto available = self.m_outbox.size() - self.m_outboxTaken;
        if (!available)
            return NGHTTP2_ERR_DEFERRED;
        n = std::min(n, available);
        std::memcpy(buf, self.m_outbox.data() + self.m_outboxTaken, n);
        self.m_outboxTaken += n;
        self.m_queuedBytes -= n;
        if (self.m_outboxTaken == self.m_outbox.size()) {
            self.m_outbox.clear();
            self.m_outboxTaken = 0;
        } else if (self.m_outboxTaken > compactAbove) {
            self.m_outbox.erase(0, self.m_outboxTaken);
            self.m_outboxTaken = 0;
        }
        return static_cast<ssize_t>(n);
    }

    static int onData(nghttp2_session*, std::uint8_t, std::int32_t, const std::uint8_t* data, std::size_t n, void* user)
    {
        static_cast<PeerLink*>(user)->m_inbox.append(reinterpret_cast<const char*>(data), n);
        return 0;
    }

    static int onFrame(nghttp2_session* session, const nghttp2_frame* received, void* user)
    {
        auto& self = *static_cast<PeerLink*>(user);
        bool isRequest = received->hd.type == NGHTTP2_HEADERS && received->headers.cat == NGHTTP2_HCAT_REQUEST;
        if (self.m_side != Side::Accepted || !isRequest || self.m_streamId >= 0)
            return 0;
        self.m_streamId = received->hd.stream_id;
        auto status = headerField(":status", "200");
        nghttp2_data_provider provider { { .ptr = &self }, fill };
        return nghttp2_submit_response(session, self.m_streamId, &status, 1, &provider);
    }

    static int onStreamClosed(nghttp2_session*, std::int32_t, std::uint32_t, void* user)
    {
        static_cast<PeerLink*>(user)->m_closing = true;
        return 0;
    }
};

std::shared_ptr<PeerLink> PeerLink::make(Tcp::socket socket, Side side) { return std::make_shared<PeerLink>(std::move(socket), side); }

PeerLink::PeerLink(Tcp::socket socket, Side side)
    : m_socket(std::move(socket))
    , m_side(side)
    , m_silenceTimer(m_socket.get_executor())
    , m_lastHeard(std::chrono::steady_clock::now())
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Callbacks::onData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, Callbacks::onFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, Callbacks::onStreamClosed);
    auto create = side == Side::Dialled ? nghttp2_session_client_new : nghttp2_session_server_new;
    create(&m_session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
}

PeerLink::~PeerLink() { nghttp2_session_del(m_session); }

void PeerLink::start(Handlers handlers)
{
    boost::asio::dispatch(m_socket.get_executor(), [self = shared_from_this(), handlers = std::move(handlers)]() mutable {
        self->m_handlers = std::move(handlers);
        ErrorCode ignored;
        self->m_socket.set_option(Tcp::no_delay(true), ignored);
        nghttp2_settings_entry window { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(windowSize) };
        nghttp2_submit_settings(self->m_session, NGHTTP2_FLAG_NONE, &window, 1);
        nghttp2_session_set_local_window_size(self->m_session, NGHTTP2_FLAG_NONE, 0, windowSize);
        if (self->m_side == Side::Dialled) {
            std::array fields { headerField(":method", "POST"), headerField(":scheme", "http"), headerField(":path", "/wrenhinge/peer"),
                headerField(":authority", "peer") };
            nghttp2_data_provider provider { { .ptr = self.get() }, Callbacks::fill };
            self->m_streamId = nghttp2_submit_request(self->m_session, nullptr, fields.data(), fields.size(), &provider, nullptr);
        }
        self->read();
        self->pump();
        self->watchSilence();
    });
}

std::size_t PeerLink::send(const Message& message, HybridTime stamp) { return sendEncoded(encode(message), stamp); }

std::size_t PeerLink::sendEncoded(const std::string& message, HybridTime stamp)
{
    auto bytes = frame(message, stamp);
    auto n = bytes.size();
    sendBytes(std::move(bytes), false);
    return n;
}

bool PeerLink::offerEncoded(const std::string& message, HybridTime stamp)
{
    if (!fitsBeside(m_queuedBytes, prefixBytes + message.size(), queueLimit))
        return false;
    sendBytes(frame(message, stamp), true);
    return true;
}

void PeerLink::sendBytes(std::string bytes, bool isOffered)
{
    m_queuedBytes += bytes.size();
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this(), bytes = std::move(bytes), isOffered] {
        if (self->m_closed)
            return;
        if (isOffered)
            self->m_largestOffered = std::max(self->m_largestOffered, bytes.size());
        self->m_outbox += bytes;
        if (self->m_outbox.size() - self->m_outboxTaken > queueLimit + self->m_largestOffered)
            return self->fail();
        if (self->m_streamId >= 0)
            nghttp2_session_resume_data(self->m_session, self->m_streamId);
        self->pump();
    });
}

void PeerLink::close()
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_closing = true;
        self->pump();
    });
}

void PeerLink::pump()
{
    if (m_writing || m_closed)
        return;
    m_wire.clear();
    while (m_wire.size() < bytesPerWrite) {
        const std::uint8_t* data = nullptr;
        auto n = nghttp2_session_mem_send(m_session, &data);
        if (n < 0)
            return fail();
        if (!n)
            break;
        m_wire.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(n));
    }
    if (!m_wire.empty())
        return write();
    if (m_closing)
        fail();
}

void PeerLink::write()
{
    m_writing = true;
    boost::asio::async_write(m_socket, boost::asio::buffer(m_wire), [self = shared_from_this()](ErrorCode ec, std::size_t) {
        self->m_writing = false;
        if (ec)
            return self->fail();
        self->pump();
    });
}

void PeerLink::read()
{
    if (endOfStream(m_socket))
        return fail();
    m_socket.async_read_some(boost::asio::buffer(m_readBuffer), [self = shared_from_this()](ErrorCode ec, std::size_t n) {
        if (ec)
            return self->fail();
        self->receive(n);
    });
}

void PeerLink::receive(std::size_t n)
{
    m_lastHeard = std::chrono::steady_clock::now();
    auto taken = nghttp2_session_mem_recv(m_session, reinterpret_cast<const std::uint8_t*>(m_readBuffer.data()), n);
    if (taken < 0)
        return refuse("not HTTP/2");
    takeMessages();
    if (m_closed)
        return;
    pump();
    if (!m_closed)
        read();
}

void PeerLink::takeMessages()
{
    std::size_t at = 0;
    while (!m_closed && m_inbox.size() - at >= prefixBytes) {
        std::uint32_t n = 0;
        std::memcpy(&n, m_inbox.data() + at, lengthBytes);
        if (n > (m_isIntroduced ? messageLimit : firstMessageLimit))
            return refuse("a message of " + std::to_string(n) + " bytes");
        if (m_inbox.size() - at - prefixBytes < n)
            break;
        auto bytes = std::string_view(m_inbox).substr(at + prefixBytes, n);
        auto message = decode(bytes);
        auto fault = message ? faultOf(*message) : "unknown message type, or a field of an unexpected type";
        if (!fault && !m_isIntroduced && !std::holds_alternative<Hello>(*message))
            fault = "received before a Hello";
        if (fault)
            return refuse(describe(bytes) + ": " + *fault);
        m_isIntroduced = true;
        auto stamp = stampIn(m_inbox.data() + at);
        at += prefixBytes + n;
        m_handlers.onMessage(stamp, std::move(*message));
    }
    m_inbox.erase(0, at);
}

void PeerLink::watchSilence()
{
    m_silenceTimer.expires_after(pingAfter);
    m_silenceTimer.async_wait([self = shared_from_this()](ErrorCode ec) {
        if (ec || self->m_closed)
            return;
        auto silence = std::chrono::steady_clock::now() - self->m_lastHeard;
        // Bytes that have arrived and are not read yet mean that this process was busy, not that the peer is silent. If such links were
        // closed, all processes would reconnect at once to a controller that has parsed a large document.
        if (silence > silenceLimit && isQuiet(self->m_socket))
            return self->fail();
        if (silence > pingAfter) {
            nghttp2_submit_ping(self->m_session, NGHTTP2_FLAG_NONE, nullptr);
            self->pump();
        }
        self->watchSilence();
    });
}

/// Closes the link to a peer of another release, or to something else than a peer. Skipping only the invalid message would leave the peer
/// in the belief that it was received.
void PeerLink::refuse(const std::string& what)
{
    ErrorCode ec;
    auto peer = m_socket.remote_endpoint(ec);
    if (m_handlers.onFault && !m_closed)
        m_handlers.onFault(ec ? "a closed link" : peer.address().to_string() + ":" + std::to_string(peer.port()), what);
    fail();
}

void PeerLink::fail()
{
    if (m_closed)
        return;
    m_closed = true;
    ErrorCode ignored;
    m_socket.close(ignored);
    m_silenceTimer.cancel();
    if (m_handlers.onClosed)
        m_handlers.onClosed();
    m_handlers = {};
}

} // namespace wrenhinge
