/** \file
 * A replica starts again under its id, its first heartbeat arrives seconds late, and meanwhile it withdraws. Once its withdrawal is
 * acknowledged, the late heartbeat must not bring it back.
 */
#include "../support-2/Harness.h"

using namespace harness;

namespace {

constexpr auto settlingTime = 7000ms; ///< Controllers report the number of gateways from 5 s after their start.
constexpr auto beatInterval = 1200ms;
constexpr auto beatDelay = 3000ms; ///< Of the heartbeats after the restart.
constexpr auto withdrawsAfter = 500ms; ///< Since the restart.
constexpr auto drainTime = 2000ms; ///< The bound of the rule.
constexpr auto longerThanDrain = 3000ms; ///< For which the replica still serves; "at times many seconds".
constexpr auto workTime = 60ms;
constexpr auto askInterval = 25ms;

constexpr auto document = R"({"version":1,"routes":[{"name":"r-u","host":"desk.example","path_prefix":"/u/","kind":"unsafe",
"timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2}],
"services":[{"name":"desk","health_path":"/health","max_conns":130,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

std::atomic<int> requestsTooLate = 0;

/// A plain service. It counts the requests that reach it later than `drainTime` after the acknowledgement of its withdrawal.
class Replica {
public:
    explicit Replica(std::string id)
        : m_id(std::move(id))
    {
    }
    /// Sends a heartbeat to the first controller that acknowledges it. \param delay how late it arrives.
    void beat(Site& site, std::chrono::milliseconds delay = 0ms)
    {
        Beat beat { m_id, "desk", m_server.address() };
        {
            std::lock_guard lock(m_mutex);
            if (!m_isUp || m_isWithdrawn)
                return;
            beat.born = m_born;
            beat.sequence = ++m_sequence;
        }
        sleepFor(delay);
        for (std::size_t i = 0; i < site.controllers() && !beat.send(site.door(i)); ++i) { }
    }
    /// Sends its withdrawal to the first controller that acknowledges it, and no heartbeat from then on.
    void withdraw(Site& site)
    {
        {
            std::lock_guard lock(m_mutex);
            m_isWithdrawn = true;
        }
        for (std::size_t i = 0; i < site.controllers(); ++i) {
            auto status = call(site.door(i), "DELETE", "/-/instances/" + m_id).status;
            Record::get().line("withdrawal of %s: answered %d", m_id.c_str(), status);
            if (status / 100 != 2)
                continue;
            std::lock_guard lock(m_mutex);
            m_ackedAt = Clock::now();
            return;
        }
    }
    void stop()
    {
        std::lock_guard lock(m_mutex);
        m_isUp = false;
        m_server.stop();
    }
    void start()
    {
        std::lock_guard lock(m_mutex);
        m_born = unixMilliseconds();
        m_sequence = 0;
        m_isUp = true;
        m_server.start();
        Record::get().line("%s runs again, born %llu", m_id.c_str(), static_cast<unsigned long long>(m_born));
    }

private:
    bool serve(const Request& request)
    {
        auto id = request.head.value("Request-Id");
        if (request.head.value("Expect-Instance") != m_id)
            return request.socket.write(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        bool isTooLate = false;
        {
            std::lock_guard lock(m_mutex);
            isTooLate = m_ackedAt && Clock::now() - *m_ackedAt > drainTime;
        }
        requestsTooLate += isTooLate;
        Record::get().line("%s runs %s%s", m_id.c_str(), id.c_str(), isTooLate ? ", later than drain_ms after its acknowledgement" : "");
        sleepFor(workTime);
        return request.socket.write(
            "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: s1\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\ndone");
    }

    std::mutex m_mutex;
    std::string m_id;
    std::uint64_t m_born = unixMilliseconds();
    std::uint64_t m_sequence = 0;
    bool m_isWithdrawn = false;
    bool m_isUp = true;
    std::optional<Time> m_ackedAt;
    Server m_server { [this](const Request& request) { return serve(request); } };
};

} // namespace

int main()
{
    Site site(3, 3);
    Replica first("i-1");
    Replica second("i-2");
    if (!site.configure(document))
        cannotRun("no controller takes the configuration");
    std::atomic<bool> isStopping = false;
    std::atomic<bool> hasRestarted = false; ///< The first replica. Its only heartbeat since then is sent by itself.
    std::vector<std::thread> hearts;
    for (auto* replica : { &first, &second }) {
        hearts.emplace_back([&, replica] {
            for (; !isStopping; sleepFor(beatInterval)) {
                if (replica == &second || !hasRestarted)
                    replica->beat(site);
            }
        });
    }
    site.awaitReady();
    sleepFor(settlingTime);

    std::atomic<int> served = 0;
    std::atomic<int> failed = 0;
    std::vector<std::thread> clients;
    std::thread load([&] {
        for (int n = 0; !isStopping; ++n, sleepFor(askInterval)) {
            clients.emplace_back([&, n] {
                auto id = "q" + std::to_string(n);
                Call call(site.callers(static_cast<std::size_t>(n) % site.gateways()), "POST", "/u/" + id,
                    { { "Host", "desk.example" }, { "Request-Id", id }, { "Deadline-Ms", "1500" } }, "body of " + id);
                auto answer = call.read(2200ms);
                ++(answer.status == 200 ? served : failed);
                if (answer.status != 200)
                    Record::get().line("client: %s got status %d", id.c_str(), answer.status);
            });
        }
    });

    hasRestarted = true;
    first.stop();
    sleepFor(100ms);
    first.start();
    std::thread lateBeat([&] { first.beat(site, hasTrouble() ? beatDelay : 0ms); });
    sleepFor(withdrawsAfter);
    first.withdraw(site);
    sleepFor(drainTime + longerThanDrain);
    Record::get().line("i-1 exits");
    first.stop();
    lateBeat.join();
    sleepFor(1000ms);

    isStopping = true;
    load.join();
    for (auto& client : clients)
        client.join();
    for (auto& heart : hearts)
        heart.join();
    Record::get().line("result: %d requests served, %d not; %d reached i-1 later than drain_ms after the acknowledgement", served.load(),
        failed.load(), requestsTooLate.load());
    if (served < 50)
        cannotRun("most requests failed");
    return requestsTooLate ? exitBroken : exitHeld;
}
