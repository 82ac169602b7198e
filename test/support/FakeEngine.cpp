#include "FakeEngine.h"

#include <algorithm>

namespace wrenhinge::test {

std::uint32_t ResultStore::take(const std::string& id, Instant now)
{
    auto it = m_results.find(id);
    if (it == m_results.end())
        return 0;
    auto result = it->second;
    m_results.erase(it);
    if (result.expires < now) {
        tokensExpired += result.tokens;
        return 0;
    }
    tokensFetched += result.tokens;
    return result.tokens;
}

std::size_t ResultStore::held(Instant now)
{
    std::erase_if(m_results, [&](const auto& item) { return item.second.expires < now; });
    return m_results.size();
}

FakeEngine::FakeEngine(VirtualTime& time, ResultStore& results, const std::vector<Job>& jobs, EngineModel model, Report report)
    : m_time(time)
    , m_results(results)
    , m_jobs(jobs)
    , m_model(model)
    , m_report(std::move(report))
{
}

const Job& FakeEngine::jobOf(const UpstreamCall& call) const { return m_jobs.at(static_cast<std::size_t>(std::stoul(call.body))); }

void FakeEngine::start(const UpstreamCall& call)
{
    m_running[call.id] = { call, 0 };
    if (jobOf(call).crashesEngine && call.kind != UpstreamKind::Prefill)
        return later(call.id, 1ms, [this] { crash(); });
    switch (call.kind) {
    case UpstreamKind::Prefill:
        return startPrefill(call);
    case UpstreamKind::Decode:
        return startDecode(call);
    case UpstreamKind::Plain:
        return startPlain(call);
    }
}

void FakeEngine::abort(CallId id) { m_running.erase(id); }

void FakeEngine::stop()
{
    m_running.clear();
    m_cache.clear();
    m_cacheAge.clear();
    ++m_life;
}

/// Breaks off all that runs.
void FakeEngine::crash()
{
    ++crashes;
    std::vector<CallId> calls;
    for (const auto& [id, running] : m_running)
        calls.push_back(id);
    stop();
    for (auto id : calls)
        m_report(sidecar::CallFailed { id, true, ResultCode::UpstreamFailed, true });
}

/// Does something for a call after a while, if the call still runs by then.
void FakeEngine::later(CallId id, Duration wait, std::function<void()> action)
{
    m_time.after(scaled(wait), [this, id, life = m_life, action = std::move(action)] {
        if (life == m_life && m_running.contains(id))
            action();
    });
}

std::uint32_t FakeEngine::takeCached(const std::vector<std::uint64_t>& blocks)
{
    std::uint32_t leading = 0;
    bool isLeading = true;
    for (auto block : blocks) {
        bool isKnown = m_cache.contains(block);
        isLeading = isLeading && isKnown;
        leading += isLeading ? 1 : 0;
        if (!isKnown) {
            m_cache.insert(block);
            m_cacheAge.push_back(block);
        }
    }
    while (m_cacheAge.size() > m_model.cacheBlocks) {
        m_cache.erase(m_cacheAge.front());
        m_cacheAge.pop_front();
    }
    return leading * 64;
}

void FakeEngine::startPrefill(const UpstreamCall& call)
{
    const auto& job = jobOf(call);
    auto cached = std::min(takeCached(job.prefixBlocks), job.promptTokens);
    auto computed = job.promptTokens - cached;
    auto took = m_model.prefillFixed + Duration(static_cast<std::int64_t>(m_model.prefillMicrosPerToken * computed));
    later(call.id, took, [this, id = call.id, tokens = job.promptTokens, cached, computed] {
        prefilledTokens += computed;
        auto request = m_running.at(id).call.request;
        auto result = toString(request) + "/" + std::to_string(m_time.now().time_since_epoch().count());
        m_results.put(result, m_time.now() + m_model.resultLife, tokens);
        m_running.erase(id);
        m_report(sidecar::CallPrefilled { id, result, cached });
    });
}

void FakeEngine::startDecode(const UpstreamCall& call)
{
    auto tokens = m_results.take(call.kvParams, m_time.now());
    if (!tokens) {
        later(call.id, 1ms, [this, id = call.id] {
            m_running.erase(id);
            m_report(sidecar::CallFailed { id });
        });
        return;
    }
    auto transfer = Duration(static_cast<std::int64_t>(m_model.linkMicrosPerToken * tokens));
    m_linkFreeAt = std::max(m_linkFreeAt, m_time.now()) + transfer;
    // A stalled transfer takes long by itself; it does not keep the link busy after the stall has ended.
    auto stall = m_isStalled ? Duration(3s) : Duration();
    later(call.id, m_linkFreeAt - m_time.now() + stall, [this, id = call.id] {
        m_report(sidecar::CallHead { id, 200, {} });
        produce(id);
    });
}

void FakeEngine::produce(CallId id)
{
    const auto& running = m_running.at(id);
    auto left = jobOf(running.call).answerTokens - running.produced;
    auto group = running.produced ? std::min(left, m_model.tokensPerEvent) : 1;
    auto interval = m_model.tokenBase + m_model.tokenPerRunning * static_cast<std::int64_t>(m_running.size());
    later(id, interval * group, [this, id, group] {
        auto& now = m_running.at(id);
        now.produced += group;
        bool isLast = now.produced >= jobOf(now.call).answerTokens;
        if (isLast)
            m_running.erase(id);
        m_report(sidecar::CallData { id, std::string(group, 't'), group });
        if (isLast)
            m_report(sidecar::CallEnd { id });
        else if (m_running.contains(id))
            produce(id);
    });
}

void FakeEngine::startPlain(const UpstreamCall& call)
{
    auto key = std::find_if(call.headers.begin(), call.headers.end(), [](const auto& h) { return h.first == "Idempotency-Key"; });
    ++m_runs[key != call.headers.end() ? key->second : toString(call.request)];
    later(call.id, jobOf(call).plainTime, [this, id = call.id, body = "ran " + call.body] {
        m_running.erase(id);
        m_report(sidecar::CallHead { id, 200, {} });
        m_report(sidecar::CallData { id, body, 0 });
        m_report(sidecar::CallEnd { id });
    });
}

} // namespace wrenhinge::test
