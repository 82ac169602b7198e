/** \file
 * `make bench-path`: what the router adds to the first token and to each token, against the same stand-ins spoken to
 * directly in the same run, and the gateway's memory for each open stream.
 */
#include "Cluster.h"

#include "connection/Asio.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdio>
#include <fstream>

using namespace wrenhinge;
using namespace wrenhinge::test;
using Json = nlohmann::json;
namespace asio = boost::asio;

namespace {

using Clock = std::chrono::steady_clock;

constexpr int tokens = 40;

struct Sample {
    double firstToken = 0; ///< Milliseconds from sending to the first event.
    double perToken = 0; ///< Milliseconds between events, mean.
};

std::string request(const std::string& path, const Json& body)
{
    auto text = body.dump();
    return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size())
        + "\r\n\r\n" + text;
}

Json chat(int i)
{
    return { { "model", "lugeja" }, { "stream", true }, { "max_tokens", 5 },
        { "messages", { { { "role", "user" }, { "content", "bench " + std::to_string(i) } } } } };
}

Tcp::endpoint endpointOf(const std::string& address)
{
    auto colon = address.rfind(':');
    return { asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))) };
}

asio::awaitable<void> exchange(Tcp::endpoint endpoint, std::string text, std::string& answer, std::vector<Clock::time_point>* arrivals)
{
    Tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect(endpoint, asio::use_awaitable);
    socket.set_option(Tcp::no_delay(true));
    co_await asio::async_write(socket, asio::buffer(text), asio::use_awaitable);
    std::array<char, 16384> buf {};
    std::size_t counted = 0;
    while (answer.find("[DONE]") == std::string::npos && answer.find("\"usage\":") == std::string::npos) {
        ErrorCode ec;
        auto n = co_await socket.async_read_some(asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            break;
        answer.append(buf.data(), n);
        for (auto at = answer.find("data: {", counted); arrivals && at != std::string::npos; at = answer.find("data: {", counted)) {
            arrivals->push_back(Clock::now());
            counted = at + 1;
        }
    }
}

asio::awaitable<void> runOne(
    const Cluster& cluster, bool isDirect, const std::vector<std::string>& engines, int i, std::vector<Sample>& samples)
{
    auto body = chat(i);
    body["max_tokens"] = tokens;
    std::vector<Clock::time_point> arrivals;
    std::string answer;
    auto start = Clock::now();
    if (isDirect) {
        // The same two steps that the router takes, without it.
        auto prefill = body;
        prefill["stream"] = false;
        prefill["max_tokens"] = 1;
        prefill["kv_transfer_params"] = { { "do_remote_decode", true } };
        std::string handle;
        co_await exchange(endpointOf(engines[0]), request("/v1/chat/completions", prefill), handle, nullptr);
        auto from = handle.find("\r\n\r\n");
        auto json = Json::parse(from == std::string::npos ? "" : handle.substr(from), nullptr, false);
        if (!json.is_object())
            co_return;
        body["kv_transfer_params"] = json["kv_transfer_params"];
        co_await exchange(endpointOf(engines[1]), request("/v1/chat/completions", body), answer, &arrivals);
    } else {
        co_await exchange(endpointOf(cluster.callers(1)), request("/v1/chat/completions", body), answer, &arrivals);
    }
    if (arrivals.size() < 2)
        co_return;
    std::chrono::duration<double, std::milli> first = arrivals.front() - start;
    std::chrono::duration<double, std::milli> rest = arrivals.back() - arrivals.front();
    samples.push_back({ first.count(), rest.count() / static_cast<double>(arrivals.size() - 1) });
}

/// Runs `total` requests, `streams` at a time, spread so that prefills don't queue.
std::vector<Sample> run(const Cluster& cluster, bool isDirect, const std::vector<std::string>& engines, int streams, int total)
{
    IoContext io(1);
    std::vector<Sample> samples;
    int next = 0;
    for (int s = 0; s < streams; ++s) {
        asio::co_spawn(
            io,
            [&, s]() -> asio::awaitable<void> {
                asio::steady_timer timer(io, std::chrono::microseconds(700 * s));
                co_await timer.async_wait(asio::use_awaitable);
                while (next < total)
                    co_await runOne(cluster, isDirect, engines, next++, samples);
            },
            asio::detached);
    }
    io.run();
    return samples;
}

double at(std::vector<Sample> samples, double Sample::*field, double p)
{
    if (samples.empty())
        return 0;
    std::sort(samples.begin(), samples.end(), [field](const Sample& a, const Sample& b) { return a.*field < b.*field; });
    return samples[std::min(samples.size() - 1, static_cast<std::size_t>(p * static_cast<double>(samples.size())))].*field;
}

long residentKilobytes(pid_t id)
{
    std::ifstream in("/proc/" + std::to_string(id) + "/status");
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("VmRSS:"))
            return std::stol(line.substr(6));
    }
    return 0;
}

/// Before any load: a heap that a load has grown holds 500 streams without growing.
void measureMemory(Cluster& cluster)
{
    constexpr int streams = 500;
    auto& gateway = cluster.process("gateway-1");
    auto before = residentKilobytes(gateway.id());
    std::vector<std::unique_ptr<HttpClient>> open;
    for (int i = 0; i < streams; ++i) {
        open.push_back(std::make_unique<HttpClient>(cluster.callers(1)));
        auto body = chat(100000 + i);
        body["max_tokens"] = 100000;
        open.back()->send("POST", "/v1/chat/completions", body.dump(), {});
        open.back()->readSome(1);
    }
    auto after = residentKilobytes(gateway.id());
    std::printf("gateway memory an open stream: %.1f KiB (%d streams, %ld -> %ld KiB)\n", static_cast<double>(after - before) / streams,
        streams, before, after);
}

} // namespace

int main()
{
    Cluster cluster({ .controllers = 1,
        .gateways = 1,
        .prefills = 1,
        .decodes = 1,
        .plains = 1,
        .slots = 1200,
        .engineOptions = { "--fixed-ms", "0.2", "--token-ms", "38", "--us-per-token", "1" },
        .logLevel = "warn" });
    cluster.start();
    cluster.configure({ { "service/lugeja/kind", "generation" }, { "service/lugeja/first-token-target", "20s" } });
    std::vector<std::string> engines { cluster.standIn("lugeja-prefill-1"), cluster.standIn("lugeja-decode-1") };
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    run(cluster, false, engines, 1, 20); // Warm up.
    measureMemory(cluster);
    std::printf("%8s %22s %22s %24s %10s\n", "streams", "first token ms (50/99)", "direct ms (50/99)", "added us (50/99)", "per token");
    for (auto [streams, total] : { std::pair(1, 30), std::pair(100, 600), std::pair(1000, 2000) }) {
        auto direct = run(cluster, true, engines, streams, total);
        auto routed = run(cluster, false, engines, streams, total);
        auto first = &Sample::firstToken;
        auto d50 = at(direct, first, 0.5), d99 = at(direct, first, 0.99), r50 = at(routed, first, 0.5), r99 = at(routed, first, 0.99);
        auto perToken = at(routed, &Sample::perToken, 0.5) - at(direct, &Sample::perToken, 0.5);
        std::printf("%8d %13.2f /%7.2f %13.2f /%7.2f %13.0f /%8.0f %7.0f us  (%zu, %zu answered)\n", streams, r50, r99, d50, d99,
            1000 * (r50 - d50), 1000 * (r99 - d99), 1000 * perToken, direct.size(), routed.size());
    }
}
