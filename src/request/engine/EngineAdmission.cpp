#include "request/engine/EngineAdmission.h"

#include <algorithm>

namespace wrenhinge {

using namespace admission;

namespace {

    /// Weight of the latest report in the running mean of tokens per stream event.
    constexpr double sampleWeight = 0.1;
    /// The answer of a request without a reservation is assumed to become this many times as long as it is now.
    constexpr std::uint32_t assumedLengthFactor = 2;

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

Instant EngineAdmission::nextWake() const
{
    return std::min(m_nextReadAt, m_lastSentAt + (hasChanged() ? minSendInterval : maxSendInterval));
}

// --- Gateways ---------------------------------------------------------------------------------------------------

void EngineAdmission::on(const GatewayUp& event, Instant) { m_gateways[event.gateway] = false; }

/// Keeps the gateway's requests that are already running: they end at the engine, as its reports will show.
void EngineAdmission::on(const GatewayDown& event, Instant now)
{
    m_gateways.erase(event.gateway);
    std::erase_if(m_requests, [&event](const auto& item) { return item.second.gateway == event.gateway && !item.second.usage.generated; });
    std::erase_if(m_prefills, [&event](const auto& item) { return item.second.gateway == event.gateway; });
    updateHeadroom(now);
}

void EngineAdmission::on(const ReservationRequested& event, Instant now)
{
    const auto& request = event.request;
    MemoryUsage usage { request.promptTokens, 0, std::max(1u, request.expectedTokens),
        std::max(request.maxTokens, request.expectedTokens) };
    bool isGranted = fits(usage, request.slots, now);
    if (isGranted) {
        m_requests[request.run] = Request { request.request, event.gateway, usage, now };
        m_circuitBreaker.recordSent(request.request, now);
        updateHeadroom(now);
    }
    m_effects.push_back(Send { event.gateway, ReservationReply { request.request, request.attempt, isGranted, m_headroom } });
}

void EngineAdmission::on(const ReservationEnded& event, Instant now)
{
    auto it
        = std::find_if(m_requests.begin(), m_requests.end(), [&event](const auto& item) { return item.second.id == event.end.request; });
    if (it == m_requests.end())
        return;
    if (event.end.isComplete)
        m_lengths.record(it->second.usage.expected, it->second.usage.generated);
    recordEnd(event, now);
    m_requests.erase(it);
    updateHeadroom(now);
}

void EngineAdmission::recordEnd(const ReservationEnded& event, Instant now)
{
    bool wasClosed = m_circuitBreaker.isClosed();
    if (event.end.isComplete)
        m_circuitBreaker.recordSuccess();
    else if (event.end.hasFailed)
        m_circuitBreaker.recordFailure(event.gateway, event.end.request, now);
    else
        m_circuitBreaker.recordUnused(event.end.request);
    if (wasClosed != m_circuitBreaker.isClosed()) {
        auto code = wasClosed ? EventCode::UpstreamEjected : EventCode::UpstreamReturned;
        m_effects.push_back(LogEvent {
            code, {}, m_settings.engineAddress + (wasClosed ? " fails the requests sent to it" : " has served a request again") });
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

/// Whether another request fits into the engine's memory and slots.
bool EngineAdmission::fits(const MemoryUsage& added, std::uint32_t slots, Instant now) const
{
    if (!acceptsRequests(now) || m_requests.size() >= slots)
        return false;
    auto all = usages();
    all.push_back(added);
    return forecastPeak(all, m_lengths, m_settings.spareDeviations) <= static_cast<double>(available());
}

std::vector<MemoryUsage> EngineAdmission::usages() const
{
    std::vector<MemoryUsage> list;
    list.reserve(m_requests.size() + 1);
    for (const auto& [id, request] : m_requests)
        list.push_back(request.usage);
    return list;
}

std::uint64_t EngineAdmission::available() const { return m_report->total - std::min(m_report->total, m_otherTokens); }

std::uint64_t EngineAdmission::headroom() const { return m_headroom; }

void EngineAdmission::updateHeadroom(Instant now)
{
    m_headroom = 0;
    if (!acceptsRequests(now))
        return;
    auto needed = static_cast<std::uint64_t>(forecastPeak(usages(), m_lengths, m_settings.spareDeviations));
    m_headroom = available() - std::min(available(), needed);
}

/// Whether the headroom or the prefill backlog has changed enough since it was last sent to affect the gateways' choice of engines.
bool EngineAdmission::hasChanged() const
{
    if (!m_lastSent)
        return false;
    if (m_lastSent->prefillBacklog != prefillBacklog())
        return true;
    auto change = std::max(m_headroom, m_lastSent->tokens) - std::min(m_headroom, m_lastSent->tokens);
    return change && (!m_report || change >= m_report->total / headroomChangeDivisor);
}

/// Sends nothing before the first report of the engine: until then gateways reserve at the engine, as they do without a sidecar.
void EngineAdmission::sendHeadroom(Instant now)
{
    if (!m_lastSent && (!m_report || now < m_announcedAt))
        return;
    bool isBroadcast = !m_lastSent || (hasChanged() && now - m_lastSentAt >= minSendInterval) || now - m_lastSentAt >= maxSendInterval;
    EngineHeadroom headroom { m_settings.engineAddress, m_headroom, prefillBacklog() };
    for (auto& [gateway, wasInformed] : m_gateways) {
        if (isBroadcast || !wasInformed)
            m_effects.push_back(Send { gateway, headroom });
        wasInformed = true;
    }
    if (!isBroadcast)
        return;
    m_lastSent = std::move(headroom);
    m_lastSentAt = now;
}

// --- The engine -------------------------------------------------------------------------------------------------

void EngineAdmission::on(const Tick&, Instant now)
{
    if (m_nextReadAt > now)
        return;
    if (m_isReading)
        on(EngineRead { m_reading, std::nullopt }, now);
    else
        read(now);
}

void EngineAdmission::read(Instant now)
{
    m_isReading = true;
    m_nextReadAt = now + readTimeout;
    m_effects.push_back(ReadEngine { ++m_reading });
}

void EngineAdmission::on(const EngineRead& event, Instant now)
{
    if (!m_isReading || event.number != m_reading)
        return;
    m_isReading = false;
    bool isPrefill = event.report && !event.report->isDecode;
    m_nextReadAt = now + (isPrefill ? prefillReadInterval : readInterval);
    m_missedReads = event.report ? 0 : m_missedReads + 1;
    if (m_missedReads >= maxMissedReads)
        return resetEngine(now);
    if (!event.report)
        return;
    if (!m_report)
        m_announcedAt = now + announcementDelay;
    m_report = event.report;
    std::uint64_t requestTokens = 0;
    for (const auto& running : m_report->running) {
        requestTokens += running.tokens;
        updateRequest(running, now);
    }
    m_otherTokens = m_report->used - std::min(m_report->used, requestTokens);
    std::erase_if(m_requests, [now](const auto& item) { return now - item.second.seenAt > reservationTimeout; });
    std::erase_if(m_prefills, [now](const auto& item) { return now - item.second.since > prefillTimeout; });
    updateHeadroom(now);
}

void EngineAdmission::resetEngine(Instant now)
{
    m_report.reset();
    m_requests.clear();
    m_prefills.clear();
    m_otherTokens = 0;
    m_circuitBreaker = {};
    updateHeadroom(now);
}

void EngineAdmission::updateRequest(const RunningRequest& running, Instant now)
{
    auto [it, isNew] = m_requests.try_emplace(running.id);
    auto& request = it->second;
    request.seenAt = now;
    auto& usage = request.usage;
    if (isNew) {
        // Reserved by a gateway that could not reach this process, or before this process started.
        usage.generated = std::min(running.tokens, static_cast<std::uint32_t>(m_tokensPerEvent * running.events));
        usage.promptTokens = running.tokens - usage.generated;
    } else {
        updateTokensPerEvent(running, request);
        usage.generated = running.tokens - std::min(running.tokens, usage.promptTokens);
    }
    if (!request.id)
        usage.expected = usage.maxTokens = std::max(1u, usage.generated * assumedLengthFactor);
}

/// Updates the mean number of tokens per stream event from a request whose prompt length is known.
void EngineAdmission::updateTokensPerEvent(const RunningRequest& running, const Request& request)
{
    if (!request.id || !running.events || running.tokens <= request.usage.promptTokens)
        return;
    auto tokensPerEvent = static_cast<double>(running.tokens - request.usage.promptTokens) / running.events;
    m_tokensPerEvent += (tokensPerEvent - m_tokensPerEvent) * (m_tokensPerEvent > 0 ? sampleWeight : 1);
}

} // namespace wrenhinge
