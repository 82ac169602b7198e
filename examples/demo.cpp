/** \file
 * `make demo`: the whole path as separate processes, shown and checked.
 *
 * Starts 3 controllers, 2 gateways and sidecars with stand-ins, applies a configuration, sends a handover with a long
 * prompt, an urgent one, and a dispatch that may not be repeated with the same key through both gateways; shows what
 * happened and drains everything. Exits non-zero if anything is not as it should be.
 */
#include "Cluster.h"
#include "StandInAnswer.h"

#include <csignal>
#include <fstream>
#include <iostream>

namespace {

using namespace wrenhinge::test;
namespace standin = wrenhinge::standin;
using Json = nlohmann::json;

int failures = 0;

void expect(bool holds, const std::string& what)
{
    std::cout << (holds ? "  ok: " : "  NOT AS IT SHOULD BE: ") << what << "\n";
    failures += holds ? 0 : 1;
}

int runTool(const std::vector<std::string>& words)
{
    std::vector<std::string> arguments { buildFolder() + "/wrenhinge" };
    arguments.insert(arguments.end(), words.begin(), words.end());
    Process tool(arguments, "");
    std::cout << tool.readAll();
    return tool.wait();
}

std::string chatBody(const std::string& prompt, int maxTokens)
{
    return Json {
        { "model", "lugeja" }, { "stream", true }, { "max_tokens", maxTokens },
        { "messages", { { { "role", "user" }, { "content", prompt } } } }
    }.dump();
}

void sendHandover(const Cluster& cluster, int gateway, const std::string& prompt, const wrenhinge::HeaderList& headers)
{
    auto body = chatBody(prompt, 24);
    HttpClient client(cluster.callers(gateway));
    client.send("POST", "/v1/chat/completions", body, headers);
    auto answer = client.finish();
    std::cout << "  tokens:";
    for (std::size_t at = 0; (at = answer.body.find("\"content\":\"", at)) != std::string::npos;) {
        at += 11;
        std::cout << " " << answer.body.substr(at, answer.body.find('"', at) - at - 1) << std::flush;
    }
    std::cout << "\n";
    expect(answer.status == 200 && answer.isWhole, "answered whole");
    expect(answer.body == standin::wholeStream(standin::promptIn(body), 24), "every byte is the engine's");
    runTool({ "--admin", cluster.admin("gateway-" + std::to_string(gateway)), "request", "explain", answer.header("X-Request-Id") });
}

void sendDispatchTwice(Cluster& cluster)
{
    const wrenhinge::HeaderList headers { { "Idempotency-Key", "escort-4711" } };
    auto first = HttpClient(cluster.callers(1)).call("POST", "/services/saatja/escort", "door 12", headers);
    auto second = HttpClient(cluster.callers(2)).call("POST", "/services/saatja/escort", "door 12", headers);
    std::cout << "  first answer:  " << first.body << "  second answer: " << second.body;
    expect(first.status == 200 && second.status == 200 && first.body == second.body, "both callers get the one answer");
    int runs = 0;
    for (const auto& name : { "saatja-1", "saatja-2" })
        runs += cluster.truth(name)["runs"].value("escort-4711", 0);
    expect(runs == 1, "the service ran it " + std::to_string(runs) + " time(s)");
}

void drainAll(Cluster& cluster)
{
    auto drain = [&cluster](const std::string& name) {
        cluster.process(name).signal(SIGTERM);
        expect(cluster.process(name).wait() == 0, name + " drained");
    };
    for (const auto& name : { "gateway-1", "gateway-2" })
        drain(name);
    for (const auto& name : cluster.sidecars())
        drain(name);
    for (const auto& name : { "controller-1", "controller-2", "controller-3" })
        drain(name);
}

} // namespace

int main()
{
    try {
        std::cout << "Starting 3 controllers, 2 gateways, 7 sidecars with stand-ins\n";
        Cluster cluster({});
        cluster.start();
        std::cout << "Applying a configuration\n";
        auto file = cluster.folder() + "/config.yaml";
        std::ofstream(file) << "sites:\n  ulemiste: { zones: [terminal-a, gate-pier, arrivals-hall] }\nservices:\n"
                               "  lugeja: { kind: generation, urgent: on-request, first-token-target: 570ms, token-interval-target: 27ms, "
                               "weight-goodput: 3 }\n"
                               "  saatja: { kind: plain, urgent: always, repeatable: no, deadline: 2s }\n";
        auto admin = cluster.admin("gateway-1");
        expect(runTool({ "--admin", admin, "config", "apply", file }) == 0, "accepted");
        Cluster::eventually("configuration in force", [&] { return cluster.adminJson("gateway-2", "/config").value("version", 0) > 0; });
        Cluster::eventually("configuration in force", [&] { return cluster.adminJson("gateway-1", "/config").value("version", 0) > 0; });
        std::cout << "A handover with a long prompt\n";
        sendHandover(cluster, 1, "passenger history: " + std::string(20000, 'x') + " write the handover", {});
        std::cout << "An urgent handover\n";
        sendHandover(cluster, 2, "wheelchair at gate 7, oxygen", { { "Wrenhinge-Priority", "urgent" } });
        std::cout << "A dispatch that may not be repeated, with one key through both gateways\n";
        sendDispatchTwice(cluster);
        std::cout << "wrenhinge status\n";
        expect(runTool({ "--admin", admin, "status" }) == 0, "status");
        runTool({ "--admin", admin, "upstream", "list" });
        runTool({ "--admin", admin, "config", "status" });
        std::cout << "Draining\n";
        drainAll(cluster);
    } catch (const std::exception& e) {
        expect(false, e.what());
    }
    std::cout << (failures ? "demo: FAILED\n" : "demo: all as it should be\n");
    return failures ? 1 : 0;
}
