/** \file
 * A simulation of gateways that share one retry budget, on virtual time: all of them retry as often as they may, and the retries that
 * arrive are compared with the limit that holds for all together.
 */
#pragma once

#include "request/fleet/SharedRetryBudget.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace wrenhinge::retries {

/// Gateways, their callers and what fails, in steps of virtual time.
class Fleet {
public:
    static constexpr Duration step = 100ms;
    static constexpr Instant start { std::chrono::seconds(1000) };

    Fleet(std::size_t gateways, RetryBudgetSettings settings, std::uint64_t seed)
        : m_settings(settings)
        , m_random(seed)
    {
        for (std::size_t i = 0; i < gateways; ++i)
            m_gateways.push_back({ SharedRetryBudget(m_settings), 0, 0, {}, {} });
        spread(1);
        reportNumbers();
    }

    [[nodiscard]] std::size_t size() const { return m_gateways.size(); }
    std::mt19937_64& random() { return m_random; }

    /// Requests per second of all callers.
    double load = 100;
    /// Whether the gateways retry as often as they may, or leave their budget for later.
    bool wantsRetries = true;

    /// Spreads the callers over the gateways: evenly for 1, most of them at a few gateways for larger numbers.
    void spread(double unevenness)
    {
        double sum = 0;
        for (auto& gateway : m_gateways)
            sum += gateway.weight = std::pow(uniform(), unevenness - 1);
        for (auto& gateway : m_gateways)
            gateway.weight /= sum;
    }
    /// The process ends, and another one starts in its place.
    void restart(std::size_t i)
    {
        m_gateways[i].budget = SharedRetryBudget(m_settings);
        m_gateways[i].contactAt = m_now + fromSeconds(uniform());
    }
    void restartAll()
    {
        for (std::size_t i = 0; i < size(); ++i)
            restart(i);
    }
    /// The gateway hears of no controller, and none hears of it.
    void cut(std::size_t i, Duration time) { m_gateways[i].contactAt = m_now + time; }
    void freeze(std::size_t i, Duration time) { m_gateways[i].frozenUntil = m_now + time; }

    void run(Duration time)
    {
        for (auto end = m_now + time; m_now < end; m_now += step)
            advance();
    }

    /// The most retries in any window, as a fraction of the allowed ones. The requests of a window are those in it, in the one before
    /// or in the one half a window before, whichever are most.
    [[nodiscard]] double worst() const
    {
        auto window = static_cast<std::size_t>(m_settings.window / step);
        double worst = 0;
        for (std::size_t s = 0; s < m_requests.size(); ++s) {
            auto requests = std::max({ sum(m_requests, s, window), s >= window ? sum(m_requests, s - window, window) : 0,
                s >= window / 2 ? sum(m_requests, s - window / 2, window) : 0 });
            worst = std::max(worst, sum(m_retries, s, window) / (m_settings.ratio * requests + m_settings.slack));
        }
        return worst;
    }

private:
    /// A retry arrives at its replica at most this long after the decision.
    static constexpr std::size_t maxArrivalSteps = 4;

    struct Gateway {
        SharedRetryBudget budget;
        double weight = 0;
        double due = 0; ///< Requests that are due, including a fraction of one.
        Instant contactAt; ///< It is connected to a controller from then on.
        Instant frozenUntil;
    };

    double uniform() { return std::uniform_real_distribution<double>(0.001, 1)(m_random); }

    static double sum(const std::vector<double>& values, std::size_t from, std::size_t n)
    {
        double sum = 0;
        for (auto i = from; i < std::min(from + n, values.size()); ++i)
            sum += values[i];
        return sum;
    }

    void reportNumbers()
    {
        auto connected = std::count_if(m_gateways.begin(), m_gateways.end(), [this](const auto& g) { return g.contactAt <= m_now; });
        m_reported.report(static_cast<std::uint32_t>(connected), m_now);
        for (auto& gateway : m_gateways) {
            if (gateway.contactAt <= m_now && gateway.frozenUntil <= m_now)
                gateway.budget.setGateways(m_reported.value(), m_now);
        }
    }

    void advance()
    {
        m_requests.push_back(0);
        m_retries.resize(m_requests.size() + maxArrivalSteps);
        if ((m_now - start) % 1s == Duration::zero())
            reportNumbers();
        for (auto& gateway : m_gateways) {
            gateway.due += load * gateway.weight * toSeconds(step);
            for (; gateway.due >= 1; gateway.due -= 1) {
                // A request that a frozen process does not read was sent all the same.
                m_requests.back() += 1;
                if (gateway.frozenUntil <= m_now)
                    gateway.budget.countRequest(service, m_now);
            }
            while (wantsRetries && gateway.frozenUntil <= m_now && gateway.budget.take(service, m_now))
                m_retries[m_requests.size() - 1 + std::uniform_int_distribution<std::size_t>(0, maxArrivalSteps)(m_random)] += 1;
        }
    }

    static constexpr auto service = "service";

    RetryBudgetSettings m_settings;
    std::mt19937_64 m_random;
    std::vector<Gateway> m_gateways;
    GatewayCount m_reported { GatewayCount::controllerMemory };
    Instant m_now = start;
    std::vector<double> m_requests; ///< By step.
    std::vector<double> m_retries; ///< By the step in which they arrive.
};

} // namespace wrenhinge::retries
