/** \file
 * Answers that are broken, and ones that are only unusual, to the calls of a gateway (UpstreamPool) and of a sidecar (UpstreamClient).
 */
#include "AcceptLoop.h"
#include "RawAnswers.h"
#include "connection/AnswerReader.h"
#include "connection/UpstreamClient.h"
#include "connection/UpstreamPool.h"

#include <doctest/doctest.h>
#include <memory>
#include <thread>

using namespace wrenhinge;
using namespace wrenhinge::test;
using namespace std::chrono_literals;

namespace {

/// More than the sockets between a caller and a replica hold.
constexpr std::size_t uploadBytes = 32u << 20;

struct Outcome {
    bool isWhole = false;
    int status = 0; ///< As passed on; zero: no head was.
    std::string body;
    std::string failure;
};

enum class Pieces : std::uint8_t { Whole, Bytes };

/// Answers each connection with the same bytes.
class Replica {
public:
    Replica(std::string answer, Pieces pieces)
        : m_loop([answer = std::move(answer), pieces](Tcp::socket& socket) {
            std::string request;
            ErrorCode ec;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", ec);
            std::size_t size = pieces == Pieces::Whole ? answer.size() : 1;
            socket.set_option(Tcp::no_delay(true), ec);
            for (std::size_t i = 0; i < answer.size() && !ec; i += size)
                boost::asio::write(socket, boost::asio::buffer(answer.data() + i, std::min(size, answer.size() - i)), ec);
        })
    {
    }
    [[nodiscard]] const std::string& address() const { return m_loop.address(); }

private:
    AcceptLoop m_loop;
};

/// \param body of the request.
Outcome callOfGateway(const std::string& address, const std::string& body = "")
{
    IoContext io { 1 };
    auto guard = boost::asio::make_work_guard(io);
    UpstreamPool pool { boost::asio::make_strand(io) };
    Outcome outcome;
    bool hasEnded = false;
    UpstreamCallHandlers handlers;
    handlers.whose = [](const UpstreamHead&) { return AnswerOwner::ThisCall; };
    handlers.onHead = [&](const UpstreamHead& head) { outcome.status = head.status; };
    handlers.onBody = [&](const std::string& bytes) { outcome.body += bytes; };
    handlers.onEnd = [&] { outcome.isWhole = hasEnded = true; };
    handlers.onFailure = [&](bool mayHaveRun, const std::string& why) {
        CHECK(mayHaveRun);
        outcome.failure = why;
        hasEnded = true;
    };
    UpstreamRequest request { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" };
    request.body = std::make_shared<const std::string>(body);
    pool.call({ "r", {} }, address, std::move(request), std::move(handlers));
    while (!hasEnded)
        io.run_one();
    return outcome;
}

Outcome callOfSidecar(const std::string& address)
{
    IoContext io { 1 };
    auto guard = boost::asio::make_work_guard(io);
    Outcome outcome;
    bool hasEnded = false;
    auto colon = address.find(':');
    Tcp::endpoint endpoint(
        boost::asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    UpstreamClient client(io, endpoint, [&](const sidecar::Event& event) {
        if (const auto* head = std::get_if<sidecar::CallHead>(&event)) {
            outcome.status = head->status;
        } else if (const auto* data = std::get_if<sidecar::CallData>(&event)) {
            outcome.body += data->bytes;
        } else if (std::holds_alternative<sidecar::CallEnd>(event)) {
            outcome.isWhole = hasEnded = true;
        } else if (const auto* failed = std::get_if<sidecar::CallFailed>(&event)) {
            CHECK(failed->mayHaveRun);
            hasEnded = true;
        }
    });
    UpstreamCall call;
    call.id = CallId(1);
    call.kind = UpstreamKind::Plain;
    call.method = "GET";
    call.path = "/";
    client.start(std::move(call));
    while (!hasEnded)
        io.run_one();
    return outcome;
}

/// What a reader makes of an answer that comes in two pieces, the first of this size.
Outcome readInTwo(const std::string& bytes, std::size_t first)
{
    AnswerReader reader(bytes.size(), false);
    Outcome outcome;
    for (const auto& piece : { bytes.substr(0, first), bytes.substr(first) }) {
        reader.add(piece);
        for (auto part = AnswerReader::Part::Head; part != AnswerReader::Part::None;) {
            part = reader.next();
            if (part == AnswerReader::Part::Head)
                outcome.status = reader.head().status;
            else if (part == AnswerReader::Part::Body)
                outcome.body += reader.takeBody();
            outcome.isWhole = part == AnswerReader::Part::End;
            if (outcome.isWhole || part == AnswerReader::Part::Fault)
                return outcome;
        }
    }
    outcome.isWhole = reader.endsWithConnection();
    return outcome;
}

/// Lets both kinds of callers ask for the answer, in one piece and byte by byte.
template <typename F> void ask(const RawAnswer& answer, F check)
{
    auto bytes = withIdentity(answer, "Id: me\r\n");
    CAPTURE(answer.name);
    for (auto pieces : { Pieces::Whole, Pieces::Bytes }) {
        Replica replica(bytes, pieces);
        {
            INFO("a gateway's call");
            check(callOfGateway(replica.address()));
        }
        {
            INFO("a sidecar's call");
            check(callOfSidecar(replica.address()));
        }
    }
}

/// Nothing of the answer may look whole. \param hasHead its head is an answer's, and may be passed on before the fault comes.
void checkBroken(const std::vector<RawAnswer>& answers, bool hasHead = false)
{
    for (const auto& answer : answers) {
        ask(answer, [&](const Outcome& outcome) {
            CHECK(!outcome.isWhole);
            CHECK((hasHead || outcome.status == 0));
        });
    }
}

} // namespace

TEST_CASE("an answer whose status can't exist is no answer")
{
    // Guards against a status that no caller understands, passed on with the signature of a replica in trouble.
    checkBroken(impossibleStatuses);
}

TEST_CASE("an answer whose body is in a transfer coding other than chunked is no answer")
{
    // Guards against coded bytes that are passed on as if they were the body.
    checkBroken(unknownCodings);
}

TEST_CASE("an answer with a folded line is no answer")
{
    // Guards against a line that becomes part of the field before it.
    checkBroken(foldedLines);
    checkBroken(foldedFirstLine);
}

TEST_CASE("an answer whose head breaks the grammar is no answer")
{
    // Guards against heads that are passed on by a guess at what they mean.
    checkBroken(brokenStatusLines);
    checkBroken(brokenFieldNames);
    checkBroken(brokenFieldValues);
    checkBroken(brokenLengths);
}

TEST_CASE("an answer whose body breaks the grammar is not whole")
{
    // Guards against a part of a body that looks like all of it.
    checkBroken(brokenChunks, true);
}

TEST_CASE("what an answer is does not depend on how its bytes are split")
{
    // Guards against a broken head whose two sides of the break are read one after the other.
    for (const auto& answers : { impossibleStatuses, unknownCodings, foldedLines, foldedFirstLine, brokenStatusLines, brokenFieldNames,
             brokenFieldValues, brokenLengths, unusualAnswers }) {
        for (const auto& answer : answers) {
            CAPTURE(answer.name);
            auto bytes = withIdentity(answer, "Id: me\r\n");
            for (std::size_t i = 0; i <= bytes.size(); ++i) {
                CAPTURE(i);
                auto outcome = readInTwo(bytes, i);
                CHECK(outcome.isWhole == (answer.status != 0));
                CHECK(outcome.status == answer.status);
                CHECK(outcome.body == answer.body);
            }
        }
    }
}

TEST_CASE("an answer without length whose connection ends during the upload is whole if it was closed, and cut if it was reset")
{
    // Guards against a part of a body that looks like all of it: the failed write takes the reset, and the read sees a clean end.
    const std::string upload(uploadBytes, 'x');
    for (bool isReset : { true, false }) {
        for (auto pause : { 0ms, 1ms, 20ms }) {
            CAPTURE(isReset);
            CAPTURE(pause.count());
            for (int i = 0; i < 10; ++i) {
                AcceptLoop replica([isReset, pause](Tcp::socket& socket) {
                    std::string request;
                    ErrorCode ec;
                    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", ec);
                    boost::asio::write(socket, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\nbody")), ec);
                    std::this_thread::sleep_for(pause);
                    if (isReset) {
                        socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
                        socket.close(ec);
                    } else {
                        socket.shutdown(Tcp::socket::shutdown_send, ec);
                        boost::asio::read(socket, boost::asio::dynamic_buffer(request), ec);
                    }
                });
                auto outcome = callOfGateway(replica.address(), upload);
                CHECK(outcome.isWhole != isReset);
                CHECK((isReset || outcome.body == "body"));
            }
        }
    }
}

TEST_CASE("an unusual answer that the protocol allows is passed on")
{
    for (const auto& answer : unusualAnswers) {
        ask(answer, [&](const Outcome& outcome) {
            CHECK(outcome.isWhole);
            CHECK(outcome.status == answer.status);
            CHECK(outcome.body == answer.body);
        });
    }
}
