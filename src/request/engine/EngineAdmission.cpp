#include "request/engine/EngineAdmission.h"

#include <algorithm>

namespace wrenhinge {

using namespace admission;

namespace {

    /// Weight of the newest report in the running mean of tokens an event.
    constexpr double newest = 0.1;
    /// An answer of which nothing is known but what it has generated is taken to be half done.
    constexpr std::uint32_t unknownPart = 2;

} // namespace

EngineAdmission::EngineAdmission(Settings settings)
    : m_settings(std::move(settings))
{
}

EngineAdmission::Effects EngineAdmission::step(const Event& event, Instant now)
{
    std::visit([this, now](const auto& e) { on(e, now); }, event);
    sendHeadroom(now);
    return std::exchange(m_effects, {});
}

Instant EngineAdmission::nextWake() const { return std::min(m_readAt, m_toldAt + (isNews() ? tellAgainAfter : tellEvery)); }

// --- Gateways ---------------------------------------------------------------------------------------------------

void EngineAdmission::on(const GatewayUp& event, Instant) { m_gateways[event.gateway] = false; }

/// What runs for the gateway ends at the engine by itself, and the reports show when.
void EngineAdmission::on(const GatewayDown& event, Instant now)
{
    m_gateways.erase(event.gateway);
    std::erase_if(m_runs, [&event](const auto& item) { return item.second.gateway == event.gateway && !item.second.use.generated; });
    std::erase_if(m_prefills, [&event](const auto& item) { return item.second.gateway == event.gateway; });
    updateHeadroom(now);
}

void EngineAdmission::on(const ReservationRequested& event, Instant now)
{
    const auto& asked = event.request;
    MemoryUse use { asked.promptTokens, 0, std::max(1u, asked.expectedTokens), std::max(asked.maxTokens, asked.expectedTokens) };
    bool isGranted = fits(use, asked.slots, now);
    if (isGranted) {
        m_runs[asked.run] = Run { asked.request, event.gateway, use, now };
        m_trust.recordSent(asked.request, now);
        updateHeadroom(now);
    }
    m_effects.push_back(Send { event.gateway, ReservationReply { asked.request, asked.attempt, isGranted, m_headroom } });
}

void EngineAdmission::on(const ReservationEnded& event, Instant now)
{
    auto it = std::find_if(m_runs.begin(), m_runs.end(), [&event](const auto& item) { return item.second.request == event.end.request; });
    if (it == m_runs.end())
        return;
    if (event.end.isComplete)
        m_lengths.record(it->second.use.expected, it->second.use.generated);
    noteEnd(event, now);
    m_runs.erase(it);
    updateHeadroom(now);
}

void EngineAdmission::noteEnd(const ReservationEnded& event, Instant now)
{
    bool wasTrusted = m_trust.isClosed();
    if (event.end.isComplete)
        m_trust.recordSuccess();
    else if (event.end.hasFailed)
        m_trust.recordFailure(event.gateway, event.end.request, now);
    else
        m_trust.recordUnused(event.end.request);
    if (wasTrusted != m_trust.isClosed()) {
        auto code = wasTrusted ? EventCode::UpstreamEjected : EventCode::UpstreamReturned;
        m_effects.push_back(
            LogEvent { code, {}, m_settings.engineAddress + (wasTrusted ? " breaks what it is sent" : " has served again") });
    }
}

void EngineAdmission::on(const PrefillReported& event, Instant now)
{
    const auto& notice = event.notice;
    if (notice.hasEnded)
        m_prefills.erase(notice.request);
    else
        m_prefills[notice.request] = { event.gateway, notice.promptTokens, now };
}

std::uint64_t EngineAdmission::prefillBacklog() const
{
    std::uint64_t sum = 0;
    for (const auto& [request, prefill] : m_prefills)
        sum += prefill.tokens;
    return sum;
}

/// Whether another answer fits into the memory and the slots of the engine.
bool EngineAdmission::fits(const MemoryUse& added, std::uint32_t slots, Instant now) const
{
    if (!isOpen(now) || m_runs.size() >= slots)
        return false;
    auto all = uses();
    all.push_back(added);
    return forecastPeak(all, m_lengths, m_settings.spareDeviations) <= static_cast<double>(available());
}

std::vector<MemoryUse> EngineAdmission::uses() const
{
    std::vector<MemoryUse> list;
    list.reserve(m_runs.size() + 1);
    for (const auto& [id, run] : m_runs)
        list.push_back(run.use);
    return list;
}

std::uint64_t EngineAdmission::available() const { return m_report->total - std::min(m_report->total, m_others); }

std::uint64_t EngineAdmission::headroom() const { return m_headroom; }

void EngineAdmission::updateHeadroom(Instant now)
{
    m_headroom = 0;
    if (!isOpen(now))
        return;
    auto needed = static_cast<std::uint64_t>(forecastPeak(uses(), m_lengths, m_settings.spareDeviations));
    m_headroom = available() - std::min(available(), needed);
}

/// Whether the room has changed by so much that gateways would choose otherwise.
bool EngineAdmission::isNews() const
{
    if (!m_told)
        return false;
    if (m_told->prefillBacklog != prefillBacklog())
        return true;
    auto change = std::max(m_headroom, m_told->tokens) - std::min(m_headroom, m_told->tokens);
    return change && (!m_report || change >= m_report->total / toldPart);
}

/// Says nothing before the engine has answered once: gateways then reserve at the engine, as without a sidecar.
void EngineAdmission::sendHeadroom(Instant now)
{
    if (!m_told && (!m_report || now < m_announcedAt))
        return;
    bool isForAll = !m_told || (isNews() && now - m_toldAt >= tellAgainAfter) || now - m_toldAt >= tellEvery;
    EngineHeadroom headroom { m_settings.engineAddress, m_headroom, prefillBacklog() };
    for (auto& [gateway, hasBeenTold] : m_gateways) {
        if (isForAll || !hasBeenTold)
            m_effects.push_back(Send { gateway, headroom });
        hasBeenTold = true;
    }
    if (!isForAll)
        return;
    m_told = std::move(headroom);
    m_toldAt = now;
}

// --- The engine -------------------------------------------------------------------------------------------------

void EngineAdmission::on(const Tick&, Instant now)
{
    if (m_readAt > now)
        return;
    if (m_isReading)
        on(EngineRead { m_reading, std::nullopt }, now);
    else
        read(now);
}

void EngineAdmission::read(Instant now)
{
    m_isReading = true;
    m_readAt = now + readLimit;
    m_effects.push_back(ReadEngine { ++m_reading });
}

void EngineAdmission::on(const EngineRead& event, Instant now)
{
    if (!m_isReading || event.number != m_reading)
        return;
    m_isReading = false;
    bool isPrefill = event.report && !event.report->isDecode;
    m_readAt = now + (isPrefill ? readPrefillEvery : readEvery);
    m_misses = event.report ? 0 : m_misses + 1;
    if (m_misses >= mostMisses)
        return forgetEngine(now);
    if (!event.report)
        return;
    if (!m_report)
        m_announcedAt = now + unannouncedLimit;
    m_report = event.report;
    std::uint64_t ofRuns = 0;
    for (const auto& run : m_report->running) {
        ofRuns += run.tokens;
        takeRun(run, now);
    }
    m_others = m_report->used - std::min(m_report->used, ofRuns);
    std::erase_if(m_runs, [now](const auto& item) { return now - item.second.seenAt > unusedLimit; });
    std::erase_if(m_prefills, [now](const auto& item) { return now - item.second.since > longestPrefill; });
    updateHeadroom(now);
}

void EngineAdmission::forgetEngine(Instant now)
{
    m_report.reset();
    m_runs.clear();
    m_prefills.clear();
    m_others = 0;
    m_trust = {};
    updateHeadroom(now);
}

void EngineAdmission::takeRun(const RunningRequest& seen, Instant now)
{
    auto [it, isUnknown] = m_runs.try_emplace(seen.id);
    auto& run = it->second;
    run.seenAt = now;
    auto& use = run.use;
    if (isUnknown) {
        // Reserved for by a gateway that could not reach this process, or before it started.
        use.generated = std::min(seen.tokens, static_cast<std::uint32_t>(m_tokensPerEvent * seen.events));
        use.promptTokens = seen.tokens - use.generated;
    } else {
        learnStride(seen, run);
        use.generated = seen.tokens - std::min(seen.tokens, use.promptTokens);
    }
    if (!run.request)
        use.expected = use.most = std::max(1u, use.generated * unknownPart);
}

/// How many tokens an event of a stream stands for, from an answer whose prompt is known.
void EngineAdmission::learnStride(const RunningRequest& seen, const Run& run)
{
    if (!run.request || !seen.events || seen.tokens <= run.use.promptTokens)
        return;
    auto stride = static_cast<double>(seen.tokens - run.use.promptTokens) / seen.events;
    m_tokensPerEvent += (stride - m_tokensPerEvent) * (m_tokensPerEvent > 0 ? newest : 1);
}

} // namespace wrenhinge
