/** \file
 * `make bench-state`: commits with real fsync through three controllers, keyed calls a second, recovery against log length, and what a
 * routing document costs by its routes and the gateways that hold it.
 */
#include "Cluster.h"
#include "DocumentSite.h"
#include "version/LogStorage.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <thread>

using namespace wrenhinge;
using namespace wrenhinge::test;
using Json = nlohmann::json;

namespace {

using Clock = std::chrono::steady_clock;

double millisSince(Clock::time_point start) { return std::chrono::duration<double, std::milli>(Clock::now() - start).count(); }

void benchCommits(Cluster& cluster)
{
    std::string leader;
    for (int i = 1; i <= 3; ++i) {
        auto name = "controller-" + std::to_string(i);
        if (cluster.adminJson(name, "/status").value("is_leader", false))
            leader = name;
    }
    std::vector<double> millis;
    for (int i = 0; i < 300; ++i) {
        Json change { { "number", 1000 + i }, { "change_id", "bench-" + std::to_string(i) },
            { "puts", { { "account/a/concurrency", std::to_string(i) } } } };
        auto start = Clock::now();
        if (HttpClient(cluster.admin(leader)).call("POST", "/config", change.dump()).status == 200)
            millis.push_back(millisSince(start));
    }
    std::sort(millis.begin(), millis.end());
    std::printf("configuration change, HTTP and commit on 3 disks: median %.2f ms, p99 %.2f ms (%zu of 300)\n", millis[millis.size() / 2],
        millis[millis.size() * 99 / 100], millis.size());
}

void benchKeyed(Cluster& cluster, int callers)
{
    constexpr int each = 40;
    std::atomic<int> answered = 0;
    std::vector<std::thread> threads;
    auto start = Clock::now();
    for (int c = 0; c < callers; ++c) {
        threads.emplace_back([&, c] {
            HttpClient client(cluster.callers(c % 2 + 1));
            for (int i = 0; i < each; ++i)
                answered += client
                                .call("POST", "/services/saatja/x", "b",
                                    { { "Idempotency-Key", std::to_string(callers) + "-" + std::to_string(c) + "-" + std::to_string(i) } })
                                .status
                    == 200;
        });
    }
    for (auto& thread : threads)
        thread.join();
    auto seconds = millisSince(start) / 1000;
    std::printf("keyed calls, %3d callers: %7.0f a second, %.2f ms each (%d of %d answered)\n", callers, answered / seconds,
        1000 * seconds * callers / std::max(1, answered.load()), answered.load(), callers * each);
}

void benchRecovery(std::uint64_t entries)
{
    auto folder = (std::filesystem::temp_directory_path() / "wrenhinge-recovery-XXXXXX").string();
    if (!mkdtemp(folder.data()))
        return;
    {
        LogStorage storage;
        (void)storage.open(folder, DiskId(1));
        raft::Persist persist;
        for (std::uint64_t i = 1; i <= entries; ++i)
            persist.entries.push_back(
                { 1, i, ConfigCommand { i, "id" + std::to_string(i), "bench", { { "account/a/rate", "1/s" } }, {} } });
        storage.append(persist);
        (void)storage.sync();
    }
    LogStorage storage;
    auto start = Clock::now();
    auto recovered = storage.open(folder, DiskId(1));
    std::printf("recovery of %7llu entries (%.1f MB): %.1f ms\n",
        static_cast<unsigned long long>(recovered ? recovered.value().entries.size() : 0),
        static_cast<double>(std::filesystem::file_size(folder + "/log")) / 1e6, millisSince(start));
    std::filesystem::remove_all(folder);
}

/// What a document of so many routes costs: the first one, and a change of one route in it.
void benchDocuments(int routes, std::size_t gateways)
{
    constexpr std::size_t controllers = 3;
    constexpr int changes = 10;
    DocumentSite site(controllers, gateways);
    auto first = documentOf(1, routes);
    auto before = site.sentBytes();
    auto start = Clock::now();
    site.change(0, first);
    auto firstMillis = millisSince(start);
    auto firstBytes = site.sentBytes() - before;
    std::vector<double> millis;
    before = site.sentBytes();
    for (int i = 1; i <= changes; ++i) {
        start = Clock::now();
        site.change(static_cast<std::size_t>(i) % controllers, documentOf(1 + i, routes, 600 + i));
        millis.push_back(millisSince(start));
    }
    std::sort(millis.begin(), millis.end());
    std::printf(
        "document of %5d routes (%7.1f KB), %3zu gateways: first in force everywhere after %7.1f ms, %8.1f KB sent; a change of one route "
        "after %6.1f ms (median of %d), %7.1f KB sent; peak memory of a controller %5.1f MB, of a gateway %5.1f MB\n",
        routes, static_cast<double>(first.size()) / 1e3, gateways, firstMillis, firstBytes / 1e3, millis[millis.size() / 2], changes,
        (site.sentBytes() - before) / changes / 1e3, static_cast<double>(site.controllerPeak()) / 1e3,
        static_cast<double>(site.gatewayPeak()) / 1e3);
}

} // namespace

int main()
{
    for (int routes : { 10, 100, 1400 }) {
        for (std::size_t gateways : { 8, 32, 105 })
            benchDocuments(routes, gateways);
    }
    {
        Cluster cluster({ .controllers = 3, .prefills = 1, .decodes = 1, .slots = 500, .logLevel = "warn" });
        cluster.start();
        cluster.configure({ { "service/saatja/kind", "plain" }, { "service/saatja/repeatable", "no" } });
        for (int callers : { 1, 16, 64 })
            benchKeyed(cluster, callers);
        benchCommits(cluster);
    }
    for (std::uint64_t entries : { 1000, 10000, 100000 })
        benchRecovery(entries);
}
