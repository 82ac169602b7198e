/** \file
 * Tests of at-most-once execution: AdmissionLedger at the sidecar, Ledger in the replicated state, and messages that must not
 * start work.
 */
#include "version/Ledger.h"
#include "request/sidecar/AdmissionLedger.h"
#include "request/sidecar/GatewayLogic.h"
#include "request/sidecar/SidecarLogic.h"

#include <doctest/doctest.h>

using namespace wrenhinge;

namespace {

constexpr Instant start { std::chrono::seconds(1000) };
const RequestId request { PeerId(9), 1 };

Hello helloOf(std::uint64_t id, Role role)
{
    Hello hello;
    hello.id = PeerId(id);
    hello.role = role;
    hello.name = "peer-" + std::to_string(id);
    return hello;
}

Dispatch dispatchTo(PeerId incarnation, std::uint64_t sequence)
{
    Dispatch dispatch;
    dispatch.request = request;
    dispatch.attempt = Attempt(1);
    dispatch.sequence = sequence;
    dispatch.incarnation = incarnation;
    dispatch.budget = 1s;
    dispatch.repeatable = false;
    return dispatch;
}

template <typename Wanted, typename Effects> int count(const Effects& effects)
{
    int n = 0;
    for (const auto& effect : effects)
        n += std::holds_alternative<Wanted>(effect) ? 1 : 0;
    return n;
}

template <typename Wanted> int countSent(const SidecarLogic::Effects& effects)
{
    int n = 0;
    for (const auto& effect : effects) {
        const auto* send = std::get_if<sidecar::Send>(&effect);
        n += send && std::holds_alternative<Wanted>(send->message) ? 1 : 0;
    }
    return n;
}

SidecarLogic plainSidecar(const Safeguards& safeguards = {})
{
    SidecarOptions options;
    options.self = PeerId(7);
    options.service = "saatja";
    options.kind = UpstreamKind::Plain;
    options.safeguards = safeguards;
    return SidecarLogic(options);
}

} // namespace

TEST_CASE("an attempt is admitted once")
{
    AdmissionLedger ledger(100);
    CHECK(ledger.admit("k", Attempt(1)));
    CHECK(!ledger.admit("k", Attempt(1)));
    CHECK(!ledger.admit("k", Attempt(2)));
}

TEST_CASE("a sealed attempt is never admitted, but the next attempt is")
{
    AdmissionLedger ledger(100);
    CHECK(ledger.seal({ request, "k", Attempt(1) }).state == AttemptState::NeverAdmitted);
    CHECK(!ledger.admit("k", Attempt(1)));
    CHECK(ledger.admit("k", Attempt(2)));
}

TEST_CASE("an attempt that was withdrawn before it ran counts as sealed")
{
    AdmissionLedger ledger(100);
    ledger.admit("k", Attempt(1));
    ledger.withdraw("k", Attempt(1));
    CHECK(!ledger.admit("k", Attempt(1)));
    CHECK(ledger.admit("k", Attempt(2)));
}

TEST_CASE("a small answer is kept; of a larger one only the fact that it ran")
{
    AdmissionLedger ledger(4);
    ledger.admit("small", Attempt(1));
    ledger.finish("small", Attempt(1), { 200, {}, "abcd", true });
    CHECK(ledger.seal({ request, "small", Attempt(1) }).answer.body == "abcd");
    ledger.admit("large", Attempt(1));
    ledger.finish("large", Attempt(1), { 200, {}, "abcde", true });
    auto reply = ledger.seal({ request, "large", Attempt(1) });
    CHECK(reply.state == AttemptState::Finished);
    CHECK(!reply.answer.complete);
}

TEST_CASE("of two intents with the same attempt only one is accepted")
{
    Ledger ledger;
    RequestId other { PeerId(8), 1 };
    CHECK(ledger.recordIntent({ "k", 5, Attempt(1), PeerId(1), request }).state == LedgerState::Accepted);
    CHECK(ledger.recordIntent({ "k", 5, Attempt(1), PeerId(2), other }).state == LedgerState::Exists);
    CHECK(ledger.recordIntent({ "k", 5, Attempt(1), PeerId(1), request }).state == LedgerState::Accepted);
    CHECK(ledger.recordIntent({ "k", 6, Attempt(2), PeerId(1), other }).state == LedgerState::Mismatch);
}

TEST_CASE("attempt numbers can't be skipped, and no intent is accepted after an outcome")
{
    Ledger ledger;
    ledger.recordIntent({ "k", 5, Attempt(1), PeerId(1), request });
    CHECK(ledger.recordIntent({ "k", 5, Attempt(3), PeerId(1), request }).state == LedgerState::Exists);
    ledger.recordOutcome({ "k", Attempt(1), AttemptState::Finished, { 200, {}, "x", true } });
    CHECK(ledger.recordIntent({ "k", 5, Attempt(2), PeerId(1), request }).state == LedgerState::Exists);
    ledger.recordOutcome({ "k", Attempt(1), AttemptState::Interrupted, {} });
    CHECK(ledger.recordIntent({ "k", 5, Attempt(1), PeerId(1), request }).outcome == AttemptState::Finished);
}

TEST_CASE("a dispatch for another run of the sidecar is refused")
{
    // Guards against a dispatch that runs twice: it is addressed to the previous run of a sidecar and delivered after its restart.
    auto logic = plainSidecar();
    logic.step(sidecar::PeerUp { helloOf(9, Role::Gateway) }, start);
    auto effects = logic.step(sidecar::PeerMessage { PeerId(9), dispatchTo(PeerId(6), 1) }, start);
    CHECK(count<sidecar::StartCall>(effects) == 0);
    CHECK(countSent<Refused>(effects) == 1);

    Safeguards disabled;
    disabled.refusesOtherIncarnation = false;
    auto unguarded = plainSidecar(disabled);
    unguarded.step(sidecar::PeerUp { helloOf(9, Role::Gateway) }, start);
    CHECK(count<sidecar::StartCall>(unguarded.step(sidecar::PeerMessage { PeerId(9), dispatchTo(PeerId(6), 1) }, start)) == 1);
}

TEST_CASE("a message from a gateway that is not connected starts no work")
{
    auto logic = plainSidecar();
    auto effects = logic.step(sidecar::PeerMessage { PeerId(9), dispatchTo(PeerId(7), 1) }, start);
    CHECK(count<sidecar::StartCall>(effects) == 0);
}

TEST_CASE("a non-repeatable call runs to completion after its gateway disconnects")
{
    auto logic = plainSidecar();
    logic.step(sidecar::PeerUp { helloOf(9, Role::Gateway) }, start);
    logic.step(sidecar::PeerMessage { PeerId(9), dispatchTo(PeerId(7), 1) }, start);
    auto effects = logic.step(sidecar::PeerDown { PeerId(9) }, start);
    CHECK(count<sidecar::AbortCall>(effects) == 0);
    CHECK(logic.inProgress() == 1);
}

TEST_CASE("a message of an earlier attempt is not forwarded to the caller")
{
    // Guards against mixing the answers of two attempts.
    for (bool checks : { true, false }) {
        Safeguards safeguards;
        safeguards.checksAttempts = checks;
        GatewayLogic logic(1, safeguards);
        auto hello = helloOf(7, Role::Sidecar);
        logic.step(gateway::PeerUp { hello }, start);
        LoadReport load;
        load.slots = 1;
        logic.step(gateway::PeerMessage { hello.id, UpstreamAnnouncement { "saatja", UpstreamKind::Plain, "", 3s, load } }, start);
        CallerRequest caller;
        caller.account = "a";
        caller.service = "saatja";
        logic.step(gateway::Submit { request, caller }, start);
        auto effects = logic.step(gateway::PeerMessage { hello.id, ResponseHead { request, Attempt(0), 200, {} } }, start);
        CHECK(count<gateway::AnswerHead>(effects) == (checks ? 0 : 1));
    }
}
