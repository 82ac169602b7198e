/** \file
 * Permits for replicas that state a request rate limit: what gateways and controllers create and issue together, whatever happens to them
 * and to their messages.
 */
#include "QuotaFleet.h"
#include "request/fleet/PermitTerms.h"

#include <array>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace wrenhinge;
using namespace wrenhinge::quotas;

namespace {

constexpr LimitId limit { 1 };
constexpr PeerId controller { 500 };

std::uint32_t issuedTo(const std::vector<std::pair<PeerId, PermitGrant>>& grants, PeerId gateway)
{
    std::uint32_t count = 0;
    for (const auto& [peer, grant] : grants) {
        for (const auto& permits : grant.permits)
            count += peer == gateway ? permits.count : 0;
    }
    return count;
}

/// Gateways and controllers whose messages take any time, or are lost, and which stand still at times.
class DelayedFleet {
public:
    DelayedFleet(std::uint32_t seed, double perSecond)
        : m_random(seed)
        , m_pools(draw(1, 3))
    {
        auto gateways = draw(2, 9);
        for (std::size_t g = 0; g < gateways; ++g)
            m_gateways.emplace_back(seed + g);
        for (auto& pool : m_pools)
            pool.setLimits({ { limit, perSecond } }, m_now);
        m_links.resize(gateways * m_pools.size());
        for (auto& gateway : m_gateways) {
            gateway.client.setGateways(static_cast<std::uint32_t>(gateways), m_now);
            gateway.client.setLimits({ { limit, perSecond } }, m_now);
        }
    }

    void run(Duration time)
    {
        for (auto end = m_now + time; m_now < end; m_now += 20ms) {
            if (draw(0, 40) == 0)
                disturb();
            for (std::size_t g = 0; g < m_gateways.size(); ++g)
                stepGateway(g);
            for (std::size_t c = 0; c < m_pools.size(); ++c)
                stepPool(c);
        }
    }

    [[nodiscard]] std::size_t maxInWindow() const
    {
        std::size_t maximum = 0;
        std::size_t from = 0;
        for (std::size_t i = 0; i < m_calls.size(); ++i) {
            for (; m_calls[i] - m_calls[from] > 4s; ++from) { }
            maximum = std::max(maximum, i - from + 1);
        }
        return maximum;
    }
    [[nodiscard]] std::size_t calls() const { return m_calls.size(); }

private:
    struct Gateway {
        explicit Gateway(std::uint64_t seed)
            : client(seed)
        {
        }
        PermitClient client;
        Instant frozenUntil;
    };
    /// One gateway's messages to and from one controller, each in the order in which they were sent.
    struct Link {
        Duration delay = 10ms;
        std::deque<std::pair<Instant, PermitRequest>> requests;
        std::deque<std::pair<Instant, PermitGrant>> grants;
    };

    std::size_t draw(std::size_t from, std::size_t to) { return from + m_random() % (to - from); }
    Link& link(std::size_t g, std::size_t c) { return m_links[g * m_pools.size() + c]; }
    static PeerId idOf(std::size_t c) { return PeerId(500 + c); }

    void disturb()
    {
        auto g = draw(0, m_gateways.size());
        auto c = draw(0, m_pools.size());
        switch (draw(0, 5)) {
        case 0:
            m_gateways[g].frozenUntil = m_now + draw(1, 40) * 100ms;
            break;
        case 1:
            m_poolsFrozenUntil[c] = m_now + draw(1, 40) * 100ms;
            break;
        case 2:
            link(g, c).delay = draw(0, 50) * 100ms;
            break;
        case 3:
            for (auto& each : m_links)
                each.delay = 10ms;
            break;
        default:
            link(g, c) = {};
            m_gateways[g].client.disconnected(idOf(c));
            m_pools[c].disconnected(PeerId(g + 1));
        }
    }

    void stepGateway(std::size_t g)
    {
        auto& gateway = m_gateways[g];
        if (gateway.frozenUntil > m_now)
            return;
        for (std::size_t c = 0; c < m_pools.size(); ++c) {
            auto& grants = link(g, c).grants;
            for (; !grants.empty() && grants.front().first <= m_now; grants.pop_front())
                gateway.client.take(idOf(c), grants.front().second, m_now);
            if (m_now.time_since_epoch() % 1s < 20ms && link(g, c).delay < 1s)
                gateway.client.noteContact(idOf(c), m_now);
        }
        auto attempts = draw(0, 4);
        for (std::size_t i = 0; i < attempts; ++i) {
            if (gateway.client.tryTake(limit, 0, m_now))
                m_calls.push_back(m_now);
        }
        if (auto request = gateway.client.request(m_now)) {
            auto& to = link(g, request->first.value() - idOf(0).value());
            to.requests.emplace_back(m_now + to.delay, std::move(request->second));
        }
    }

    void stepPool(std::size_t c)
    {
        if (m_poolsFrozenUntil[c] > m_now)
            return;
        for (std::size_t g = 0; g < m_gateways.size(); ++g) {
            auto& requests = link(g, c).requests;
            for (; !requests.empty() && requests.front().first <= m_now; requests.pop_front())
                m_pools[c].take(PeerId(g + 1), requests.front().second, m_now);
        }
        if (m_now.time_since_epoch() % permits::grantInterval >= 20ms)
            return;
        for (auto& [peer, grant] : m_pools[c].grants(m_now)) {
            auto& to = link(peer.value() - 1, c);
            to.grants.emplace_back(m_now + to.delay, std::move(grant));
        }
    }

    std::mt19937 m_random;
    Instant m_now = start;
    std::vector<PermitPool> m_pools;
    std::array<Instant, 3> m_poolsFrozenUntil {};
    std::deque<Gateway> m_gateways;
    std::vector<Link> m_links;
    std::vector<Instant> m_calls;
};

} // namespace

TEST_CASE("gateways that all get calls at once after a pause send a replica no more than its limit allows")
{
    struct Case {
        int gateways;
        double perSecond;
        double demand; ///< As a multiple of the limit.
    };
    for (auto [gateways, perSecond, demand] :
        { Case { 33, 16, 100 }, { 9, 4, 100 }, { 300, 1000, 20 }, { 9, 1.5, 100 }, { 300, 0.25, 1000 } }) {
        for (bool restart : { false, true }) {
            CAPTURE(gateways);
            CAPTURE(restart);
            Fleet fleet(gateways, 3, replicaLimit(perSecond));
            fleet.advance(3s);
            fleet.load(2 * perSecond, 3s);
            fleet.advance(3s);
            for (std::size_t c = 0; restart && c < 3; ++c)
                fleet.restartController(c);
            fleet.load(demand * perSecond, 6s);
            CHECK(fleet.maxInWindow() <= fleet.bound());
        }
    }
}

TEST_CASE("both sides of a network partition send a replica no more than its limit from the first moment on")
{
    Fleet fleet(2, 4, replicaLimit(16));
    fleet.advance(3s);
    fleet.load(16 * 6, 5s);
    for (std::size_t first : { 0, 1, 0, 1 }) {
        fleet.partition(first, first ? 2 : 0);
        fleet.load(16 * 6, 900ms);
    }
    fleet.load(16 * 6, 5s);
    CHECK(fleet.maxInWindow() <= fleet.bound());
}

TEST_CASE("whatever happens to processes and messages, no window has more calls than a replica's limit allows")
{
    CHECK(rc::check("messages that are late or lost, and processes that stand still", [] {
        auto seed = *rc::gen::arbitrary<std::uint32_t>();
        auto perSecond = *rc::gen::element(0.25, 1.5, 4.0, 16.0);
        DelayedFleet fleet(seed, perSecond);
        fleet.run(40s);
        RC_ASSERT(static_cast<double>(fleet.maxInWindow()) <= 6 * perSecond + 5);
        RC_ASSERT(perSecond < 4 || fleet.calls() > 0);
    }));
}

TEST_CASE("a loan counts from the grant that the gateway had received, not from the arrival of the request")
{
    PermitPool pool;
    PeerId gateway { 1 };
    pool.setLimits({ { limit, 10 } }, start);
    pool.take(gateway, { 1, 0, 0, {} }, start);
    auto grants = pool.grants(start);
    REQUIRE(grants.size() == 1);
    PermitRequest late { 2, grants.front().second.sentAt, 1, { { limit, 0, 0, 100, 0 } } };
    auto arrival = start + permits::lendTerm - 500ms;
    pool.take(gateway, late, arrival);
    std::uint32_t issued = 0;
    for (auto at = arrival; at < arrival + 3s; at += permits::grantInterval)
        issued += issuedTo(pool.grants(at), gateway);
    CHECK(issued >= 3);
    CHECK(issued <= 5);
}

TEST_CASE("a gateway that changes its controller lends it nothing while the loan to the former one may last")
{
    constexpr PeerId next { 501 };
    PermitClient client(1);
    client.setGateways(1, start);
    client.setLimits({ { limit, 1 } }, start);
    auto now = start + permits::lendTerm;
    client.noteContact(controller, now);
    client.take(controller, { 1, client.request(now)->second.sentAt, {} }, now);
    now += PermitClient::requestInterval;
    CHECK(client.request(now)->second.lentShare == 1);
    auto lentUntil = now + permits::lendTerm;
    client.disconnected(controller);
    for (now += PermitClient::requestInterval; now < lentUntil + 1s; now += PermitClient::requestInterval) {
        client.noteContact(next, now);
        auto request = client.request(now);
        REQUIRE(request);
        CHECK((request->first == next));
        CHECK((request->second.lentShare > 0) == (now >= lentUntil));
        client.take(next, { 1, request->second.sentAt, {} }, now);
    }
}

TEST_CASE("a permit in a grant that was on its way for too long is void")
{
    PermitClient client(1);
    client.setGateways(1, start);
    client.setLimits({ { limit, 1 } }, start);
    client.noteContact(controller, start);
    auto request = client.request(start);
    REQUIRE(request);
    PermitGrant grant { 1, request->second.sentAt, { { limit, 3 } } };
    client.take(controller, grant, start + permits::lifetime);
    CHECK_FALSE(client.tryTake(limit, 0, start + permits::lifetime));
    client.take(controller, grant, start + permits::lifetime - 1ms);
    CHECK(client.tryTake(limit, 0, start + permits::lifetime - 1ms));
}

TEST_CASE("a gateway that has just started creates no permits while its former run's loan may last")
{
    PermitClient client(1);
    client.setGateways(1, start);
    client.setLimits({ { limit, 1000 } }, start);
    CHECK_FALSE(client.tryTake(limit, 0, start + permits::lendTerm));
    CHECK(client.tryTake(limit, 0, start + permits::lendTerm + 10ms));
}

TEST_CASE("a controller issues permits to the gateways with the most urgent calls first, and in turn among equals")
{
    PermitPool pool;
    pool.setLimits({ { limit, 2 } }, start);
    std::map<std::uint64_t, std::uint32_t> issued;
    auto now = start;
    std::int64_t lastGrant = 0;
    for (int i = 0; i < 80; ++i, now += permits::grantInterval) {
        for (auto [gateway, rank] : { std::pair(1, 5u), { 2, 1u }, { 3, 1u } })
            pool.take(PeerId(gateway), { 1, lastGrant, 1.0 / 3, { { limit, 0, 0, 4, rank } } }, now);
        for (const auto& [peer, grant] : pool.grants(now)) {
            lastGrant = grant.sentAt;
            for (const auto& permits : grant.permits)
                issued[peer.value()] += permits.count;
        }
    }
    CHECK(issued[1] == 0);
    CHECK(issued[2] >= 7);
    CHECK(issued[2] - issued[3] + 1 <= 2);
}

TEST_CASE("gateways request nothing more once no limit is in force")
{
    PermitClient client(1);
    client.setLimits({ { limit, 1 } }, start);
    CHECK(client.nextRequest() == start);
    client.setLimits({}, start + 1s);
    CHECK(client.nextRequest() == Instant::max());
}
