#include "process/Runtime.h"

#include "base/SystemClock.h"

#include <csignal>
#include <random>

namespace wrenhinge {

namespace {

    constexpr int exitForced = 3;
    constexpr Duration pollInterval = 10ms;

} // namespace

std::uint64_t randomIdentity()
{
    std::random_device device;
    std::uint64_t x = 0;
    while (!x)
        x = (static_cast<std::uint64_t>(device()) << 32) | device();
    return x;
}

Runtime::Runtime(const Settings& settings)
    : m_timers(m_io)
    , m_log(settings.log, settings.name)
    , m_self(randomIdentity())
    , m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
{
    // A write to a connection that the peer has closed raises SIGPIPE, which would terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
}

Runtime::~Runtime() = default;

int Runtime::run(std::uint32_t workers, std::function<void()> onTerminate, std::function<void()> onReload)
{
    awaitSignal(std::move(onTerminate), std::move(onReload));
    std::vector<std::thread> pool;
    for (std::uint32_t i = 1; i < workers; ++i)
        pool.emplace_back([this] { m_io.run(); });
    m_io.run();
    for (auto& thread : pool)
        thread.join();
    return m_exitCode;
}

void Runtime::finish(int exitCode)
{
    m_exitCode = exitCode;
    m_timers.stop();
    m_io.stop();
}

void Runtime::awaitSignal(std::function<void()> onTerminate, std::function<void()> onReload)
{
    m_signals.async_wait([this, onTerminate, onReload](ErrorCode ec, int signal) {
        if (ec)
            return;
        if (signal == SIGHUP) {
            onReload();
        } else if (m_isTerminating) {
            return finish(exitForced);
        } else {
            m_isTerminating = true;
            m_log.write({ EventCode::ProcessDraining, {}, "signal " + std::to_string(signal) });
            onTerminate();
        }
        awaitSignal(onTerminate, onReload);
    });
}

void Runtime::waitUntil(std::function<bool()> f, Duration limit, std::function<void(bool)> then)
{
    pollUntil(std::move(f), currentInstant() + limit, std::move(then));
}

/// The limit is a point in time and not a number of polls: each wait takes slightly longer than `pollInterval`, and a limit of eight
/// seconds that was counted in polls expired one second late.
void Runtime::pollUntil(std::function<bool()> f, Instant end, std::function<void(bool)> then)
{
    bool reached = f();
    if (reached || currentInstant() >= end)
        return then(reached);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, pollInterval);
    timer->async_wait([this, timer, f = std::move(f), end, then = std::move(then)](ErrorCode) { pollUntil(f, end, then); });
}

} // namespace wrenhinge
