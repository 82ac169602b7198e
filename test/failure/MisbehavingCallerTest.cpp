/** \file
 * A real gateway with sidecars before callers that don't behave, beside ordinary ones.
 */
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "Cluster.h"
#include "MemoryWatch.h"
#include "RawClient.h"

#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <iostream>

using namespace wrenhinge::test;
using namespace std::chrono_literals;

namespace {

[[maybe_unused]] const bool hasDescriptors = raiseDescriptorLimit();
/// What the settings name by default.
constexpr std::size_t gatewayMemory = 160'000'000;
/// The limits of callers by default.
constexpr std::size_t headerLimit = 16384;
constexpr std::size_t bodyLimit = 8'000'000;
constexpr std::size_t connectionLimit = 3000;
/// Ordinary calls once all clients of a kind have sent what they send; besides those meanwhile.
constexpr int soundCalls = 20;
constexpr auto soundPause = 20ms;

class Site {
public:
    Site()
    {
        m_cluster.start();
        if (isMemoryMeasured)
            m_watch = std::make_unique<MemoryWatch>(
                m_cluster.process("gateway-1"), std::set<std::uint16_t> { portOf(address()) }, gatewayMemory);
    }

    [[nodiscard]] std::string address() const { return m_cluster.callers(1); }
    [[nodiscard]] Process& sidecar() { return m_cluster.process("saatja-1"); }

    /// Plays so many clients at once, beside ordinary callers, and checks what must hold.
    void play(const std::string& what, std::size_t clients, const std::function<void(std::size_t)>& client)
    {
        CAPTURE(what);
        std::atomic<std::size_t> unfinished = clients;
        std::vector<std::thread> threads;
        threads.reserve(clients);
        for (std::size_t i = 0; i < clients; ++i) {
            threads.emplace_back([&, i] {
                client(i);
                --unfinished;
            });
        }
        int asked = 0;
        int served = 0;
        m_firstFailure.clear();
        for (int askedSince = 0; askedSince < soundCalls && !hasFailed();) {
            askedSince += unfinished ? 0 : 1;
            ++asked;
            served += askSound() ? 1 : 0;
            std::this_thread::sleep_for(soundPause);
        }
        for (auto& thread : threads)
            thread.join();
        std::cout << what << ": " << (m_watch ? m_watch->takeMost() / 1000000 : 0) << " MB, served " << served << " of " << asked
                  << std::endl;
        REQUIRE(!hasFailed());
        CAPTURE(m_firstFailure);
        CHECK(served == asked);
    }

private:
    [[nodiscard]] bool askSound()
    {
        auto answer = HttpClient(address()).call("POST", "/services/saatja/x", "b");
        if (answer.status != 200 && m_firstFailure.empty())
            m_firstFailure = std::to_string(answer.status) + " " + answer.body;
        return answer.status == 200;
    }

    [[nodiscard]] bool hasFailed() const { return m_watch && m_watch->wasExceeded(); }

    Cluster m_cluster { { .controllers = 1,
        .gateways = 1,
        .prefills = 1,
        .decodes = 1,
        .plains = 1,
        .gatewayExtras = "  connection-limit: " + std::to_string(connectionLimit) + "\n" } };
    std::unique_ptr<MemoryWatch> m_watch;
    std::string m_firstFailure; ///< Of an ordinary caller in the present scene.
};

std::string headOf(const std::string& target, const std::string& fields)
{
    return "POST " + target + " HTTP/1.1\r\nHost: desk.example\r\n" + fields + "\r\n";
}

const std::vector<std::string> targets { "/services/saatja/x", "/services/nobody/x", "/v1/chat/completions", "/nowhere" };

} // namespace

TEST_CASE("many bodies of the largest size, or half of them, or beyond it")
{
    // Guards against a gateway that keeps as many bodies as callers send.
    Site site;
    constexpr std::size_t clients = 40;
    const std::string body(bodyLimit, 'x');
    for (const auto& target : targets) {
        site.play("bodies at " + target, clients, [&](std::size_t) {
            RawClient client(site.address());
            if (client.send(headOf(target, lengthField(bodyLimit)) + body))
                client.readStatus();
        });
        site.play("chunks beyond the limit at " + target, clients, [&](std::size_t) {
            RawClient client(site.address());
            auto part = chunk(body.substr(0, 1u << 16));
            bool isTaken = client.send(headOf(target, chunked));
            for (std::size_t sent = 0; sent < 2 * bodyLimit && isTaken; sent += part.size())
                isTaken = client.send(part);
        });
        std::vector<std::unique_ptr<RawClient>> waiting;
        site.play("half-way at " + target, 1, [&](std::size_t) {
            for (std::size_t i = 0; i < clients; ++i) {
                waiting.push_back(std::make_unique<RawClient>(site.address()));
                waiting.back()->send(headOf(target, lengthField(bodyLimit)) + body.substr(0, bodyLimit / 2));
            }
        });
    }
}

TEST_CASE("many requests at once that are sound but for their size")
{
    // Guards against a gateway that is over its memory, or loses its links, by what it sends on for a few callers.
    Site site;
    constexpr std::size_t clients = 40;
    for (std::size_t bytes : { bodyLimit - 200, bodyLimit / 2, bodyLimit / 8 }) {
        auto size = std::to_string(bytes / 1000) + " KB";
        const std::string prompt(bytes, 'x');
        const auto generation = R"({"model":"lugeja","max_tokens":2,"prompt":")" + prompt + "\"}";
        site.play("service calls of " + size, clients, [&](std::size_t) {
            RawClient client(site.address());
            if (client.send(headOf("/services/saatja/x", lengthField(prompt.size())) + prompt))
                client.readStatus();
        });
        site.play("generations of " + size, clients, [&](std::size_t) {
            RawClient client(site.address());
            if (client.send(headOf("/v1/completions", lengthField(generation.size())) + generation))
                client.readStatus();
        });
    }
}

TEST_CASE("large requests for a sidecar that reads nothing for a second")
{
    // Guards against a link that is closed for the bytes that wait for it: the small requests beside the large ones would fail with it.
    Site site;
    constexpr std::size_t clients = 40;
    constexpr auto pause = 1s;
    const std::string body(bodyLimit / 8, 'x');
    site.sidecar().signal(SIGSTOP);
    std::thread waking([&] {
        std::this_thread::sleep_for(pause);
        site.sidecar().signal(SIGCONT);
    });
    site.play("service calls while the sidecar is stopped", clients, [&](std::size_t) {
        RawClient client(site.address());
        if (client.send(headOf("/services/saatja/x", lengthField(body.size())) + body))
            client.readStatus();
    });
    waking.join();
}

TEST_CASE("bodies that take many times their size, or all of the stack, once they are read")
{
    // Guards against a gateway that ends over one request: a list of lists is read by functions that call themselves.
    Site site;
    constexpr std::size_t depth = 500'000;
    constexpr std::size_t greatestDepth = bodyLimit / 2 - 100;
    auto nested = [](std::size_t levels) { return std::string(levels, '[') + std::string(levels, ']'); };
    const std::string opening = R"({"model":"lugeja","prompt":)";
    std::string many = opening + "[1";
    while (many.size() < bodyLimit - 10)
        many += ",1";
    for (const auto& body : { opening + nested(depth) + "}", opening + nested(greatestDepth) + "}", many + "]}" }) {
        site.play("values", 2, [&](std::size_t) {
            RawClient client(site.address());
            CHECK(client.send(headOf("/v1/completions", lengthField(body.size())) + body));
            CHECK(client.readStatus() == 400);
        });
    }
}

TEST_CASE("very many fields, requests sent ahead, and crowds that ask for nothing")
{
    // Guards against memory and places that are taken by callers who ask for nothing, or read nothing.
    Site site;
    constexpr std::size_t clients = 250;
    constexpr std::size_t crowd = 4000;
    constexpr int requests = 2000;
    for (const auto& target : targets) {
        std::vector<std::unique_ptr<RawClient>> waiting(clients);
        site.play("fields before a body that does not come at " + target, 1, [&](std::size_t) {
            for (auto& client : waiting) {
                client = std::make_unique<RawClient>(site.address());
                client->send(headOf(target, shortFields(headerLimit) + lengthField(bodyLimit)) + "x");
            }
        });
        constexpr std::size_t eager = 30;
        site.play("sent ahead at " + target, eager, [&](std::size_t i) {
            std::string bytes;
            for (int n = 0; n < requests; ++n)
                bytes += headOf(target, lengthField(0));
            waiting[i] = std::make_unique<RawClient>(site.address());
            waiting[i]->send(bytes);
        });
    }
    std::vector<std::unique_ptr<RawClient>> waiting;
    site.play("crowd", 1, [&](std::size_t) {
        for (std::size_t i = 0; i < crowd; ++i)
            waiting.push_back(std::make_unique<RawClient>(site.address()));
    });
}
