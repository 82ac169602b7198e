/** \file
 * Client accounts at a gateway that calls upstreams itself: whose request it is, and who is let in.
 */
#include "ForwardBench.h"
#include "request/fleet/RequestFingerprint.h"

using namespace wrenhinge;
using namespace wrenhinge::forward;
using namespace wrenhinge::bench;

namespace {

AccountRule account(const std::string& name, const std::vector<std::string>& keys, std::optional<std::uint32_t> rank = {})
{
    AccountRule rule;
    rule.name = name;
    for (const auto& key : keys)
        rule.keys.push_back(SecretDigest::of(key));
    rule.rank = rank;
    return rule;
}

/// With two accounts, and a public route.
RoutingDocument documentOf(std::uint64_t version, std::vector<AccountRule> accounts)
{
    auto out = document(version);
    auto open = route("/open/", "plain", Repeatability::Idempotent, 1);
    open.isPublic = true;
    out.routes.push_back(open);
    out.accounts = std::move(accounts);
    return out;
}

struct Site : Bench {
    Site()
    {
        post(TakeDocument { documentOf(1, { account("desk", { "k1", "k2" }), account("gate", { "k3" }, 0) }), true });
        post(RegistryTold { PeerId(50), { {}, 1 } });
        replica("r1");
    }
    RequestId askWith(const std::string& path, const std::string& key, RequestFingerprint fingerprint = {})
    {
        return ask(path, 600ms, fingerprint, key);
    }
};

} // namespace

TEST_CASE("a request runs for the account whose key its caller shows, and for nobody else")
{
    Site site;
    site.askWith("/once/x", "k2");
    CHECK(site.only<Send>().account == "desk");
    for (const auto* key : { "k4", "k", "" }) {
        site.askWith("/once/x", key);
        CHECK(site.did<Send>().empty());
        CHECK(site.only<Refuse>().error.code == ResultCode::UnknownAccount);
        CHECK(httpStatusOf(ResultCode::UnknownAccount) == 401);
        CHECK(!site.only<Refuse>().error.retryAfter);
    }
}

TEST_CASE("a public route needs no key, and an unknown one is no account")
{
    Site site;
    for (const auto* key : { "", "k4" }) {
        site.askWith("/open/x", key);
        CHECK(site.only<Send>().account == "");
    }
    site.askWith("/open/x", "k3");
    CHECK(site.only<Send>().account == "gate");
}

TEST_CASE("a document without accounts asks for no key and tells replicas of none")
{
    Bench bench;
    bench.serve().replica("r1");
    bench.ask("/once/x", 600ms, {}, "whatever");
    CHECK(!bench.only<Send>().account);
}

TEST_CASE("an empty list of accounts lets nobody in, and no list yet refuses nobody for good")
{
    Bench bench;
    bench.replica("r1");
    bench.ask("/once/x", 600ms, {}, "k1");
    bench.wait(150ms);
    CHECK(bench.only<Refuse>().error.code == ResultCode::ConfigUnavailable);
    bench.post(TakeDocument { documentOf(1, {}), true });
    bench.post(RegistryTold { PeerId(50), { {}, 1 } });
    bench.ask("/once/x", 600ms, {}, "k1");
    CHECK(bench.only<Refuse>().error.code == ResultCode::UnknownAccount);
}

TEST_CASE("a gateway that hears no controller does not say of a key that nobody holds it")
{
    Site site;
    site.now += AccountQuotas::contactLasts + 1ms;
    site.askWith("/once/x", "k4");
    CHECK(site.only<Refuse>().error.code == ResultCode::ConfigUnavailable);
    CHECK(site.only<Refuse>().error.retryAfter);
    // One who shows none is refused whatever documents there may be.
    site.askWith("/once/x", "");
    CHECK(site.only<Refuse>().error.code == ResultCode::UnknownAccount);
    // Those that are known are served on.
    site.askWith("/once/x", "k1");
    CHECK(site.did<Send>().size() == 1);
}

TEST_CASE("a key that is taken away ends what waits for an engine, and not what runs")
{
    // Guards against a caller without an account that is served after its key was taken away.
    Site site;
    site.replica("d1", UpstreamKind::Decode).replica("p1", UpstreamKind::Prefill);
    auto running = site.run(site.ask("/stream/x", 14s, {}, "k1"));
    auto waiting = site.ask("/stream/y", 14s, {}, "k1");
    site.ask("/stream/y", 14s, {}, "k2");
    site.post(TakeDocument { documentOf(2, { account("desk", { "k2" }), account("gate", { "k3" }) }), true });
    CHECK((site.only<Refuse>().id == waiting));
    CHECK(site.only<Refuse>().error.code == ResultCode::UnknownAccount);
    site.streamHead(running);
    site.post(AnswerBody { running.id, running.attempt, "id: 1\ndata: x\n\n" });
    CHECK(site.did<StreamBytes>().size() == 1);
    site.askWith("/once/x", "k1");
    CHECK(site.only<Refuse>().error.code == ResultCode::UnknownAccount);
}

TEST_CASE("an account's rank goes before its route's when requests wait for an engine")
{
    Site site;
    site.replica("d1", UpstreamKind::Decode).replica("p1", UpstreamKind::Prefill);
    site.post(TakeDocument { [] {
                                auto out = documentOf(2, { account("desk", { "k1" }, 5), account("gate", { "k3" }, 0) });
                                for (auto& route : out.routes)
                                    route.rank = 1;
                                return out;
                            }(),
        true });
    auto refuse = [&site](const TakePlace& take) { site.post(PlaceRefused { take.id, take.attempt, true }); };
    site.ask("/stream/x", 14s, {}, "k1");
    refuse(site.only<TakePlace>());
    auto urgent = site.ask("/stream/y", 14s, {}, "k3");
    site.wait(50ms);
    REQUIRE(!site.did<TakePlace>().empty());
    CHECK((site.did<TakePlace>().front().id == urgent));
}

TEST_CASE("two keys of one account make one caller of a request that crashes replicas")
{
    Site site;
    RequestFingerprint print(7);
    auto crashOf = [&](const std::string& key) {
        site.askWith("/once/x", key, print);
        auto send = site.only<Send>();
        site.now += 50ms;
        site.post(CallFailed { send.id, send.attempt, true, "reset" });
        auto told = site.did<TellCrashes>();
        site.wait(1s);
        return told.empty() ? RequestFingerprint() : told.front().report.crashes.front().request;
    };
    auto first = crashOf("k1");
    CHECK((first == ofAccount(print, "desk")));
    site.replica("r2").replica("r3");
    CHECK((crashOf("k3") == ofAccount(print, "gate")));
    CHECK((crashOf("k2") == first));
}

// --- Quotas -----------------------------------------------------------------------------------------------------

namespace {

/// A site whose account may use 1,000 tokens a second and a burst of two large requests, and that hears a controller.
struct LimitedSite : Bench {
    LimitedSite()
        : Bench({ "zone-1", 1, { 0.2, 60, 10s }, "gateway-1" })
    {
        auto desk = account("desk", { "k1" });
        desk.quota = { QuotaRule::Unit::Tokens, 1000, 12'000, 200 };
        post(TakeDocument { documentOf(1, { desk, account("gate", { "k3" }) }), true });
        for (int i = 0; i < 15; ++i)
            hear();
        replica("r1").replica("d1", UpstreamKind::Decode).replica("p1", UpstreamKind::Prefill);
    }
    void hear()
    {
        post(RegistryTold { controller, { {}, 1 } });
        wait(1s);
        post(QuotaTold { controller, { {}, true } });
    }
    static constexpr PeerId controller { 50 };
};

} // namespace

TEST_CASE("an account beyond its quota is refused before a replica is asked for anything, and told when to come back")
{
    LimitedSite site;
    site.hear();
    for (int i = 0; i < 2; ++i) {
        site.ask("/stream/x", 14s, {}, "k1");
        CHECK(site.did<Refuse>().empty());
    }
    site.ask("/stream/x", 14s, {}, "k1");
    auto error = site.only<Refuse>().error;
    CHECK(error.code == ResultCode::AccountRateLimit);
    CHECK(httpStatusOf(error.code) == 429);
    REQUIRE(error.retryAfter);
    CHECK(*error.retryAfter > 1s);
    CHECK(site.did<TakePlace>().empty());
    CHECK(site.did<Send>().empty());
    // Another account is none the worse for it.
    site.ask("/once/x", 600ms, {}, "k3");
    CHECK(site.did<Send>().size() == 1);
}

TEST_CASE("a request that is refused for want of room costs its account nothing, and one that may have run does")
{
    LimitedSite site;
    site.hear();
    auto left = [&site] { return site.logic().quotas().accounts().at("desk").left(site.now); };
    auto before = left();
    auto take = (site.ask("/stream/x", 14s, {}, "k1"), site.only<TakePlace>());
    CHECK(left() == doctest::Approx(before - 5800));
    site.post(PlaceRefused { take.id, take.attempt, true });
    site.post(CallerGone { take.id });
    CHECK(left() == doctest::Approx(before));
    site.ask("/once/x", 600ms, {}, "k1");
    auto send = site.only<Send>();
    site.post(CallFailed { send.id, send.attempt, true, "reset" });
    CHECK(site.only<Refuse>().error.code == ResultCode::UpstreamFailed);
    CHECK(left() == doctest::Approx(before - 200));
}

TEST_CASE("what is used is reported to all controllers, under the account's hash and with its limit")
{
    LimitedSite site;
    site.hear();
    site.ask("/stream/x", 14s, {}, "k1");
    site.wait(AccountQuotas::reportSoon);
    auto report = site.only<ReportUse>().report;
    CHECK((report.teller == LimitedSite::controller));
    REQUIRE(report.uses.size() == 1);
    CHECK((report.uses[0].account == accountId("desk")));
    CHECK(report.uses[0].amount == doctest::Approx(5800));
    CHECK(report.uses[0].perSecond == 1000);
}
