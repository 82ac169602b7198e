/** \file
 * The real processes with sidecars, before upstreams that state how many requests a second they take.
 */
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "StatedLimit.h"
#include "Cluster.h"

#include <atomic>
#include <doctest/doctest.h>
#include <thread>

using namespace wrenhinge::test;
using namespace std::chrono_literals;

namespace {

constexpr int gateways = 3;
constexpr double limit = 2;

/// Several callers at each gateway that send one request after the other until this is destroyed.
class Callers {
public:
    Callers(const Cluster& cluster, std::string method, std::string path, std::string body)
        : m_method(std::move(method))
        , m_path(std::move(path))
        , m_body(std::move(body))
    {
        for (int i = 0; i < gateways * callersPerGateway; ++i)
            m_threads.emplace_back([this, &cluster, i] { callUntilStopped(cluster, 1 + i % gateways); });
    }
    ~Callers()
    {
        m_isStopping = true;
        for (auto& thread : m_threads)
            thread.join();
    }

    std::atomic<int> served = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> failed = 0;

private:
    static constexpr int callersPerGateway = 5;
    static constexpr auto pause = 20ms;

    void callUntilStopped(const Cluster& cluster, int gateway)
    {
        while (!m_isStopping) {
            auto answer = HttpClient(cluster.callers(gateway)).call(m_method, m_path, m_body);
            ++(answer.status == 200 ? served : answer.status == 503 ? refused : failed);
            std::this_thread::sleep_for(pause);
        }
    }

    std::string m_method;
    std::string m_path;
    std::string m_body;
    std::atomic<bool> m_isStopping = false;
    std::vector<std::thread> m_threads;
};

Arrivals arrivalsAt(Cluster& cluster, const std::string& sidecar)
{
    Arrivals arrivals;
    auto truth = cluster.truth(sidecar);
    for (const auto& ms : truth.at("arrivals_ms"))
        arrivals.emplace_back(std::chrono::milliseconds(ms.get<std::int64_t>()));
    return arrivals;
}

/// Loads the upstreams for some windows. \returns false if one of them got more than its limit allows.
bool keepsLimits(Cluster& cluster, const std::vector<std::string>& sidecars)
{
    for (const auto& sidecar : sidecars)
        Cluster::eventually(sidecar + " gets a request", [&] { return !arrivalsAt(cluster, sidecar).empty(); });
    auto from = std::chrono::steady_clock::now() + agreementTime;
    std::this_thread::sleep_for(agreementTime + limitWindow + limitWindow / 2);
    return std::all_of(sidecars.begin(), sidecars.end(),
        [&](const auto& sidecar) { return mostInWindow(arrivalsAt(cluster, sidecar), from) <= allowedInWindow(limit); });
}

} // namespace

TEST_CASE("a plain upstream that states a request rate limit gets no more than that from all gateways together")
{
    Cluster cluster({ .controllers = 1,
        .gateways = gateways,
        .prefills = 0,
        .decodes = 0,
        .plains = 2,
        .plainOptions = { "--rate-limit", std::to_string(limit) } });
    cluster.start();
    cluster.configure({ { "service/saatja/kind", "plain" }, { "service/saatja/repeatable", "yes" }, { "service/saatja/deadline", "1s" } });
    Callers callers(cluster, "POST", "/services/saatja/x", "body");
    CHECK(keepsLimits(cluster, { "saatja-1", "saatja-2" }));
    CHECK(callers.served > 0);
    CHECK(callers.refused > 0);
    CHECK(callers.failed == 0);
}

TEST_CASE("engines that state a request rate limit get no more than that from all gateways together")
{
    Cluster cluster({ .controllers = 1,
        .gateways = gateways,
        .prefills = 2,
        .decodes = 2,
        .plains = 0,
        .engineOptions = { "--rate-limit", std::to_string(limit) } });
    cluster.start();
    cluster.configure({ { "service/lugeja/kind", "generation" }, { "service/lugeja/first-token-target", "1s" } });
    auto body = nlohmann::json {
        { "model", "lugeja" }, { "stream", true }, { "max_tokens", 4 },
        { "messages", { { { "role", "user" }, { "content", "a prompt" } } } }
    }.dump();
    Callers callers(cluster, "POST", "/v1/chat/completions", body);
    CHECK(keepsLimits(cluster, { "lugeja-prefill-1", "lugeja-prefill-2", "lugeja-decode-1", "lugeja-decode-2" }));
    CHECK(callers.served > 0);
    CHECK(callers.failed == 0);
}
