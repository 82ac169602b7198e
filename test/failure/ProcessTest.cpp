/** \file
 * The real processes: whole answers under load, callers that leave, drains, kills, freezes and a wiped disk.
 *
 * Nothing here depends on how long things take: each test waits for what must happen, and only a hang ends it.
 */
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "Cluster.h"
#include "StandInAnswer.h"

#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <thread>

using namespace wrenhinge::test;
using wrenhinge::HeaderList;
namespace standin = wrenhinge::standin;
using Json = nlohmann::json;

namespace {

const std::map<std::string, std::string> rules { { "service/lugeja/kind", "generation" }, { "service/lugeja/first-token-target", "5s" },
    { "service/saatja/kind", "plain" }, { "service/saatja/repeatable", "no" }, { "service/saatja/deadline", "10s" } };

std::string chat(const std::string& prompt, int maxTokens, bool isStream)
{
    return Json {
        { "model", "lugeja" }, { "stream", isStream }, { "max_tokens", maxTokens },
        { "messages", { { { "role", "user" }, { "content", prompt } } } }
    }.dump();
}

HttpAnswer generate(const Cluster& cluster, int gateway, const std::string& prompt, int maxTokens, bool isStream)
{
    return HttpClient(cluster.callers(gateway)).call("POST", "/v1/chat/completions", chat(prompt, maxTokens, isStream));
}

std::string expected(const std::string& prompt, int maxTokens, bool isStream)
{
    auto seen = standin::promptIn(chat(prompt, maxTokens, isStream));
    auto n = static_cast<std::uint32_t>(maxTokens);
    return isStream ? standin::wholeStream(seen, n) : standin::wholeAnswer(seen, n);
}

std::string outcomeOf(const HttpAnswer& answer)
{
    auto json = Json::parse(answer.body, nullptr, false);
    return json.is_object() && json.contains("error") ? json["error"].value("outcome", "") : "answered";
}

int sum(Cluster& cluster, const std::string& key)
{
    int n = 0;
    for (const auto& name : cluster.sidecars())
        n += cluster.truth(name).value(key, 0);
    return n;
}

/// Nothing is held anywhere: no slot, no waiting call, no prefill's result, no request in progress.
void expectNothingHeld(Cluster& cluster)
{
    Cluster::eventually(
        "the engines hold nothing", [&] { return sum(cluster, "running") + sum(cluster, "waiting") + sum(cluster, "held_results") == 0; });
    for (const auto& name : cluster.sidecars())
        Cluster::eventually(name + " holds nothing", [&] {
            auto status = cluster.adminJson(name, "/status");
            return status.is_null() || status["in_progress"] == 0; // Null: the process has ended.
        });
}

/// Callers in the background until `stop`; counts answers that were not as they should be.
class Load {
public:
    Load(const Cluster& cluster, std::vector<int> gateways, int callers)
    {
        for (int i = 0; i < callers; ++i) {
            m_threads.emplace_back([this, &cluster, gateways, i] {
                for (int k = 0; !m_isStopping; ++k) {
                    auto prompt = "load " + std::to_string(i) + "/" + std::to_string(k);
                    auto answer = generate(cluster, gateways[static_cast<std::size_t>(k) % gateways.size()], prompt, 20, true);
                    bool isGood = answer.status == 200 && answer.isWhole && answer.body == expected(prompt, 20, true);
                    // Refused as not run, or not taken in at all by a gateway that has gone: the caller may go elsewhere.
                    bool isHonest = answer.status == 0 || (answer.status == 503 && outcomeOf(answer) == "not_run");
                    ++(isGood ? good : isHonest ? refused : bad);
                }
            });
        }
    }
    void stop()
    {
        m_isStopping = true;
        for (auto& thread : m_threads)
            thread.join();
        m_threads.clear();
    }
    ~Load() { stop(); }

    std::atomic<int> good = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> bad = 0;

private:
    std::atomic<bool> m_isStopping = false;
    std::vector<std::thread> m_threads;
};

int runTool(const std::vector<std::string>& words, std::string* output = nullptr)
{
    std::vector<std::string> arguments { buildFolder() + "/wrenhinge" };
    arguments.insert(arguments.end(), words.begin(), words.end());
    Process tool(arguments, "/dev/null");
    auto text = tool.readAll();
    if (output)
        *output = text;
    return tool.wait();
}

} // namespace

TEST_CASE("200 concurrent callers get their own whole answers, streamed and whole, delayed and crossed")
{
    Cluster cluster({ .controllers = 1, .engineOptions = { "--token-ms", "2" } });
    cluster.start();
    cluster.configure(rules);
    std::atomic<int> wrong = 0;
    std::vector<std::thread> callers;
    for (int i = 0; i < 200; ++i) {
        callers.emplace_back([&, i] {
            if (i % 4 == 3) {
                // The later calls have the shorter delays, so that their answers overtake.
                HeaderList headers { { "X-Delay-Ms", std::to_string(200 - i) }, { "Idempotency-Key", "key-" + std::to_string(i) } };
                auto answer = HttpClient(cluster.callers(i % 2 + 1))
                                  .call("POST", "/services/saatja/call/" + std::to_string(i), "body " + std::to_string(i), headers);
                wrong += answer.body != standin::plainAnswer("POST", "/call/" + std::to_string(i), "body " + std::to_string(i));
                return;
            }
            bool isStream = i % 2;
            auto prompt = "caller " + std::to_string(i);
            // An engine's queue may be full for a moment: such an answer says that it did not run, and when to come back.
            HttpAnswer answer;
            do
                answer = generate(cluster, i % 2 + 1, prompt, 3 + i % 40, isStream);
            while (answer.status == 503 && outcomeOf(answer) == "not_run" && !answer.header("Retry-After").empty());
            wrong += answer.status != 200 || !answer.isWhole || answer.body != expected(prompt, 3 + i % 40, isStream);
        });
    }
    for (auto& caller : callers)
        caller.join();
    CHECK(wrong == 0);
    expectNothingHeld(cluster);
}

TEST_CASE("a caller that closes while it waits, prefills, transfers or streams leaves nothing held")
{
    // Guards against engine memory that stays reserved after its gateway has ended.
    SUBCASE("queued")
    {
        Cluster cluster({ .controllers = 1,
            .gateways = 1,
            .prefills = 1,
            .decodes = 1,
            .plains = 1,
            .slots = 1,
            .engineOptions = { "--token-ms", "50" } });
        cluster.start();
        cluster.configure(rules);
        HttpClient first(cluster.callers(1));
        first.send("POST", "/v1/chat/completions", chat("first", 4, true), {});
        first.readSome(1);
        HttpClient second(cluster.callers(1));
        second.send("POST", "/v1/chat/completions", chat("second", 4, true), {});
        Cluster::eventually("it waits", [&] { return cluster.adminJson("lugeja-decode-1", "/status")["load"]["queued"] == 1; });
        second.close();
        Cluster::eventually("it waits no more", [&] { return cluster.adminJson("lugeja-decode-1", "/status")["load"]["queued"] == 0; });
        CHECK(first.finish().body == expected("first", 4, true));
        expectNothingHeld(cluster);
    }
    SUBCASE("prefilling")
    {
        Cluster cluster(
            { .controllers = 1, .gateways = 1, .prefills = 1, .decodes = 1, .plains = 1, .engineOptions = { "--fixed-ms", "60000" } });
        cluster.start();
        cluster.configure(rules);
        HttpClient client(cluster.callers(1));
        client.send("POST", "/v1/chat/completions", chat("prompt", 4, true), {});
        Cluster::eventually("it prefills", [&] { return cluster.truth("lugeja-prefill-1")["running"] == 1; });
        client.close();
        expectNothingHeld(cluster);
        CHECK(cluster.truth("lugeja-prefill-1")["cancelled"] == 1);
    }
    SUBCASE("transferring")
    {
        Cluster cluster({ .controllers = 1,
            .gateways = 1,
            .prefills = 1,
            .decodes = 1,
            .plains = 1,
            .engineOptions = { "--us-per-token-link", "500000" } });
        cluster.start();
        cluster.configure(rules);
        HttpClient client(cluster.callers(1));
        client.send("POST", "/v1/chat/completions", chat(std::string(100, 'x'), 4, true), {});
        Cluster::eventually("it transfers", [&] { return cluster.truth("lugeja-prefill-1")["fetched"] == 1; });
        client.close();
        for (const auto* name : { "lugeja-prefill-1", "lugeja-decode-1" })
            Cluster::eventually("released", [&] { return cluster.adminJson(name, "/status").value("in_progress", 1) == 0; });
    }
    SUBCASE("streaming")
    {
        Cluster cluster(
            { .controllers = 1, .gateways = 1, .prefills = 1, .decodes = 1, .plains = 1, .engineOptions = { "--token-ms", "30" } });
        cluster.start();
        cluster.configure(rules);
        HttpClient client(cluster.callers(1));
        client.send("POST", "/v1/chat/completions", chat("a long answer", 100000, true), {});
        client.readSome(300);
        client.close();
        expectNothingHeld(cluster);
        CHECK(cluster.truth("lugeja-decode-1")["cancelled"] == 1);
    }
}

TEST_CASE("SIGTERM of a gateway and of sidecars under load cuts no answer")
{
    Cluster cluster({ .controllers = 1 });
    cluster.start();
    cluster.configure(rules);
    Load load(cluster, { 1, 2 }, 12);
    Cluster::eventually("load flows", [&] { return load.good > 20; });
    cluster.process("gateway-2").signal(SIGTERM);
    CHECK(cluster.process("gateway-2").wait() == 0);
    cluster.process("lugeja-decode-1").signal(SIGTERM);
    CHECK(cluster.process("lugeja-decode-1").wait() == 0);
    cluster.process("lugeja-prefill-1").signal(SIGTERM);
    CHECK(cluster.process("lugeja-prefill-1").wait() == 0);
    auto before = load.good.load();
    Cluster::eventually("load flows on", [&] { return load.good > before + 20; });
    load.stop();
    CHECK(load.bad == 0);
    expectNothingHeld(cluster);
}

TEST_CASE("kill -9 of a decode sidecar: the stream in progress breaks visibly, all else goes on")
{
    Cluster cluster({ .controllers = 1, .gateways = 1, .decodes = 1, .engineOptions = { "--token-ms", "30" } });
    cluster.start();
    cluster.configure(rules);
    HttpClient client(cluster.callers(1));
    client.send("POST", "/v1/chat/completions", chat("a long answer", 100000, true), {});
    client.readSome(300);
    cluster.process("lugeja-decode-1").kill();
    auto answer = client.finish();
    CHECK(!answer.isWhole);
    CHECK(answer.body.find("UPSTREAM_FAILED") != std::string::npos);
    cluster.startProcess("lugeja-decode-1");
    cluster.waitForUpstreams(1);
    CHECK(generate(cluster, 1, "again", 5, true).body == expected("again", 5, true));
    expectNothingHeld(cluster);
}

TEST_CASE("kill -9 of a gateway releases what it held; the other one serves on")
{
    Cluster cluster({ .controllers = 1, .engineOptions = { "--token-ms", "30" } });
    cluster.start();
    cluster.configure(rules);
    HttpClient client(cluster.callers(1));
    client.send("POST", "/v1/chat/completions", chat("a long answer", 100000, true), {});
    client.readSome(300);
    cluster.process("gateway-1").kill();
    CHECK(!client.finish().isWhole);
    expectNothingHeld(cluster);
    CHECK(generate(cluster, 2, "again", 5, true).body == expected("again", 5, true));
}

TEST_CASE("kill -9 of the leading controller: configuration and keyed calls go on with the others")
{
    Cluster cluster({ .controllers = 3 });
    cluster.start();
    cluster.configure(rules);
    for (int i = 1; i <= 3; ++i) {
        auto name = "controller-" + std::to_string(i);
        if (cluster.adminJson(name, "/status").value("is_leader", false))
            cluster.process(name).kill();
    }
    HeaderList key { { "Idempotency-Key", "k" } };
    HttpAnswer answer;
    Cluster::eventually("a keyed call is served", [&] {
        answer = HttpClient(cluster.callers(1)).call("POST", "/services/saatja/x", "b", key);
        return answer.status == 200;
    });
    auto again = HttpClient(cluster.callers(2)).call("POST", "/services/saatja/x", "b", key);
    CHECK(again.body == answer.body);
    CHECK(cluster.truth("saatja-1")["runs"].value("k", 0) + cluster.truth("saatja-2")["runs"].value("k", 0) == 1);
}

TEST_CASE("a keyed call whose sidecar is killed while it runs has an unknown outcome, and runs once")
{
    Cluster cluster({ .controllers = 1, .plains = 1 });
    cluster.start();
    cluster.configure(rules);
    HeaderList headers { { "Idempotency-Key", "k" }, { "X-Delay-Ms", "60000" } };
    HttpClient client(cluster.callers(1));
    client.send("POST", "/services/saatja/x", "b", headers);
    Cluster::eventually("it runs", [&] { return cluster.truth("saatja-1")["runs"].value("k", 0) == 1; });
    cluster.process("saatja-1").kill();
    CHECK(outcomeOf(client.finish()) == "unknown");
    cluster.startProcess("saatja-1");
    cluster.waitForUpstreams(2);
    CHECK(outcomeOf(HttpClient(cluster.callers(2)).call("POST", "/services/saatja/x", "b", headers)) == "unknown");
    CHECK(cluster.truth("saatja-1")["runs"].value("k", 0) == 1);
}

TEST_CASE("a gateway that freezes past every lease while its call runs does not make it run again")
{
    // Guards against a dispatch that runs twice.
    Cluster cluster({ .controllers = 1, .plains = 1 });
    cluster.start();
    cluster.configure(rules);
    HeaderList headers { { "Idempotency-Key", "k" }, { "X-Delay-Ms", "300" } };
    HttpClient client(cluster.callers(1));
    client.send("POST", "/services/saatja/x", "b", headers);
    Cluster::eventually("it runs", [&] { return cluster.truth("saatja-1")["runs"].value("k", 0) == 1; });
    cluster.process("gateway-1").signal(SIGSTOP);
    HttpAnswer resent;
    Cluster::eventually("the resend gets the answer", [&] {
        resent = HttpClient(cluster.callers(2)).call("POST", "/services/saatja/x", "b", headers);
        return resent.status == 200;
    });
    Cluster::eventually("the sidecar has given the frozen gateway up", [&] { return cluster.adminJson("saatja-1", "/peers").size() == 3; });
    cluster.process("gateway-1").signal(SIGCONT);
    auto first = client.finish();
    CHECK((first.body == resent.body || outcomeOf(first) == "unknown"));
    CHECK(cluster.truth("saatja-1")["runs"].value("k", 0) == 1);
}

TEST_CASE("a sidecar that freezes gets no new work, and is used again when it thaws")
{
    Cluster cluster({ .controllers = 1, .gateways = 1, .plains = 2 });
    cluster.start();
    cluster.configure(rules);
    cluster.process("saatja-1").signal(SIGSTOP);
    Cluster::eventually("it is given up", [&] { return cluster.adminJson("gateway-1", "/upstreams").size() == 6; });
    for (int i = 0; i < 10; ++i)
        CHECK(HttpClient(cluster.callers(1)).call("POST", "/services/saatja/x", "b").status == 200);
    cluster.process("saatja-1").signal(SIGCONT);
    cluster.waitForUpstreams(1);
}

TEST_CASE("a controller with a wiped data folder comes back and nothing accepted is lost")
{
    Cluster cluster({ .controllers = 3, .gateways = 1, .prefills = 1, .decodes = 1, .plains = 1 });
    cluster.start();
    cluster.configure(rules);
    cluster.process("controller-2").kill();
    std::filesystem::remove_all(cluster.folder() + "/controller-2-data");
    cluster.startProcess("controller-2");
    Cluster::eventually(
        "it has caught up", [&] { return cluster.adminJson("controller-2", "/config")["entries"].contains("service/saatja/kind"); });
    Cluster::eventually(
        "its new disk is registered", [&] { return cluster.adminJson("controller-2", "/status").value("is_voter", false); });
    cluster.process("controller-1").kill();
    cluster.configure({ { "account/desk/rate", "5/s" } });
    CHECK(cluster.adminJson("controller-3", "/config")["entries"].contains("service/saatja/kind"));
}

TEST_CASE("a gateway without any controller serves what needs no ledger and refuses the rest as not run")
{
    Cluster cluster({ .controllers = 1, .gateways = 1 });
    cluster.start();
    cluster.configure(rules);
    cluster.process("controller-1").kill();
    CHECK(generate(cluster, 1, "alone", 5, true).body == expected("alone", 5, true));
    CHECK(HttpClient(cluster.callers(1)).call("POST", "/services/saatja/x", "b").status == 200);
    auto refused = HttpClient(cluster.callers(1)).call("POST", "/services/saatja/x", "b", { { "Idempotency-Key", "k" } });
    CHECK(refused.status == 503);
    CHECK(outcomeOf(refused) == "not_run");
    CHECK(!refused.header("Retry-After").empty());
}

TEST_CASE("HTTP towards callers: keep-alive, pipelining in order, chunked bodies, HEAD")
{
    Cluster cluster({ .controllers = 1, .gateways = 1, .prefills = 1, .decodes = 1, .plains = 1 });
    cluster.start();
    cluster.configure(rules);
    HttpClient client(cluster.callers(1));
    for (int i = 0; i < 5; ++i)
        CHECK(client.call("GET", "/services/saatja/" + std::to_string(i)).body == standin::plainAnswer("GET", "/" + std::to_string(i), ""));
    HttpClient pipelined(cluster.callers(1));
    for (int i = 0; i < 5; ++i)
        pipelined.send("GET", "/services/saatja/" + std::to_string(i), "", { { "X-Delay-Ms", std::to_string(50 - 10 * i) } });
    for (int i = 0; i < 5; ++i)
        CHECK(pipelined.finish().body == standin::plainAnswer("GET", "/" + std::to_string(i), ""));
    auto chunked = HttpClient(cluster.callers(1))
                       .raw("POST /services/saatja/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nX-Delay-Ms: "
                            "0\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    // Closing the sending half counts as leaving, so the answer may be cut; what came of it must be right.
    CHECK((chunked.empty() || chunked.find("done POST /x") != std::string::npos));
}

TEST_CASE("a caller whose request and close arrive together has gone")
{
    // Guards against a call that continues for a caller that has disconnected.
    Cluster cluster(
        { .controllers = 1, .gateways = 1, .prefills = 1, .decodes = 1, .plains = 1, .engineOptions = { "--fixed-ms", "60000" } });
    cluster.start();
    cluster.configure(rules);
    for (int i = 0; i < 20; ++i) {
        auto body = chat("prompt", 4, true);
        HttpClient(cluster.callers(1))
            .raw("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    // The last of them may not have been accepted yet when the engines are idle: nothing is held before it, too.
    Cluster::eventually("all have gone", [&] { return cluster.adminJson("gateway-1", "/status")["callers"] == 0; });
    expectNothingHeld(cluster);
    CHECK(cluster.adminJson("gateway-1", "/status")["callers"] == 0);
}

TEST_CASE("limits: account tokens, body, header and concurrency")
{
    Cluster cluster({ .controllers = 1,
        .gateways = 1,
        .prefills = 1,
        .decodes = 1,
        .plains = 1,
        .gatewayExtras = "  body-limit: 10KB\n  header-limit: 4KB\n" });
    cluster.start();
    cluster.configure(rules);
    HttpClient client(cluster.callers(1));
    CHECK(client.call("POST", "/services/saatja/x", std::string(20000, 'x')).status == 413);
    CHECK(HttpClient(cluster.callers(1)).call("POST", "/services/saatja/x", "", { { "X-Big", std::string(9000, 'x') } }).status == 431);
    cluster.configure({ { "account/anonymous/concurrency", "1" } });
    HttpClient slow(cluster.callers(1));
    slow.send("POST", "/services/saatja/x", "b", { { "X-Delay-Ms", "60000" } });
    Cluster::eventually("it runs", [&] { return cluster.truth("saatja-1")["running"] == 1; });
    auto refused = HttpClient(cluster.callers(1)).call("POST", "/services/saatja/x", "b");
    CHECK(refused.status == 429);
    CHECK(outcomeOf(refused) == "not_run");
}

TEST_CASE("the tool: status, upstreams, configuration, conflicts, timeline, exit codes")
{
    Cluster cluster({ .controllers = 3, .gateways = 1, .prefills = 1, .decodes = 1, .plains = 1 });
    cluster.start();
    auto admin = cluster.admin("gateway-1");
    std::string text;
    auto file = cluster.folder() + "/config.yaml";
    std::ofstream(file) << "services:\n  saatja: { kind: plain, repeatable: no }\n  lugeja: { kind: generation }\n";
    CHECK(runTool({ "config", "check", file }) == 0);
    CHECK(runTool({ "--admin", admin, "config", "diff", file }, &text) == 0);
    CHECK(text.find("+ service/saatja/kind = plain") != std::string::npos);
    CHECK(runTool({ "--admin", admin, "--number", "1", "--change-id", "first", "config", "apply", file }) == 0);
    CHECK(runTool({ "--admin", admin, "config", "apply", file }, &text) == 0);
    CHECK(text.find("nothing to change") != std::string::npos);
    // Another operator with the same number loses; a drain under the next number is accepted.
    CHECK(runTool({ "--admin", admin, "--number", "1", "upstream", "drain", "saatja", "saatja-1" }) == 1);
    CHECK(runTool({ "--admin", admin, "upstream", "drain", "saatja", "saatja-1" }) == 0);
    Cluster::eventually("it drains", [&] { return cluster.adminJson("saatja-1", "/status").value("draining", false); });
    CHECK(HttpClient(cluster.callers(1)).call("POST", "/services/saatja/x", "b").status == 503);
    CHECK(runTool({ "--admin", admin, "upstream", "resume", "saatja", "saatja-1" }) == 0);
    Cluster::eventually(
        "it serves again", [&] { return HttpClient(cluster.callers(1)).call("POST", "/services/saatja/x", "b").status == 200; });
    CHECK(runTool({ "--admin", admin, "--json", "upstream", "list" }, &text) == 0);
    CHECK(Json::parse(text).size() == 3);
    CHECK(runTool({ "--admin", admin, "config", "history" }, &text) == 0);
    CHECK(text.find("first") != std::string::npos);
    CHECK(runTool({ "--admin", admin, "--json", "status" }, &text) == 0);
    CHECK(Json::parse(text).size() == 7);
    auto answer = HttpClient(cluster.callers(1)).call("POST", "/services/saatja/x", "b");
    CHECK(runTool({ "--admin", admin, "request", "explain", answer.header("X-Request-Id") }, &text) == 0);
    CHECK(text.find("WORK_ADMITTED") != std::string::npos);
    CHECK(runTool({ "--admin", admin, "--json", "timeline" }, &text) == 0);
    CHECK(Json::parse(text).size() > 10);
    CHECK(runTool({ "--admin", admin, "metrics" }, &text) == 0);
    CHECK(text.find("wrenhinge_goodput_total") != std::string::npos);
    CHECK(runTool({ "--admin", admin, "request", "explain", "nobody" }) == 1);
    CHECK(runTool({ "--admin", "127.0.0.1:1", "status" }) == 3);
    CHECK(runTool({ "--admin", admin, "frobnicate" }) == 2);
    CHECK(runTool({ "--frobnicate" }) == 2);
}

TEST_CASE("a second SIGTERM ends a drain at once; SIGHUP reads the log level again")
{
    Cluster cluster({ .controllers = 1, .gateways = 1, .prefills = 1, .decodes = 1, .plains = 1 });
    cluster.start();
    cluster.configure(rules);
    HttpClient slow(cluster.callers(1));
    slow.send("POST", "/services/saatja/x", "b", { { "X-Delay-Ms", "60000" } });
    Cluster::eventually("it runs", [&] { return cluster.truth("saatja-1")["running"] == 1; });
    auto& gateway = cluster.process("gateway-1");
    gateway.signal(SIGHUP);
    gateway.signal(SIGTERM);
    Cluster::eventually("it drains", [&] { return cluster.adminJson("gateway-1", "/status").value("draining", false); });
    gateway.signal(SIGTERM);
    CHECK(gateway.wait() == 3);
}
