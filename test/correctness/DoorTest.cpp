/** \file
 * What comes from other writers: counted and told at a bounded rate, and never more of it kept than there is room for.
 */
#include "connection/DialBackoff.h"
#include "connection/MessageCheck.h"
#include "connection/UpstreamPool.h"
#include "process/RefusalLog.h"
#include "process/RegistryLimits.h"

#include <cmath>
#include <doctest/doctest.h>

using namespace wrenhinge;

namespace {

Announcement replica(const std::string& id, const std::string& service = "app")
{
    Announcement announcement;
    announcement.id = id;
    announcement.service = service;
    announcement.address = "10.0.0.1:80";
    announcement.zone = "z";
    announcement.slots = 1;
    announcement.sequence = 1;
    return announcement;
}

std::size_t linesOf(const EventLog& log)
{
    auto events = log.events("");
    return static_cast<std::size_t>(
        std::count_if(events.begin(), events.end(), [](const auto& event) { return event.code == EventCode::EntryRefused; }));
}

} // namespace

TEST_CASE("a flood of entries that can't be used is counted whole and told in a few short lines")
{
    // Guards against a flood of invalid input that crowds everything else out of the log.
    LogSettings settings;
    EventLog log(settings, "test");
    RefusalLog refusals(log);
    Instant now { 1h };
    for (int i = 0; i < 10000; ++i)
        refusals.note(InputSource::Announcement, "PUT /x", "`state` is " + std::string(100000, '\n'), now);
    CHECK(refusals.count(InputSource::Announcement) == 10000);
    CHECK(linesOf(log) == 20);
    // Another door is heard all the same.
    refusals.note(InputSource::Link, "10.0.0.2:7", "a message of no type", now);
    CHECK(linesOf(log) == 21);
    refusals.note(InputSource::Announcement, "PUT /x", "`state` is missing", now + 1s);
    auto last = log.events("").back().text;
    CHECK(last.find("9980 more since the last line") != std::string::npos);
    for (const auto& event : log.events("")) {
        CHECK(event.text.size() < 700);
        CHECK(event.text.find('\n') == std::string::npos);
    }
    CHECK(refusals.metrics().find("wrenhinge_refused_announcements_total 10001\n") != std::string::npos);
    CHECK(refusals.metrics().find("wrenhinge_refused_links_total 1\n") != std::string::npos);
}

TEST_CASE("a writer that draws a new id for each announcement doesn't fill the memory")
{
    // Guards against controllers and gateways that run out of memory over announcements with ever new ids.
    ReplicaRegistry registry;
    RegistryLimits bounds;
    Instant now { 1h };
    auto announce = [&](const Announcement& announcement) {
        if (bounds.checkCapacity(registry, announcement, now))
            return false;
        registry.announce(announcement, Duration::zero(), now);
        return true;
    };
    REQUIRE(announce(replica("good")));
    for (int i = 0; i < 30000; ++i)
        announce(replica("junk-" + std::to_string(i), "nobody"));
    CHECK(registry.entries().size() == RegistryLimits::maxReplicasPerService + 1);
    // One service can't take the room of the others, and a known replica is always heard.
    CHECK(announce(replica("better")));
    CHECK(!bounds.checkCapacity(registry, replica("good"), now));
    CHECK(!bounds.checkCapacity(registry, replica("junk-0", "nobody"), now));
    for (int i = 0; i < 30000; ++i)
        announce(replica("more-" + std::to_string(i), "service-" + std::to_string(i)));
    CHECK(registry.entries().size() == RegistryLimits::maxIds);
    auto full = bounds.checkCapacity(registry, replica("late"), now);
    REQUIRE(full);
    CHECK(httpStatusOf(full->code) == 503);
    // Ids that end without having been known are remembered too.
    CHECK(RegistryLimits::checkCapacity(registry, "unknown"));
    CHECK(!RegistryLimits::checkCapacity(registry, "good"));
    // There is room again once the junk is no longer renewed.
    now += ReplicaRegistry::expiredAfter + 1s;
    registry.removeExpired(now);
    CHECK(announce(replica("late")));
}

TEST_CASE("an answer without end to a call of our own is not kept without end")
{
    // Guards against a gateway that runs out of memory over an endless answer of a faulty replica.
    std::size_t kept = 0;
    auto handlers = gather([&kept](const GatheredAnswer& answer) { kept = answer.body.size(); }, {});
    for (int i = 0; i < 1000; ++i)
        handlers.onBody(std::string(65536, 'x'));
    handlers.onEnd();
    CHECK(kept > (1u << 20));
    CHECK(kept < (1u << 20) + 100000);
}

TEST_CASE("an address whose links end at once is dialled less and less often")
{
    // Guards against two processes of different releases that connect and disconnect twenty times a second forever.
    DialBackoff backoff;
    CHECK(backoff.ceiling() == 50ms);
    for (int i = 0; i < 10; ++i)
        backoff.linkEnded(5ms);
    CHECK(backoff.ceiling() == DialBackoff::longestRetry);
    backoff.linkEnded(10s);
    CHECK(backoff.ceiling() == 100ms);
    for (int i = 0; i < 10; ++i)
        backoff.connectFailed();
    CHECK(backoff.ceiling() == DialBackoff::longestRetry);
    backoff.linkedOtherwise();
    CHECK(backoff.ceiling() == 50ms);
}

TEST_CASE("a message whose fields can't be used is told from a proper one, with the field")
{
    CHECK(!faultOf(Message(RelayedAnnouncement { replica("a"), 1s })));
    CHECK(!faultOf(Message(ReplicaWithdrawn { "a" })));
    CHECK(!faultOf(Message(ControllerRoster { { "10.0.0.1:7", "::1:8" } })));
    Hello hello;
    hello.id = PeerId(7);
    hello.name = "10.0.0.1:7";
    CHECK(!faultOf(Message(hello)));
    auto names = [](const Message& message, const std::string& field) {
        auto fault = faultOf(message);
        return fault && fault->find("`" + field + "`") != std::string::npos;
    };
    hello.zone = "z\r\nx";
    CHECK(names(hello, "zone"));
    CHECK(names(Hello {}, "id"));
    CHECK(names(ReplicaWithdrawn { "" }, "id"));
    CHECK(names(ReplicaWithdrawn { std::string(1000, 'x') }, "id"));
    CHECK(names(RelayedAnnouncement { replica("a"), -5s }, "age"));
    auto wrong = replica("a");
    wrong.address = "10.0.0.1:80\r\nHost: x";
    CHECK(names(RelayedAnnouncement { wrong, {} }, "address"));
    wrong = replica("a");
    wrong.coldLeft = -1s;
    CHECK(names(RelayedAnnouncement { wrong, {} }, "coldLeft"));
    wrong = replica("a");
    wrong.sequence = ~0ULL;
    CHECK(names(RelayedAnnouncement { wrong, {} }, "sequence"));
    CHECK(names(RegistryHeartbeat { { { "a", -5s } }, 1 }, "age"));
    CHECK(names(EngineLoadReport { { { "app", { NAN, 0, {} } } } }, "services"));
    CHECK(names(EngineLoadReport { { { "app", { 0, INFINITY, {} } } } }, "services"));
    CHECK(names(StageChange { "a", UpstreamKind::Decode, -1s }, "lasts"));
    CHECK(!faultOf(Message(RegistryList { { { replica("a"), 1s } }, { { "a", UpstreamKind::Decode, 1s } }, { { "b" } } })));
    CHECK(names(RegistryList { { { replica("a"), -5s } }, {}, {} }, "age"));
    CHECK(names(RegistryList { {}, { { "a", UpstreamKind::Decode, -1s } }, {} }, "lasts"));
    CHECK(names(RegistryList { {}, {}, { { "" } } }, "id"));
    CHECK(!faultOf(Message(CrashReport { { { ContentFingerprint(7), "a", {}, 1s, 1s } }, { { ContentFingerprint(7), 1s } } })));
    CHECK(names(CrashReport { { { ContentFingerprint(7), "", {}, 1s, 1s } }, {} }, "id"));
    CHECK(names(CrashReport { { { ContentFingerprint(7), "a", {}, -5s, 1s } }, {} }, "age"));
    CHECK(names(CrashReport { { { ContentFingerprint(7), "a", {}, 1s, -1s } }, {} }, "ranFor"));
    CHECK(names(CrashReport { {}, { { ContentFingerprint(7), -5s, {} } } }, "age"));
    std::string longText(10'000, 'x');
    CHECK(names(CrashReport { { { ContentFingerprint(7), "a", {}, 1s, 1s, { longText, "v1" }, "g" } }, {} }, "software"));
    CHECK(names(CrashReport { { { ContentFingerprint(7), "a", {}, 1s, 1s, { "s", longText }, "g" } }, {} }, "software"));
    CHECK(names(CrashReport { { { ContentFingerprint(7), "a", {}, 1s, 1s, { "s", "v1" }, longText } }, {} }, "reporter"));
    CHECK(names(CrashReport { {}, { { ContentFingerprint(7), 1s, ReplicaSoftware { longText, "" } } } }, "software"));
    CHECK(!faultOf(Message(QuotaReport { { { AccountId(7), -3300, 47000, true } }, true, true })));
    CHECK(names(QuotaReport { { { AccountId(7), NAN, 47000 } } }, "uses"));
    CHECK(names(QuotaReport { { { AccountId(7), 1, -1 } } }, "uses"));
    CHECK(names(QuotaReport { { { AccountId(7), 1, 1, false, -1 } } }, "uses"));
    CHECK(!faultOf(Message(QuotaTotals { { { AccountId(7), -3300, 5000, 0, true } }, true })));
    CHECK(names(QuotaTotals { { { AccountId(7), INFINITY, 0, 0, true } } }, "totals"));
    CHECK(names(QuotaTotals { { { AccountId(7), 0, -1, 0, true } } }, "totals"));
    CHECK(names(QuotaTotals { { { AccountId(7), 0, 0, -1, true } } }, "totals"));
    CHECK(!faultOf(Message(ReplicaRateLimits { { { "i-1", {}, 1.5, 1 }, { "i-1", {}, {}, 2 } } })));
    CHECK(names(ReplicaRateLimits { { { "i-1", {}, -1.0, 1 } } }, "perSecond"));
    CHECK(names(ReplicaRateLimits { { { "i-1", {}, NAN, 1 } } }, "perSecond"));
    CHECK(names(ReplicaRateLimits { { { "a b", {}, 1.0, 1 } } }, "id"));
    CHECK(names(ReplicaUsageReport { { { { AccountId(7), INFINITY, 0, false, 0 } }, true, false, {} } }, "uses"));
    CHECK(names(ReplicaUsageReport { {}, { 0, 0, 1.5, {} } }, "lentShare"));
    CHECK(names(ReplicaUsageReport { {}, { 0, 0, NAN, {} } }, "lentShare"));
    CHECK(names(ReplicaUsageReport { {}, { 0, 0, 1, { { LimitId(7), INFINITY, 0, 1, 1 } } } }, "demands"));
    CHECK(names(ReplicaUsageReport { {}, { 0, 0, 1, { { LimitId(7), 0, -1, 1, 1 } } } }, "demands"));
    CHECK(names(ReplicaUsageTotals { { { { AccountId(7), INFINITY, 0, 0, true } }, true, {} } }, "totals"));
    CHECK(names(ControllerRoster { { "nowhere" } }, "addresses"));
    CHECK(readable("a\n\xff" + std::string(100, 'x'), 10) == "a??xxxx...");
}
