/** \file
 * `make bench-decide`: time, allocations and memory of a placement decision against the number of replicas, and the cost of limits of
 * client accounts.
 */
#include "QuotaBench.h"
#include "request/sidecar/Placement.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <new>
#include <unistd.h>

using namespace wrenhinge;

namespace {

std::atomic<std::uint64_t> allocations = 0;

std::size_t residentBytes()
{
    std::ifstream in("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    in >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

void announce(UpstreamTable& table, std::uint64_t id, UpstreamKind kind, Instant now)
{
    Hello hello;
    hello.id = PeerId(id * 0x9e3779b97f4a7c15ULL | 1);
    hello.name = "replica-" + std::to_string(id);
    hello.zone = "zone";
    table.onLinkUp(hello.id);
    LoadReport load;
    load.slots = 20;
    load.occupied = id % 20;
    load.meanHold = 4s;
    load.fixedCost = 10ms;
    load.microsPerToken = 40;
    table.announce(hello, { "lugeja", kind, "model", 1h, load }, now);
}

void measure(std::uint64_t replicas)
{
    constexpr int decisions = 20000;
    Instant now { std::chrono::seconds(1000) };
    auto before = residentBytes();
    UpstreamTable table;
    for (std::uint64_t i = 1; i <= replicas; ++i)
        announce(table, i, i % 3 ? UpstreamKind::Decode : UpstreamKind::Prefill, now);
    auto perReplica = (residentBytes() - before) / replicas;
    Placement placement(table, 1);
    std::vector<double> micros;
    std::vector<std::uint64_t> blocks(32);
    auto allocated = allocations.load();
    for (int i = 0; i < decisions; ++i) {
        for (std::size_t k = 0; k < blocks.size(); ++k)
            blocks[k] = static_cast<std::uint64_t>(i % 1000) * 1000 + k + 1;
        auto start = std::chrono::steady_clock::now();
        auto prefill = placement.choosePrefillReplica("lugeja", { 2048, blocks, Priority::Normal }, {}, now);
        auto decode = placement.chooseReplica(
            "lugeja", UpstreamKind::Decode, { Priority::Normal, prefill ? prefill->end : Duration(), 2048 }, {}, now);
        micros.push_back(std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count());
        if (!decode)
            std::abort();
        placement.prefixIndex().recordBlocks(blocks, prefill->replica);
    }
    auto perDecision = static_cast<double>(allocations - allocated) / decisions;
    std::sort(micros.begin(), micros.end());
    std::printf("%9llu %10.2f %10.2f %12.1f %14zu\n", static_cast<unsigned long long>(replicas), micros[decisions / 2],
        micros[decisions * 99 / 100], perDecision, perReplica);
}

} // namespace

// Counts every allocation of the program.
void* operator new(std::size_t n)
{
    ++allocations;
    if (void* p = std::malloc(n))
        return p;
    throw std::bad_alloc();
}
void operator delete(void* p) noexcept { std::free(p); }
void operator delete(void* p, std::size_t) noexcept { std::free(p); }

int main()
{
    std::printf("%9s %10s %10s %12s %14s\n", "replicas", "median us", "p99 us", "allocations", "bytes/replica");
    for (std::uint64_t replicas : { 12, 100, 1000, 10000 })
        measure(replicas);
    printQuotaHeads();
    measureQuotas(33, 16);
    measureQuotas(33, 14'000);
    // As many as one process holds in a gigabyte.
    measureQuotas(200, 14'000);
}
