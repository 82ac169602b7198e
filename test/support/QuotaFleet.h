/** \file
 * A simulation of gateways and controllers that enforce one limit together, on virtual time, with failures to inject.
 */
#pragma once

#include "request/fleet/AccountQuotas.h"
#include "request/fleet/QuotaAggregator.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <random>

namespace wrenhinge::quotas {

inline constexpr Instant start { std::chrono::seconds(1000) };
inline constexpr QuotaSettings tolerance { 8s, 0.1, 190'000 };
inline const QuotaRule rule { QuotaRule::Unit::Tokens, 47'000, 47'000, 200 };

/// What is limited.
struct Limit {
    QuotaRule rule;
    QuotaSettings tolerance;
    double amount = 0; ///< Of each request.
};
inline const Limit accountLimit { rule, tolerance, 3300 };

/// A limit as a replica states it: requests per second.
inline Limit replicaLimit(double perSecond)
{
    QuotaSettings settings { 4s, 0.5, 5, 400ms };
    return { { QuotaRule::Unit::Requests, perSecond, 2 * perSecond * toSeconds(settings.smoothing), 0 }, settings, 1 };
}

/// Simulates gateways and controllers with one limit, in time steps.
class Fleet {
public:
    explicit Fleet(int gateways, int controllers = 3, Limit limit = accountLimit)
        : m_limit(std::move(limit))
        , m_controllers(controllers)
        , m_isUnreachable(controllers)
    {
        for (int i = 0; i < gateways; ++i) {
            m_gateways.emplace_back();
            startGateway(m_gateways.back(), i);
        }
    }

    static constexpr Duration step = 10ms;
    Instant now = start;

    /// Sends one request to a gateway. \returns whether it was admitted; true without a request if the gateway is frozen.
    bool request(std::size_t gateway) { return request(gateway, m_limit.amount); }
    bool request(std::size_t gateway, double amount)
    {
        auto& one = m_gateways[gateway];
        if (one.isFrozen)
            return true;
        if (m_limit.tolerance.smoothing > Duration::zero())
            m_lastVerdict = { one.quotas->tryAdmit("desk", amount, now), {} };
        else
            m_lastVerdict = one.quotas->admit("desk", amount, now);
        if (m_lastVerdict.isAdmitted)
            m_runs.emplace_back(now, amount);
        else
            ++refused;
        return m_lastVerdict.isAdmitted;
    }

    void advance(Duration time)
    {
        for (auto end = now + time; now < end; now += step)
            exchange();
    }

    /// Sends requests at a rate of `perSecond`, in the unit of the limit, to the gateways that `pick` chooses.
    void load(double perSecond, Duration time, const std::function<std::size_t(std::mt19937&)>& pick)
    {
        for (auto end = now + time; now < end; now += step) {
            m_dueAmount += perSecond * toSeconds(step);
            for (; m_dueAmount >= m_limit.amount; m_dueAmount -= m_limit.amount)
                request(pick(m_random));
            exchange();
        }
    }
    void load(double perSecond, Duration time)
    {
        auto n = m_gateways.size();
        load(perSecond, time, [n](std::mt19937& random) { return random() % n; });
    }

    /// Partitions the network: gateways from `first` on reach only the controllers from `firstController` on, and the other gateways only
    /// the controllers before.
    void partition(std::size_t first, std::size_t firstController)
    {
        for (std::size_t c = 0; c < m_controllers.size(); ++c) {
            m_isUnreachable[c].clear();
            for (std::size_t g = 0; g < m_gateways.size(); ++g)
                m_isUnreachable[c].push_back((g >= first) != (c >= firstController));
        }
    }
    void heal() { m_isUnreachable.assign(m_controllers.size(), {}); }
    void freeze(std::size_t gateway, bool isFrozen) { m_gateways[gateway].isFrozen = isFrozen; }
    void restartGateway(std::size_t gateway)
    {
        for (auto& controller : m_controllers)
            controller.disconnected(m_gateways[gateway].id, now);
        startGateway(m_gateways[gateway], static_cast<int>(gateway));
    }
    void restartController(std::size_t c)
    {
        m_controllers[c] = {};
        for (auto& gateway : m_gateways) {
            gateway.quotas->disconnected(PeerId(500 + c));
            gateway.connected[c] = false;
        }
    }
    void setRule(const QuotaRule& changed)
    {
        for (auto& gateway : m_gateways)
            gateway.quotas->setRules({ { "desk", changed } }, now);
        m_limit.rule = changed;
    }

    /// The largest amount that was admitted in any window.
    [[nodiscard]] double maxInWindow() const
    {
        double sum = 0;
        double maximum = 0;
        auto from = m_runs.begin();
        for (const auto& [at, amount] : m_runs) {
            sum += amount;
            for (; at - from->first > m_limit.tolerance.window; ++from)
                sum -= from->second;
            maximum = std::max(maximum, sum);
        }
        return maximum;
    }
    [[nodiscard]] double bound() const
    {
        const auto& [quota, settings, amount] = m_limit;
        // A replica states no burst; what its bucket holds is this project's choice.
        auto burst = settings.smoothing > Duration::zero() ? 0 : quota.burst;
        return (quota.perSecond * toSeconds(settings.window) + burst) * (1 + settings.excess) + settings.slack;
    }
    [[nodiscard]] double admittedSince(Instant from) const
    {
        double sum = 0;
        for (const auto& [at, amount] : m_runs)
            sum += at >= from ? amount : 0;
        return sum;
    }
    void forgetRuns() { m_runs.clear(); }
    [[nodiscard]] const AccountQuota::Verdict& lastVerdict() const { return m_lastVerdict; }
    std::size_t messages = 0;
    std::size_t refused = 0;

private:
    struct Gateway {
        PeerId id;
        std::unique_ptr<AccountQuotas> quotas;
        std::vector<bool> connected;
        bool isFrozen = false;
    };

    void startGateway(Gateway& gateway, int i)
    {
        gateway.id = PeerId(++m_lastId);
        gateway.quotas = std::make_unique<AccountQuotas>(m_limit.tolerance, "gateway-" + std::to_string(i), m_lastId);
        gateway.quotas->setRules({ { "desk", m_limit.rule } }, now);
        gateway.connected.assign(m_controllers.size(), false);
    }

    [[nodiscard]] bool reaches(std::size_t g, std::size_t c) const { return m_isUnreachable[c].empty() || !m_isUnreachable[c][g]; }

    /// Simulates one step: connections are made, reports and totals are delivered, and heartbeats once a second.
    void exchange()
    {
        for (std::size_t g = 0; g < m_gateways.size(); ++g) {
            auto& gateway = m_gateways[g];
            for (std::size_t c = 0; c < m_controllers.size(); ++c) {
                if (!gateway.connected[c] && reaches(g, c)) {
                    m_controllers[c].connected(gateway.id, "gateway-" + std::to_string(g));
                    gateway.connected[c] = true;
                    deliverHeartbeat(gateway, c);
                }
                bool isHeartbeat = (now - start) % 1s == Duration::zero();
                if (isHeartbeat && reaches(g, c))
                    deliverHeartbeat(gateway, c);
            }
            if (gateway.isFrozen)
                continue;
            if (auto report = gateway.quotas->report(now))
                deliverReport(g, *report);
        }
        if ((now - start) % quota::broadcastInterval != Duration::zero())
            return;
        for (std::size_t c = 0; c < m_controllers.size(); ++c) {
            for (const auto& [peer, totals] : m_controllers[c].totalsToSend(now))
                deliverTotals(c, peer, totals);
        }
    }

    void deliverHeartbeat(Gateway& gateway, std::size_t c)
    {
        if (gateway.isFrozen)
            return;
        gateway.quotas->setGateways(static_cast<std::uint32_t>(m_gateways.size()));
        gateway.quotas->noteContact(PeerId(500 + c), now);
    }

    void deliverReport(std::size_t g, const AccountQuotas::Report& report)
    {
        for (std::size_t c = 0; c < m_controllers.size(); ++c) {
            if (!reaches(g, c))
                continue;
            ++messages;
            m_controllers[c].take(
                m_gateways[g].id, { report.uses, report.totalsSource == PeerId(500 + c), report.asksForAll, report.knownGateways }, now);
        }
    }

    void deliverTotals(std::size_t c, PeerId peer, const QuotaTotals& totals)
    {
        for (std::size_t g = 0; g < m_gateways.size(); ++g) {
            auto& gateway = m_gateways[g];
            if (gateway.id != peer || !reaches(g, c) || gateway.isFrozen)
                continue;
            ++messages;
            gateway.quotas->take(PeerId(500 + c), totals, now);
        }
    }

    Limit m_limit;
    std::deque<Gateway> m_gateways;
    std::vector<QuotaAggregator> m_controllers;
    std::vector<std::vector<bool>> m_isUnreachable; ///< By controller and gateway; empty if the controller is not partitioned.
    std::vector<std::pair<Instant, double>> m_runs;
    AccountQuota::Verdict m_lastVerdict;
    std::uint64_t m_lastId = 0;
    std::mt19937 m_random { 7 };
    double m_dueAmount = 0;
};

} // namespace wrenhinge::quotas
