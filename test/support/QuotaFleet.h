/** \file
 * A simulation of gateways and controllers that enforce one limit together, on virtual time, with failures to inject.
 */
#pragma once

#include "LimitSharing.h"

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
    bool isReplica = false;
};
inline const Limit accountLimit { rule, tolerance, 3300 };

/// A limit as a replica states it: requests per second.
inline Limit replicaLimit(double perSecond) { return { { QuotaRule::Unit::Requests, perSecond, 0, 0 }, { 4s, 0.5, 5 }, 1, true }; }

/// What all gateways together may admit in a window.
inline double bound(const Limit& limit)
{
    const auto& [quota, settings, amount, isReplica] = limit;
    return (quota.perSecond * toSeconds(settings.window) + quota.burst) * (1 + settings.excess) + settings.slack;
}

/// Simulates gateways and controllers with one limit, in time steps.
class Fleet {
public:
    explicit Fleet(int gateways, int controllers = 3, Limit limit = accountLimit)
        : m_limit(std::move(limit))
        , m_sharing(makeSharing(gateways, controllers))
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
        m_lastVerdict = m_sharing->admit(gateway, amount, now);
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
        for (std::size_t c = 0; c < m_isUnreachable.size(); ++c) {
            m_isUnreachable[c].clear();
            for (std::size_t g = 0; g < m_gateways.size(); ++g)
                m_isUnreachable[c].push_back((g >= first) != (c >= firstController));
        }
    }
    void heal() { m_isUnreachable.assign(m_isUnreachable.size(), {}); }
    void freeze(std::size_t gateway, bool isFrozen) { m_gateways[gateway].isFrozen = isFrozen; }
    void restartGateway(std::size_t gateway)
    {
        m_sharing->disconnect(m_gateways[gateway].id, now);
        startGateway(m_gateways[gateway], static_cast<int>(gateway));
    }
    void restartController(std::size_t c)
    {
        m_sharing->startController(c, m_limit.rule, now);
        for (auto& gateway : m_gateways)
            gateway.connected[c] = false;
    }
    void setRule(const QuotaRule& changed)
    {
        m_sharing->setRule(changed, now);
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
    [[nodiscard]] double bound() const { return quotas::bound(m_limit); }
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
        std::vector<bool> connected;
        bool isFrozen = false;
    };

    void startGateway(Gateway& gateway, int i)
    {
        gateway.id = PeerId(++m_lastId);
        m_sharing->startGateway(static_cast<std::size_t>(i), gateway.id, m_limit.rule, now);
        gateway.connected.assign(m_isUnreachable.size(), false);
    }

    [[nodiscard]] std::unique_ptr<LimitSharing> makeSharing(int gateways, int controllers) const
    {
        if (m_limit.isReplica)
            return std::make_unique<PermitSharing>(gateways, controllers, m_limit.rule);
        return std::make_unique<CountSharing>(gateways, controllers, m_limit.tolerance);
    }

    [[nodiscard]] bool reaches(std::size_t g, std::size_t c) const { return m_isUnreachable[c].empty() || !m_isUnreachable[c][g]; }

    /// Simulates one step: connections are made, reports and grants are delivered, and heartbeats once a second.
    void exchange()
    {
        for (std::size_t g = 0; g < m_gateways.size(); ++g) {
            auto& gateway = m_gateways[g];
            for (std::size_t c = 0; c < m_isUnreachable.size(); ++c) {
                if (!gateway.connected[c] && reaches(g, c)) {
                    m_sharing->connect(g, gateway.id, c);
                    gateway.connected[c] = true;
                    deliverHeartbeat(g, c);
                }
                bool isHeartbeat = (now - start) % 1s == Duration::zero();
                if (isHeartbeat && reaches(g, c))
                    deliverHeartbeat(g, c);
            }
            if (!gateway.isFrozen)
                messages += m_sharing->report(
                    g, gateway.id, [this, g](std::size_t c) { return reaches(g, c); }, now);
        }
        if ((now - start) % quota::broadcastInterval != Duration::zero())
            return;
        for (std::size_t c = 0; c < m_isUnreachable.size(); ++c) {
            auto find = [this, c](PeerId peer) { return findReachable(peer, c); };
            messages += m_sharing->broadcast(c, find, now);
        }
    }

    void deliverHeartbeat(std::size_t g, std::size_t c)
    {
        if (!m_gateways[g].isFrozen)
            m_sharing->heartbeat(g, c, m_gateways.size(), now);
    }

    /// The gateway that runs with this id, if it can receive a message of this controller.
    [[nodiscard]] std::optional<std::size_t> findReachable(PeerId peer, std::size_t c) const
    {
        for (std::size_t g = 0; g < m_gateways.size(); ++g) {
            if (m_gateways[g].id == peer && reaches(g, c) && !m_gateways[g].isFrozen)
                return g;
        }
        return std::nullopt;
    }

    Limit m_limit;
    std::deque<Gateway> m_gateways;
    std::unique_ptr<LimitSharing> m_sharing;
    std::vector<std::vector<bool>> m_isUnreachable; ///< By controller and gateway; empty if the controller is not partitioned.
    std::vector<std::pair<Instant, double>> m_runs;
    AccountQuota::Verdict m_lastVerdict;
    std::uint64_t m_lastId = 0;
    std::mt19937 m_random { 7 };
    double m_dueAmount = 0;
};

} // namespace wrenhinge::quotas
