#include "request/sidecar/GatewayLogic.h"

#include "request/fleet/ContentFingerprint.h"

#include <xxhash.h>

namespace wrenhinge {

namespace {

    constexpr Duration tickInterval = 50ms;
    /// Used while a proposal is pending, so that its retransmission is sent on time.
    constexpr Duration proposalTickInterval = 20ms;
    constexpr Duration crashExpiryInterval = 10s;
    /// When a caller may come again whose body found no room on the way to a sidecar.
    constexpr Duration fullLinkRetryAfter = 1s;
    /// The most blocks of a prompt whose crashes are counted.
    constexpr std::size_t maxBlocks = 128;

    /// A block's hash covers the prompt up to its end, so a part is a beginning of the prompt here, and prompts that share one share all
    /// shorter ones. The last block belongs to this prompt alone.
    RequestContent contentOf(const CallerRequest& caller)
    {
        RequestContent content;
        content.request = fingerprintForAccount(fingerprintOf({ caller.method, {}, caller.target, caller.body }), caller.account);
        const auto& blocks = caller.prefixBlocks;
        for (std::size_t i = 0; i + 1 < blocks.size() && i < maxBlocks; ++i)
            content.parts.push_back(fingerprintOfPart(std::to_string(blocks[i])));
        return content;
    }

    std::uint64_t contentHashOf(const CallerRequest& caller)
    {
        auto text = caller.method + '\n' + caller.target + '\n' + caller.body;
        return XXH3_64bits(text.data(), text.size());
    }

} // namespace

GatewayLogic::GatewayLogic(std::uint64_t seed, const Safeguards& safeguards)
    : m_context(seed, safeguards)
    , m_generation(m_context)
    , m_plain(m_context)
{
}

GatewayLogic::Effects GatewayLogic::step(const gateway::Event& event, Instant now)
{
    m_context.effects.clear();
    std::visit([this, now](const auto& e) { on(e, now); }, event);
    return std::move(m_context.effects);
}

template <typename F> void GatewayLogic::withFlow(GatewayRequest& request, F f)
{
    if (request.summary.isGeneration)
        f(m_generation);
    else
        f(m_plain);
}

// --- Callers ----------------------------------------------------------------------------------------------------

void GatewayLogic::on(const gateway::Submit& event, Instant now)
{
    auto caller = event.caller;
    caller.service = serviceOf(caller);
    if (m_isDraining)
        return refuseNew(event.request, { ResultCode::Draining, "this gateway is shutting down; send the request to another one", 100ms });
    auto rules = rulesFor(caller.service);
    if (!rules)
        return refuseNew(event.request, rules.error());
    if (auto admitted = m_context.limits.acquire(caller.account, configuration().account(caller.account), now); !admitted)
        return refuseNew(event.request, admitted.error());

    auto& request = m_context.requests[event.request];
    request.id = event.request;
    request.caller = caller;
    request.content = contentOf(caller);
    request.rules = rules.value();
    bool isUrgent = request.rules.urgent == UrgentRule::Always || (request.rules.urgent == UrgentRule::OnRequest && caller.asksUrgent);
    request.priority = isUrgent ? Priority::Urgent : Priority::Normal;
    request.arrived = now;
    request.lastProgress = now;
    bool isGeneration = request.rules.kind == ServiceKind::Generation;
    request.startDeadline = now + (isGeneration ? request.rules.firstTokenTarget : request.rules.deadline);
    if (!isGeneration && !request.rules.repeatable && !caller.idempotencyKey.empty()) {
        // Idempotency keys are scoped to the account: two accounts may use the same one.
        request.ledgerKey = caller.account + "/" + caller.service + "/" + caller.idempotencyKey;
        request.contentHash = contentHashOf(caller);
    }
    request.summary = { .request = request.id,
        .service = caller.service,
        .account = caller.account,
        .priority = request.priority,
        .code = ResultCode::Ok,
        .isGeneration = isGeneration };
    m_context.note(EventCode::RequestReceived, request.id,
        caller.service + (isUrgent ? ", urgent" : "") + ", fingerprint " + toString(request.content.request));
    withFlow(request, [&](auto& flow) { flow.begin(request, now); });
}

/// Resolves the name in a request to a service. Callers of the OpenAI API name a model, which may be the name of a service
/// or of a model that a service runs.
std::string GatewayLogic::serviceOf(const CallerRequest& caller) const
{
    if (configuration().service(caller.service))
        return caller.service;
    for (const auto& [id, upstream] : m_context.upstreams.all()) {
        if (upstream.model == caller.service && upstream.kind != UpstreamKind::Plain)
            return upstream.service;
    }
    return caller.service;
}

/// The configured rules of a service, or the defaults of its kind if it is announced by an upstream but not configured.
Result<ServiceRules> GatewayLogic::rulesFor(const std::string& service) const
{
    if (const auto* rules = configuration().service(service))
        return *rules;
    for (const auto& [id, upstream] : m_context.upstreams.all()) {
        if (upstream.service != service)
            continue;
        ServiceRules rules;
        bool isPlain = upstream.kind == UpstreamKind::Plain;
        rules.kind = isPlain ? ServiceKind::Plain : ServiceKind::Generation;
        // Without configuration a plain call is assumed to be unsafe to repeat.
        rules.repeatable = !isPlain;
        return rules;
    }
    return Error { ResultCode::UnknownService, "no service '" + service + "' is configured or announced; check its name" };
}

void GatewayLogic::refuseNew(const RequestId& id, Error error)
{
    m_context.note(EventCode::RequestRefused, id, std::string(nameOf(error.code)));
    m_context.effects.push_back(gateway::AnswerError { id, std::move(error) });
}

void GatewayLogic::on(const gateway::CallerDisconnected& event, Instant now)
{
    auto it = m_context.requests.find(event.request);
    if (it == m_context.requests.end())
        return;
    auto& request = it->second;
    if (m_context.safeguards.cancelsForGoneCaller)
        withFlow(request, [&](auto& flow) { flow.cancel(request); });
    m_context.note(EventCode::RequestCancelled, request.id, "the caller disconnected");
    m_context.close(request, ResultCode::Cancelled, now);
    checkDrained();
}

// --- Peers ------------------------------------------------------------------------------------------------------

void GatewayLogic::on(const gateway::PeerUp& event, Instant now)
{
    if (event.peer.role == Role::Sidecar) {
        m_sidecars[event.peer.id] = event.peer;
        m_context.upstreams.onLinkUp(event.peer.id);
        m_context.sendAll(m_context.follower.onPeerUp(event.peer.id, now));
    }
    if (event.peer.role == Role::Controller) {
        m_context.controllers.onControllerUp(event.peer.id);
        m_context.sendAll(m_context.follower.onControllerUp(event.peer.id, now));
        // The controller may have restarted and lost its crash records.
        if (auto report = m_context.crashes.describeAll(CrashTracker::Status::Unknown, now); !report.isEmpty())
            m_context.send(event.peer.id, std::move(report));
    }
}

void GatewayLogic::on(const gateway::PeerDown& event, Instant now)
{
    m_context.controllers.onControllerDown(event.peer);
    m_context.follower.onControllerDown(event.peer);
    if (m_sidecars.erase(event.peer)) {
        m_context.upstreams.onLinkDown(event.peer);
        handleUpstreamLoss(event.peer, now);
    }
}

void GatewayLogic::handleUpstreamLoss(PeerId lost, Instant now)
{
    m_context.placement.prefixIndex().removeReplica(lost);
    std::vector<RequestId> affected;
    for (const auto& [id, request] : m_context.requests) {
        if (request.upstream == lost || request.prefill == lost)
            affected.push_back(id);
    }
    for (const auto& id : affected) {
        auto& request = m_context.requests.at(id);
        withFlow(request, [&](auto& flow) { flow.onUpstreamLost(request, lost, now); });
    }
    checkDrained();
}

void GatewayLogic::on(const gateway::PeerMessage& event, Instant now)
{
    std::visit(
        [&](const auto& message) {
            if constexpr (requires { message.load; })
                m_context.upstreams.updateLoad(event.peer, message.load, now);
            if constexpr (requires { onMessage(event.peer, message, now); })
                onMessage(event.peer, message, now);
        },
        event.message);
    checkDrained();
}

void GatewayLogic::onMessage(PeerId from, const UpstreamAnnouncement& message, Instant now)
{
    auto it = m_sidecars.find(from);
    if (it == m_sidecars.end())
        return;
    auto change = m_context.upstreams.announce(it->second, message, now);
    if (change == UpstreamTable::Change::Announced)
        m_context.note(EventCode::UpstreamAnnounced, {}, it->second.name + " of " + message.service + " in " + it->second.zone);
    if (change == UpstreamTable::Change::Draining)
        m_context.note(EventCode::UpstreamDraining, {}, it->second.name + " of " + message.service);
}

/// Finds the request that a message refers to; null if it has ended or the message belongs to another attempt.
GatewayRequest* GatewayLogic::findCurrent(PeerId from, const RequestId& id, Attempt attempt)
{
    auto it = m_context.requests.find(id);
    bool isAttemptRight = it != m_context.requests.end() && (it->second.attempt == attempt || !m_context.safeguards.checksAttempts);
    if (isAttemptRight)
        return &it->second;
    m_context.note(EventCode::LateAnswerDropped, id, "from " + toString(from) + ", attempt " + std::to_string(attempt.value()));
    return nullptr;
}

void GatewayLogic::onMessage(PeerId from, const SlotGrant& message, Instant now)
{
    if (auto* request = findCurrent(from, message.request, message.attempt))
        m_generation.onGrant(*request, from, message, now);
    else
        m_context.send(from, Cancel { message.request, message.attempt });
}

void GatewayLogic::onMessage(PeerId from, const PrefillDone& message, Instant now)
{
    if (auto* request = findCurrent(from, message.request, message.attempt))
        m_generation.onPrefilled(*request, from, message, now);
    else
        m_context.send(from, Cancel { message.request, message.attempt });
}

void GatewayLogic::onMessage(PeerId from, const Refused& message, Instant now)
{
    if (auto* request = findCurrent(from, message.request, message.attempt))
        withFlow(*request, [&](auto& flow) { flow.onRefused(*request, from, message, now); });
}

void GatewayLogic::onMessage(PeerId from, const ResponseHead& message, Instant now)
{
    if (auto* request = findCurrent(from, message.request, message.attempt))
        withFlow(*request, [&](auto& flow) { flow.onHead(*request, from, message, now); });
}

void GatewayLogic::onMessage(PeerId from, const ResponseData& message, Instant now)
{
    if (auto* request = findCurrent(from, message.request, message.attempt))
        withFlow(*request, [&](auto& flow) { flow.onData(*request, from, message, now); });
}

void GatewayLogic::onMessage(PeerId from, const ResponseEnd& message, Instant now)
{
    if (auto* request = findCurrent(from, message.request, message.attempt))
        withFlow(*request, [&](auto& flow) { flow.onEnd(*request, from, message, now); });
}

void GatewayLogic::onMessage(PeerId from, const Failed& message, Instant now)
{
    auto* request = findCurrent(from, message.request, message.attempt);
    if (!request)
        return;
    if (message.isDisconnected && (from == request->upstream || from == request->prefill))
        m_context.noteCrash(*request, from, now);
    withFlow(*request, [&](auto& flow) { flow.onFailed(*request, from, message, now); });
}

void GatewayLogic::onMessage(PeerId from, const SealReply& message, Instant now)
{
    if (auto* request = findCurrent(from, message.request, message.attempt))
        m_plain.onSealed(*request, from, message, now);
}

// --- Controllers ------------------------------------------------------------------------------------------------

void GatewayLogic::onMessage(PeerId from, const ConfigDelta& message, Instant)
{
    auto before = configuration().version();
    m_context.sendAll(m_context.follower.onDelta(from, message));
    if (configuration().version() != before)
        m_context.note(EventCode::ConfigInForce, {}, "version " + std::to_string(configuration().version().value()));
}

void GatewayLogic::onMessage(PeerId from, const Watch& message, Instant) { m_context.sendAll(m_context.follower.onWatch(from, message)); }

void GatewayLogic::onMessage(PeerId, const ProposeReply& message, Instant now)
{
    ControllerClient::Sends sends;
    auto done = m_context.controllers.onReply(message, sends, now);
    m_context.sendAll(std::move(sends));
    if (done)
        onDecided(*done, now);
}

void GatewayLogic::onMessage(PeerId, const CrashReport& message, Instant now)
{
    m_context.crashes.take(message, now);
    m_context.reportCrashes(m_context.crashes.refute(message, now));
}

void GatewayLogic::onDecided(const ControllerClient::Decided& done, Instant now)
{
    auto it = m_context.requests.find(done.owner);
    const auto* intent = std::get_if<IntentCommand>(&done.command);
    if (intent && it != m_context.requests.end())
        m_plain.onIntent(it->second, *intent, done.reply, now);
}

/// Like a refusal by the sidecar: another replica is chosen, or the request is refused as not run.
void GatewayLogic::on(const gateway::Unsent& event, Instant now)
{
    m_context.note(EventCode::WorkRefused, event.request, "too much waits for the link to " + toString(event.to));
    // The sidecar may hold a slot for it.
    m_context.send(event.to, Cancel { event.request, event.attempt });
    onMessage(event.to, Refused { event.request, event.attempt, ResultCode::Overloaded, fullLinkRetryAfter, {} }, now);
    checkDrained();
}

// --- Process ----------------------------------------------------------------------------------------------------

void GatewayLogic::on(const gateway::Drain&, Instant)
{
    m_isDraining = true;
    checkDrained();
}

void GatewayLogic::on(const gateway::Tick&, Instant now)
{
    m_context.sendAll(m_context.follower.tick(now));
    ControllerClient::Sends sends;
    auto timedOut = m_context.controllers.tick(sends, now);
    m_context.sendAll(std::move(sends));
    for (const auto& done : timedOut)
        onDecided(done, now);
    for (auto lost : m_context.safeguards.expiresLeases ? m_context.upstreams.removeExpired(now) : std::vector<PeerId>()) {
        m_context.note(EventCode::UpstreamLeaseExpired, {}, toString(lost));
        handleUpstreamLoss(lost, now);
    }
    std::vector<RequestId> ids;
    ids.reserve(m_context.requests.size());
    for (const auto& [id, request] : m_context.requests)
        ids.push_back(id);
    for (const auto& id : ids) {
        if (auto it = m_context.requests.find(id); it != m_context.requests.end())
            withFlow(it->second, [&](auto& flow) { flow.tick(it->second, now); });
    }
    if (now >= m_nextCrashExpiry) {
        m_context.crashes.removeExpired(now);
        m_nextCrashExpiry = now + crashExpiryInterval;
    }
    m_nextTick = now + (m_context.controllers.empty() ? tickInterval : proposalTickInterval);
    checkDrained();
}

void GatewayLogic::checkDrained()
{
    // Outcomes not yet recorded in the ledger delay the shutdown: losing one would turn an answered request into "outcome
    // unknown" for a resend.
    if (!m_isDraining || m_reportedDrained || !m_context.requests.empty() || !m_context.controllers.empty())
        return;
    m_reportedDrained = true;
    m_context.effects.push_back(gateway::Drained {});
}

} // namespace wrenhinge
