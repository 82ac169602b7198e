#include "QuotaBench.h"

#include "message/Codec.h"
#include "request/fleet/AccountQuotas.h"
#include "request/fleet/QuotaAggregator.h"

#include <chrono>
#include <cstdio>
#include <deque>
#include <random>

namespace wrenhinge {

namespace {

    constexpr Duration step = 10ms;
    constexpr Duration played = 2s;
    constexpr double requestsPerSecond = 10; ///< At each gateway.
    constexpr double tokens = 3300;
    constexpr PeerId controller { 1 };

    double microsSince(std::chrono::steady_clock::time_point from)
    {
        return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - from).count();
    }

    /// All gateways and one of their controllers. Each account uses about half of its limit.
    class Site {
    public:
        Site(std::size_t gateways, std::size_t accounts)
        {
            auto perSecond = 1.8 * tokens * requestsPerSecond * static_cast<double>(gateways) / static_cast<double>(accounts);
            for (std::size_t i = 0; i < accounts; ++i)
                m_rules["account-" + std::to_string(i)] = { QuotaRule::Unit::Tokens, perSecond, std::max(perSecond, 2 * tokens), tokens };
            for (std::size_t i = 0; i < gateways; ++i) {
                auto name = "gateway-" + std::to_string(i);
                m_gateways.emplace_back(QuotaSettings { 8s, 0.1, 190'000 }, name);
                m_gateways.back().setRules(m_rules, m_now);
                m_exchange.connected(PeerId(100 + i), name);
            }
        }

        void play()
        {
            for (auto end = m_now + played; m_now < end; m_now += step) {
                for (std::size_t i = 0; i < m_gateways.size(); ++i)
                    playGateway(i);
                if (m_now.time_since_epoch() % quota::broadcastInterval == Duration::zero())
                    tell();
            }
        }

        void print() const
        {
            auto seconds = toSeconds(played);
            auto gateways = static_cast<double>(m_gateways.size());
            std::printf("%9zu %9zu %10.2f %14.3f %14.1f %12.2f %12.2f\n", m_gateways.size(), m_rules.size(), m_admitMicros / m_admits,
                m_reportMicros / seconds / gateways / 1e4, m_exchangeMicros / seconds / 1e4, m_reported / seconds / gateways / 1e3,
                m_told / seconds / gateways / 1e3);
        }

    private:
        void playGateway(std::size_t i)
        {
            auto& gateway = m_gateways[i];
            if (m_now.time_since_epoch() % 1s == Duration::zero()) {
                gateway.setGateways(static_cast<std::uint32_t>(m_gateways.size()));
                gateway.noteContact(controller, m_now);
            }
            if (std::uniform_real_distribution<>()(m_random) < requestsPerSecond * toSeconds(step))
                admit(gateway);
            auto from = std::chrono::steady_clock::now();
            auto report = gateway.report(m_now);
            m_reportMicros += microsSince(from);
            if (!report)
                return;
            QuotaReport message { report->uses, report->totalsSource == controller, report->asksForAll, report->knownGateways };
            m_reported += static_cast<double>(encode(message).size());
            from = std::chrono::steady_clock::now();
            m_exchange.take(PeerId(100 + i), message, m_now);
            m_exchangeMicros += microsSince(from);
        }

        void admit(AccountQuotas& gateway)
        {
            auto name = "account-" + std::to_string(m_random() % m_rules.size());
            auto from = std::chrono::steady_clock::now();
            gateway.admit(name, tokens, m_now);
            m_admitMicros += microsSince(from);
            ++m_admits;
        }

        void tell()
        {
            auto from = std::chrono::steady_clock::now();
            auto all = m_exchange.totalsToSend(m_now);
            m_exchangeMicros += microsSince(from);
            for (const auto& [peer, totals] : all) {
                m_told += static_cast<double>(encode(totals).size());
                m_gateways[peer.value() - 100].take(controller, totals, m_now);
            }
        }

        Instant m_now { std::chrono::seconds(1000) };
        std::map<std::string, QuotaRule> m_rules;
        std::deque<AccountQuotas> m_gateways;
        QuotaAggregator m_exchange;
        std::mt19937 m_random { 1 };
        double m_admits = 0;
        double m_admitMicros = 0;
        double m_reportMicros = 0;
        double m_exchangeMicros = 0;
        double m_reported = 0; ///< Bytes.
        double m_told = 0; ///< Bytes.
    };

} // namespace

void printQuotaHeads()
{
    std::printf("\n%9s %9s %10s %14s %14s %12s %12s\n", "gateways", "accounts", "admit us", "% of gateway", "% of control", "KB/s reports",
        "KB/s totals");
}

void measureQuotas(std::size_t gateways, std::size_t accounts)
{
    Site site(gateways, accounts);
    site.play();
    site.print();
}

} // namespace wrenhinge
