/** \file
 * One connection of an HttpServer: receives requests one after the other and sends their answers. Private to the server.
 *
 * HttpConnection.cpp has the requests, HttpConnectionOutput.cpp the answers.
 */
#pragma once

#include "base/SystemClock.h"
#include "connection/HttpServer.h"
#include "connection/RequestParser.h"
#include "connection/Timer.h"

#include <array>
#include <boost/beast/core/flat_buffer.hpp>

namespace wrenhinge {

class HttpServer::Connection : public HttpAnswer, public std::enable_shared_from_this<HttpServer::Connection> {
public:
    /// What the kernel keeps at most of a large body that is not read yet, in bytes.
    static constexpr int largestReceiveBuffer = 64 * 1024;

    Connection(HttpServer&, Tcp::socket);
    void start();
    [[nodiscard]] bool isAnswering() const { return m_state == State::Answering || m_isWriting; }
    /// Whether no request is in progress and no bytes wait to be read, so that closing the connection loses no request.
    [[nodiscard]] bool isIdle() { return m_state == State::Idle && !m_isWriting && !m_input.size() && isQuiet(m_socket); }
    /// Since when it has been in its queue.
    [[nodiscard]] Instant queuedSince() const { return m_queuedSince; }
    /// Moves it to the end of its queue.
    void queueAgain();

    void reply(int status, const HeaderList& headers, std::string body) override;
    void begin(int status, const HeaderList& headers) override;
    void write(std::string bytes) override;
    void end() override;
    void breakOff() override;

    void disconnect() { close(); }
    /// \returns how long nothing has come of its large body.
    [[nodiscard]] Duration bodyPause() const { return currentInstant() - m_lastReadAt; }
    /// Gives the large receive buffer back. Only for another connection: a sender that has seen a large window waits for long before it
    /// uses a small one.
    void endLargeBody();
    /// Refuses a request that has not come whole.
    void refuseForMemory();
    /// Closes the sending side first, so that the caller sees an end of file and not a reset.
    void closeGently();

private:
    enum class State : std::uint8_t {
        Idle, ///< Between requests.
        Reading,
        Answering, ///< A request was passed to the handler, and its answer is not complete.
        Ending, ///< The last answer is being written; received bytes are discarded.
        Lingering, ///< The sending side is closed; received bytes are discarded.
        Closed,
    };

    // Its place among the connections of the server.
    void queueIn(Connections&);
    void leaveQueue();
    /// Every transition to Lingering or Closed goes through here, so that the handler always learns of a disconnect. Otherwise a request
    /// would run, and might even be sent again, although its caller has gone.
    void leave(State next);
    void close();
    /// A caller may send the rest of a body whose answer it has already.
    void linger();

    // Time limits.
    /// Starts the idle time. The time in which the caller still reads the previous answer doesn't count.
    void waitForRequest();
    void idleTimeEnded();
    void headerTimeEnded() { refuse({ ResultCode::RequestTimeout, "the request's header did not come in time" }); }
    void bodyTimeEnded() { refuse({ ResultCode::RequestTimeout, "the request's body did not come in time" }); }
    /// Calls `onTimeout` after `limit`, unless the state changes before. Bytes that have arrived by then are read first: otherwise a
    /// process that was suspended would close a connection on which a complete request had arrived in time.
    void limitTime(Duration limit, void (Connection::*onTimeout)());

    // Receiving.
    /// Lets a body come in large pieces, if few others do: through a small buffer it takes a round trip for each.
    void beginLargeBody();
    void noteRead();
    void setReceiveBuffer(int bytes);
    void releaseInput();
    void expectRequest();
    void read();
    void readNow();
    /// Small pieces of a request come together meanwhile: each costs as much processor time as a large one.
    void pause(Duration);
    [[nodiscard]] bool isDiscarding() const { return m_state == State::Lingering || m_state == State::Ending || m_isOverrun; }
    void received(ErrorCode ec, std::size_t n);
    /// Received bytes are of no use: the connection is closed after its answer.
    void discard(std::size_t n);
    void take(std::size_t n);
    /// The caller sees that the connection ends after the answer, and so that what it has sent ahead has not run.
    void stopReadingAhead();
    void parse();
    /// Keeps of the head what the request needs.
    void takeHead();
    /// \returns whether the request needed no more than its head, and was answered.
    bool answerAtHead();
    /// Counts what has come of a request that isn't whole.
    void noteReceived();
    /// Uses the present limits: they may have changed since the connection became idle.
    void beginRequest();
    static ResultCode codeOf(ErrorCode ec);
    static std::size_t headBytesOf(const HttpRequest& request);
    /// Passes a whole request to the handler, or refuses it for its memory.
    void dispatch();

    // Answers.
    static bool isWithoutBody(int status) { return status == 204 || status == 304; }
    void replyError(const Error& error, const HttpRequest& request);
    /// Refuses a request that was not received whole, and closes the connection, since the start of the next request is unknown.
    void refuse(const Error& error);
    std::string head(int status, const HeaderList& headers);
    void finish();
    void closeWhenWritten();
    void send(std::string bytes);
    void noteUnsent() { m_server.m_unsent.set(this, m_state == State::Closed ? 0 : m_output.size() + m_inFlight.size()); }
    void flush();
    /// Each part that the caller takes gives it the idle time for the next.
    void writeSome();
    void wrote(ErrorCode ec, std::size_t n);

    HttpServer& m_server;
    Tcp::socket m_socket;
    Timer m_timer; ///< Limits the time in the present state.
    Timer m_writeTimer; ///< Limits the time until the caller takes some of its answer.
    boost::beast::flat_buffer m_input;
    std::array<char, 4096> m_chunk {};
    std::optional<RequestParser> m_parser;
    HttpRequest m_request; ///< The head of the request that is being received.
    std::string m_output;
    std::string m_inFlight;
    std::size_t m_written = 0; ///< Of m_inFlight.
    std::size_t m_discarded = 0;
    int m_smallReads = 0; ///< Of the present request.
    std::optional<Timer> m_pause; ///< Set while it isn't read.
    Connections* m_queue = nullptr; ///< The list of the server that it is in.
    Connections::iterator m_inQueue;
    Connections::iterator m_inLargeBodies; ///< If it has a large receive buffer.
    Instant m_queuedSince;
    Instant m_startedAt;
    Instant m_lastReadAt;
    Instant m_idleSince;
    Instant m_lingersUntil;
    State m_state = State::Idle;
    unsigned m_version = 11;
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isHead = false;
    bool m_isChunked = false;
    bool m_hasNoBody = false; ///< The answer ends with its head.
    bool m_keepAlive = true;
    bool m_sentContinue = false;
    bool m_expectsContinue = false;
    bool m_hasCheckedHead = false;
    bool m_hasLargeBuffer = false;
    bool m_isOverrun = false; ///< The caller has sent more ahead than is kept.
};

} // namespace wrenhinge
