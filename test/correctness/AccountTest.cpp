/** \file
 * Client accounts at a gateway that calls upstreams directly: which account a request belongs to, and which requests are admitted.
 */
#include "ForwardBench.h"
#include "request/fleet/ContentFingerprint.h"

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

/// A document with a public route, and with these accounts.
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
        post(DocumentReceived { documentOf(1, { account("desk", { "k1", "k2" }), account("gate", { "k3" }, 0) }), true });
        post(RegistryHeartbeatReceived { PeerId(50), { {}, 1 } });
        replica("r1");
    }
    RequestId requestWithKey(const std::string& path, const std::string& key, ContentFingerprint fingerprint = {})
    {
        return submit(path, 600ms, fingerprint, key);
    }
};

} // namespace

TEST_CASE("a request runs for the account whose key it carries, and is refused without a valid key")
{
    Site site;
    site.requestWithKey("/once/x", "k2");
    CHECK(site.only<Send>().account == "desk");
    for (const auto* key : { "k4", "k", "" }) {
        site.requestWithKey("/once/x", key);
        CHECK(site.effects<Send>().empty());
        CHECK(site.only<Refuse>().error.code == ResultCode::UnknownAccount);
        CHECK(httpStatusOf(ResultCode::UnknownAccount) == 401);
        CHECK(!site.only<Refuse>().error.retryAfter);
    }
}

TEST_CASE("a public route needs no key, and an unknown key counts as no account")
{
    Site site;
    for (const auto* key : { "", "k4" }) {
        site.requestWithKey("/open/x", key);
        CHECK(site.only<Send>().account == "");
    }
    site.requestWithKey("/open/x", "k3");
    CHECK(site.only<Send>().account == "gate");
}

TEST_CASE("a document without accounts requires no key, and no account is passed to replicas")
{
    Bench bench;
    bench.serve().replica("r1");
    bench.submit("/once/x", 600ms, {}, "whatever");
    CHECK(!bench.only<Send>().account);
}

TEST_CASE("an empty list of accounts admits nobody, and a list that has not arrived yet is a temporary error")
{
    Bench bench;
    bench.replica("r1");
    bench.submit("/once/x", 600ms, {}, "k1");
    bench.wait(150ms);
    CHECK(bench.only<Refuse>().error.code == ResultCode::ConfigUnavailable);
    bench.post(DocumentReceived { documentOf(1, {}), true });
    bench.post(RegistryHeartbeatReceived { PeerId(50), { {}, 1 } });
    bench.submit("/once/x", 600ms, {}, "k1");
    CHECK(bench.only<Refuse>().error.code == ResultCode::UnknownAccount);
}

TEST_CASE("a gateway without contact to a controller does not reject an unknown key for good")
{
    Site site;
    site.now += AccountQuotas::contactTimeout + 1ms;
    site.requestWithKey("/once/x", "k4");
    CHECK(site.only<Refuse>().error.code == ResultCode::ConfigUnavailable);
    CHECK(site.only<Refuse>().error.retryAfter);
    // A caller without a key is refused by any document.
    site.requestWithKey("/once/x", "");
    CHECK(site.only<Refuse>().error.code == ResultCode::UnknownAccount);
    // Callers with a known key are still served.
    site.requestWithKey("/once/x", "k1");
    CHECK(site.effects<Send>().size() == 1);
}

TEST_CASE("revoking a key ends requests that wait for an engine, and not requests that run")
{
    // Guards against serving a caller after its key was revoked.
    Site site;
    site.age().post(RegistryHeartbeatReceived { PeerId(50), { {}, 1 } });
    site.replica("d1", UpstreamKind::Decode).replica("p1", UpstreamKind::Prefill);
    auto running = site.run(site.submit("/stream/x", 14s, {}, "k1"));
    auto waiting = site.submit("/stream/y", 14s, {}, "k1");
    site.submit("/stream/y", 14s, {}, "k2");
    site.post(DocumentReceived { documentOf(2, { account("desk", { "k2" }), account("gate", { "k3" }) }), true });
    CHECK((site.only<Refuse>().id == waiting));
    CHECK(site.only<Refuse>().error.code == ResultCode::UnknownAccount);
    site.streamHead(running);
    site.post(AnswerBody { running.id, running.attempt, "id: 1\ndata: x\n\n" });
    CHECK(site.effects<StreamBytes>().size() == 1);
    site.requestWithKey("/once/x", "k1");
    CHECK(site.only<Refuse>().error.code == ResultCode::UnknownAccount);
}

TEST_CASE("an account's rank overrides its route's when requests wait for an engine")
{
    Site site;
    site.replica("d1", UpstreamKind::Decode).replica("p1", UpstreamKind::Prefill);
    site.post(DocumentReceived { [] {
                                    auto out = documentOf(2, { account("desk", { "k1" }, 5), account("gate", { "k3" }, 0) });
                                    for (auto& route : out.routes)
                                        route.rank = 1;
                                    return out;
                                }(),
        true });
    auto refuse = [&site](const ReserveAtReplica& take) { site.post(ReservationRefused { take.id, take.attempt, true }); };
    site.submit("/stream/x", 14s, {}, "k1");
    refuse(site.only<ReserveAtReplica>());
    auto urgent = site.submit("/stream/y", 14s, {}, "k3");
    site.wait(50ms);
    REQUIRE(!site.effects<ReserveAtReplica>().empty());
    CHECK((site.effects<ReserveAtReplica>().front().id == urgent));
}

TEST_CASE("a request that crashes replicas has the same fingerprint under all keys of an account")
{
    Site site;
    ContentFingerprint print(7);
    auto crashOf = [&](const std::string& key) {
        site.requestWithKey("/once/x", key, print);
        auto send = site.only<Send>();
        site.now += 50ms;
        site.post(CallFailed { send.id, send.attempt, true, "reset" });
        auto reports = site.effects<ReportCrashes>();
        site.wait(1s);
        return reports.empty() ? ContentFingerprint() : reports.front().report.crashes.front().content;
    };
    auto first = crashOf("k1");
    CHECK((first == fingerprintForAccount(print, "desk")));
    site.replica("r2").replica("r3");
    CHECK((crashOf("k3") == fingerprintForAccount(print, "gate")));
    CHECK((crashOf("k2") == first));
}

// --- Quotas -----------------------------------------------------------------------------------------------------

namespace {

/// A site in contact with a controller, with an account that may use 1,000 tokens a second and a burst of two large requests.
struct LimitedSite : Bench {
    LimitedSite()
        : Bench({ "zone-1", 1, { 0.2, 60, 10s }, "gateway-1" })
    {
        auto desk = account("desk", { "k1" });
        desk.quota = { QuotaRule::Unit::Tokens, 1000, 12'000, 200 };
        post(DocumentReceived { documentOf(1, { desk, account("gate", { "k3" }) }), true });
        for (int i = 0; i < 15; ++i)
            receiveTotals();
        replica("r1").replica("d1", UpstreamKind::Decode).replica("p1", UpstreamKind::Prefill);
    }
    void receiveTotals()
    {
        post(RegistryHeartbeatReceived { controller, { {}, 1 } });
        wait(1s);
        post(QuotaTotalsReceived { controller, { {}, true } });
    }
    static constexpr PeerId controller { 50 };
};

} // namespace

TEST_CASE("an account beyond its quota is refused before any replica is called, and told when to retry")
{
    LimitedSite site;
    site.receiveTotals();
    for (int i = 0; i < 2; ++i) {
        site.submit("/stream/x", 14s, {}, "k1");
        CHECK(site.effects<Refuse>().empty());
    }
    site.submit("/stream/x", 14s, {}, "k1");
    auto error = site.only<Refuse>().error;
    CHECK(error.code == ResultCode::AccountRateLimit);
    CHECK(httpStatusOf(error.code) == 429);
    REQUIRE(error.retryAfter);
    CHECK(*error.retryAfter > 1s);
    CHECK(site.effects<ReserveAtReplica>().empty());
    CHECK(site.effects<Send>().empty());
    // Another account is not affected.
    site.submit("/once/x", 600ms, {}, "k3");
    CHECK(site.effects<Send>().size() == 1);
}

namespace {

/// Engines with a capacity of 1.5 times the normal load, and sixteen accounts with quotas of 1.8 times what they normally send.
class LoadedSite : public Bench {
public:
    LoadedSite()
        : Bench({ "zone-1", 1, { 0.2, 60, 10s }, "gateway-1", { 8s, 0, 0 } })
    {
        std::vector<AccountRule> accounts;
        for (int i = 0; i < accountCount; ++i) {
            accounts.push_back(account("account-" + std::to_string(i), { "key-" + std::to_string(i) }));
            accounts.back().quota = { QuotaRule::Unit::Tokens, 1.8 * tokens, 2 * tokens, tokens };
        }
        post(DocumentReceived { documentOf(1, accounts), true });
        simulate(5s, {});
        served.assign(accountCount, 0);
    }

    /// \param perSecond requests per second of the first account; each of the others sends one. Without a value none sends any.
    void simulate(Duration time, std::optional<int> perSecond)
    {
        for (auto end = now + time; now < end; ++m_step) {
            for (int i = 0; perSecond && i < accountCount; ++i) {
                auto rate = i ? 1 : *perSecond;
                if ((m_step + 6 * i) * rate % stepsPerSecond < rate)
                    sendRequest(i);
            }
            if (m_step % stepsPerSecond == 0)
                receiveTotals();
            wait(Duration(1s) / stepsPerSecond);
            respond();
            while (!m_due.empty() && m_due.begin()->first <= now) {
                auto event = m_due.extract(m_due.begin()).mapped();
                post(event);
                respond();
            }
        }
    }
    std::vector<int> served; ///< By account.
    int refused = 0; ///< Requests of other accounts than the first.

private:
    static constexpr int accountCount = 16;
    static constexpr int stepsPerSecond = 100;
    static constexpr double tokens = 5800;

    void sendRequest(int account)
    {
        auto id = submit("/stream/x", 14s, {}, "key-" + std::to_string(account));
        m_askedBy[id] = account;
        respond();
    }

    void receiveTotals()
    {
        post(RegistryHeartbeatReceived { PeerId(50), { {}, 1 } });
        respond();
        post(QuotaTotalsReceived { PeerId(50), { {}, true } });
        respond();
        announce("p1", UpstreamKind::Prefill);
        for (const auto* id : { "d1", "d2", "d3" })
            announce(id, UpstreamKind::Decode);
    }

    void announce(const std::string& id, UpstreamKind kind)
    {
        replica(id, kind, ++m_announced);
        respond();
    }

    /// Simulates the engines' responses to the latest effects: a prefill takes 20 ms, a complete response one second.
    void respond()
    {
        for (const auto& take : effects<ReserveAtReplica>())
            m_due.emplace(now, ReservationGranted { take.id, take.attempt, "place-" + std::to_string(++m_places) });
        for (const auto& send : effects<Send>()) {
            if (send.isPrefill) {
                m_due.emplace(now + 20ms, PrefillFinished { send.id, send.attempt, "kv" });
                continue;
            }
            AnswerMetadata facts;
            facts.status = 200;
            facts.isStream = true;
            m_due.emplace(now + 1s, AnswerHead { send.id, send.attempt, facts, {} });
            m_due.emplace(now + 1s, AnswerBody { send.id, send.attempt, "id: 1\ndata: a\n\n" });
            m_due.emplace(now + 1s, AnswerEnd { send.id, send.attempt });
            ++served[m_askedBy.at(send.id)];
        }
        for (const auto& refuse : effects<Refuse>())
            refused += m_askedBy.at(refuse.id) != 0;
    }

    std::multimap<Instant, Event> m_due;
    std::map<RequestId, int> m_askedBy;
    int m_step = 0;
    int m_places = 0;
    std::uint64_t m_announced = 0;
};

} // namespace

TEST_CASE("an account that sends six times its normal load is served its quota, and the others as under normal load")
{
    LoadedSite baseline;
    baseline.simulate(20s, 1);
    LoadedSite overloaded;
    overloaded.simulate(20s, 6);
    CHECK(baseline.refused == 0);
    CHECK(overloaded.refused == 0);
    for (std::size_t i = 1; i < overloaded.served.size(); ++i) {
        CHECK(baseline.served[i] >= 19);
        CHECK(overloaded.served[i] >= baseline.served[i]);
    }
    CHECK(overloaded.served[0] >= 1.8 * 20 * 0.95);
    CHECK(overloaded.served[0] <= 1.8 * 20 + 2 + 1);
}

TEST_CASE("a request that is refused for lack of capacity is not charged to its account, and one that may have run is")
{
    LimitedSite site;
    site.receiveTotals();
    auto remaining = [&site] { return site.logic().quotas().accounts().at("desk").remaining(site.now); };
    auto before = remaining();
    auto take = (site.submit("/stream/x", 14s, {}, "k1"), site.only<ReserveAtReplica>());
    CHECK(remaining() == doctest::Approx(before - 5800));
    site.post(ReservationRefused { take.id, take.attempt, true });
    site.post(CallerDisconnected { take.id });
    CHECK(remaining() == doctest::Approx(before));
    site.submit("/once/x", 600ms, {}, "k1");
    auto send = site.only<Send>();
    site.post(CallFailed { send.id, send.attempt, true, "reset" });
    CHECK(site.only<Refuse>().error.code == ResultCode::UpstreamFailed);
    CHECK(remaining() == doctest::Approx(before - 200));
}

TEST_CASE("usage is reported to all controllers, with the account's hash and limit")
{
    LimitedSite site;
    site.receiveTotals();
    site.submit("/stream/x", 14s, {}, "k1");
    site.wait(AccountQuotas::promptReportDelay);
    auto report = site.only<ReportQuotaUsage>().report;
    CHECK((report.totalsSource == LimitedSite::controller));
    REQUIRE(report.uses.size() == 1);
    CHECK((report.uses[0].account == accountId("desk")));
    CHECK(report.uses[0].amount == doctest::Approx(5800));
    CHECK(report.uses[0].perSecond == 1000);
}
