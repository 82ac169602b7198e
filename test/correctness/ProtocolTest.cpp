/** \file
 * What goes over wires: messages, engine bodies, tokens counted across pieces, callers' requests.
 */
#include "connection/AccountBook.h"
#include "connection/CallerProtocol.h"
#include "connection/EngineProtocol.h"
#include "message/Codec.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace wrenhinge;

namespace {

CallerHttpRequest post(const std::string& target, const std::string& body, HeaderList headers = {})
{
    return { "POST", target, std::move(headers), body };
}

} // namespace

TEST_CASE("every message survives coding")
{
    CHECK(rc::check([](const std::string& key, const std::string& body, std::uint64_t n, std::uint32_t m, bool b) {
        Dispatch dispatch { { PeerId(n), n + 1 }, Attempt(m), n, PeerId(m), Priority::Urgent, Duration(m), b, key, "POST", "/x",
            { { key, body } }, body };
        auto decoded = decode(encode(dispatch));
        RC_ASSERT(decoded.has_value());
        const auto& copy = std::get<Dispatch>(*decoded);
        RC_ASSERT(copy.request == dispatch.request && copy.key == key && copy.body == body && copy.headers == dispatch.headers
            && copy.repeatable == b);
    }));
    AppendRequest append { 3, 2, 1, 1, 9,
        { { 3, 3, ConfigCommand { 1, "id", "me", { { "a", "b" } }, { "c" } } }, { 3, 4, FenceCommand { "u", "o" } } } };
    auto decoded = decode(encode(append));
    REQUIRE(decoded);
    CHECK(std::get<ConfigCommand>(std::get<AppendRequest>(*decoded).entries[0].command).removes == std::vector<std::string> { "c" });
}

TEST_CASE("bytes that are no message are refused, whatever they are")
{
    CHECK(rc::check([](const std::string& bytes) {
        (void)decode(bytes);
        return true;
    }));
    auto good = encode(Cancel { { PeerId(1), 2 }, Attempt(3) });
    for (std::size_t n = 0; n < good.size(); ++n)
        CHECK(!decode(good.substr(0, n)));
}

TEST_CASE("a few bytes that claim a huge value are refused without reserving memory for it")
{
    // Guards against a process that runs out of memory over a message with a false length.
    for (unsigned char type : { 0xdd, 0xdf, 0xdb, 0xc6, 0xc9 }) {
        std::string bytes(1, static_cast<char>(type));
        bytes += "\xff\xff\xff\xff";
        CHECK(!decode(bytes));
        CHECK(!decode(std::string("\x92\x00", 2) + bytes));
    }
    CHECK(!decode(std::string(10000, '\x91')));
}

TEST_CASE("a value that an enumeration doesn't have is refused, not carried on")
{
    // Guards against a process that crashes over an unknown result code.
    ProposeReply reply;
    reply.code = static_cast<ResultCode>(9999);
    CHECK(!decode(encode(reply)));
    reply.code = ResultCode::ConfigConflict;
    CHECK(decode(encode(reply)));
    Hello hello;
    hello.role = static_cast<Role>(3);
    CHECK(!decode(encode(hello)));
    RelayedAnnouncement announced;
    announced.announcement.state = static_cast<ReplicaState>(2);
    CHECK(!decode(encode(announced)));
    announced.announcement.state = ReplicaState::Draining;
    announced.announcement.kind = static_cast<UpstreamKind>(200);
    CHECK(!decode(encode(announced)));
    Dispatch dispatch;
    dispatch.priority = static_cast<Priority>(2);
    CHECK(!decode(encode(dispatch)));
    SealReply seal;
    seal.state = static_cast<AttemptState>(4);
    CHECK(!decode(encode(seal)));
}

TEST_CASE("a span of time that would overflow the clock is refused")
{
    RelayedAnnouncement announced;
    for (auto age : { Duration::max(), Duration::min(), Duration(std::chrono::hours(24 * 365 * 200)) }) {
        announced.age = age;
        CHECK(!decode(encode(announced)));
    }
    announced.age = 24h;
    CHECK(decode(encode(announced)));
}

TEST_CASE("tokens are counted alike however the stream is cut")
{
    const std::string stream = "data: {\"a\":1}\n\ndata: {\"a\":2}\n\ndata: {\"x\":\"data: \"}\n\ndata: [DONE]\n\n";
    CHECK(rc::check([&stream](std::vector<std::uint8_t> cuts) {
        TokenCounter counter(true);
        std::uint32_t n = 0;
        std::size_t at = 0;
        for (auto cut : cuts) {
            auto piece = stream.substr(std::min(at, stream.size()), cut % 9);
            n += counter.count(piece);
            at += piece.size();
        }
        n += counter.count(stream.substr(std::min(at, stream.size())));
        RC_ASSERT(n == 3u);
    }));
}

TEST_CASE("a whole answer's tokens are read from its usage, also when it is cut there")
{
    const std::string answer = "{\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":123}}";
    TokenCounter whole(false);
    CHECK(whole.count(answer) == 123);
    TokenCounter cut(false);
    auto middle = answer.find("completion") + 4;
    auto n = cut.count(answer.substr(0, middle));
    n += cut.count(answer.substr(middle));
    CHECK(n == 123);
}

TEST_CASE("a prefill computes one token for a remote decode and keeps the caller's prompt")
{
    auto body
        = makePrefillBody(R"({"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":99,"stream":true})", Priority::Urgent);
    REQUIRE(body);
    auto json = nlohmann::json::parse(body.value());
    CHECK(json["max_tokens"] == 1);
    CHECK(json["stream"] == false);
    CHECK(json["priority"] == 0);
    CHECK(json["kv_transfer_params"]["do_remote_decode"] == true);
    CHECK(json["messages"][0]["content"] == "hi");
    CHECK(!makePrefillBody("[1]", Priority::Normal));
}

TEST_CASE("a decode uses the prefill's handle and the caller's own limit")
{
    auto body = makeDecodeBody(R"({"max_tokens":99,"stream":true})", R"({"remote_engine_id":"e"})", Priority::Normal);
    REQUIRE(body);
    auto json = nlohmann::json::parse(body.value());
    CHECK(json["max_tokens"] == 99);
    CHECK(json["kv_transfer_params"]["remote_engine_id"] == "e");
}

TEST_CASE("a generation request is read")
{
    auto caller = readCallerRequest(
        post("/v1/chat/completions", R"({"model":"lugeja","stream":true,"max_tokens":7,"messages":[{"role":"user","content":"abcd"}]})",
            { { "wrenhinge-priority", "urgent" } }),
        "desk");
    REQUIRE(caller);
    CHECK(caller.value().service == "lugeja");
    CHECK(caller.value().isStreamed);
    CHECK(caller.value().asksUrgent);
    CHECK(caller.value().maxTokens == 7);
}

TEST_CASE("equal prompts share their blocks up to where they differ")
{
    auto blocks = [](const std::string& prompt) {
        return readCallerRequest(post("/v1/completions", nlohmann::json { { "model", "m" }, { "prompt", prompt } }.dump()), "a")
            .value()
            .prefixBlocks;
    };
    auto a = blocks(std::string(1000, 'x'));
    auto b = blocks(std::string(600, 'x') + std::string(400, 'y'));
    REQUIRE(a.size() == 3);
    CHECK(a[0] == b[0]);
    CHECK(a[1] == b[1]);
    CHECK(a[2] != b[2]);
}

TEST_CASE("a service call keeps path, query and headers, but not the account's token")
{
    auto caller = readCallerRequest(
        { "PUT", "/services/saatja/a/b?c=d", { { "Authorization", "Bearer x.y" }, { "X-Own", "1" }, { "Connection", "close" } }, "body" },
        "desk");
    REQUIRE(caller);
    CHECK(caller.value().service == "saatja");
    CHECK(caller.value().target == "/a/b?c=d");
    CHECK(headerOf(caller.value().headers, "x-own") == "1");
    CHECK(headerOf(caller.value().headers, "authorization").empty());
    CHECK(headerOf(caller.value().headers, "connection").empty());
}

TEST_CASE("an error says what to do, what became of the request, and when to come back")
{
    auto json = nlohmann::json::parse(errorBody({ ResultCode::Overloaded, "come back", 1500ms }, { PeerId(1), 2 }));
    CHECK(json["error"]["code"] == 200);
    CHECK(json["error"]["outcome"] == "not_run");
    CHECK(json["error"]["retry_after_ms"] == 1500);
    CHECK(retryAfterSeconds(1500ms) == "2");
    CHECK(retryAfterSeconds(1ms) == "1");
}

TEST_CASE("a token is right only with its account's secret")
{
    auto book = AccountBook::parse("accounts:\n  - { name: desk, salt: s1, sha256: " + hashSecret("s1", "secret") + " }\n", "f");
    REQUIRE(book);
    CHECK(book.value().identify("Bearer desk.secret") == "desk");
    for (const auto* wrong : { "", "Bearer desk.wrong", "Bearer desk", "Bearer other.secret", "desk.secret", "Basic desk.secret" })
        CHECK_MESSAGE(!book.value().identify(wrong), wrong);
    CHECK(AccountBook().identify("") == "anonymous");
}
