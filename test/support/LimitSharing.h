/** \file
 * The two ways in which gateways and controllers enforce a limit together, for QuotaFleet.h: they count usage together (accounts), or
 * controllers issue permits (replicas).
 */
#pragma once

#include "request/fleet/AccountQuotas.h"
#include "request/fleet/PermitClient.h"
#include "request/fleet/PermitPool.h"
#include "request/fleet/QuotaAggregator.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace wrenhinge::quotas {

/// The gateways and controllers, by index, and the messages between them.
class LimitSharing {
public:
    using Reaches = std::function<bool(std::size_t controller)>;
    using FindGateway = std::function<std::optional<std::size_t>(PeerId)>;

    virtual ~LimitSharing() = default;
    virtual void startGateway(std::size_t g, PeerId, const QuotaRule&, Instant now) = 0;
    virtual void startController(std::size_t c, const QuotaRule&, Instant now) = 0;
    virtual void setRule(const QuotaRule&, Instant now) = 0;
    virtual void connect(std::size_t g, PeerId gateway, std::size_t c) = 0;
    /// Ends the connections of a gateway to all controllers.
    virtual void disconnect(PeerId gateway, Instant now) = 0;
    virtual void heartbeat(std::size_t g, std::size_t c, std::size_t gateways, Instant now) = 0;
    virtual AccountQuota::Verdict admit(std::size_t g, double amount, Instant now) = 0;
    /// Delivers what a gateway sends now. \returns the number of messages.
    virtual std::size_t report(std::size_t g, PeerId gateway, const Reaches&, Instant now) = 0;
    /// Delivers what a controller sends now. \returns the number of messages.
    virtual std::size_t broadcast(std::size_t c, const FindGateway&, Instant now) = 0;

protected:
    static PeerId controllerId(std::size_t c) { return PeerId(500 + c); }
};

class CountSharing : public LimitSharing {
public:
    CountSharing(int gateways, int controllers, QuotaSettings tolerance)
        : m_tolerance(tolerance)
        , m_gateways(gateways)
        , m_controllers(controllers)
    {
    }

    void startGateway(std::size_t g, PeerId, const QuotaRule& rule, Instant now) override
    {
        m_gateways[g] = AccountQuotas(m_tolerance, "gateway-" + std::to_string(g));
        m_gateways[g].setRules({ { "desk", rule } }, now);
    }
    void startController(std::size_t c, const QuotaRule&, Instant) override
    {
        m_controllers[c] = {};
        for (auto& gateway : m_gateways)
            gateway.disconnected(controllerId(c));
    }
    void setRule(const QuotaRule& rule, Instant now) override
    {
        for (auto& gateway : m_gateways)
            gateway.setRules({ { "desk", rule } }, now);
    }
    void connect(std::size_t g, PeerId gateway, std::size_t c) override
    {
        m_controllers[c].connected(gateway, "gateway-" + std::to_string(g));
    }
    void disconnect(PeerId gateway, Instant now) override
    {
        for (auto& controller : m_controllers)
            controller.disconnected(gateway, now);
    }
    void heartbeat(std::size_t g, std::size_t c, std::size_t gateways, Instant now) override
    {
        m_gateways[g].setGateways(static_cast<std::uint32_t>(gateways));
        m_gateways[g].noteContact(controllerId(c), now);
    }
    AccountQuota::Verdict admit(std::size_t g, double amount, Instant now) override { return m_gateways[g].admit("desk", amount, now); }
    std::size_t report(std::size_t g, PeerId gateway, const Reaches& reaches, Instant now) override
    {
        std::size_t messages = 0;
        auto report = m_gateways[g].report(now);
        for (std::size_t c = 0; report && c < m_controllers.size(); ++c) {
            if (!reaches(c))
                continue;
            ++messages;
            bool isSource = report->totalsSource == controllerId(c);
            m_controllers[c].take(gateway, { report->uses, isSource, report->asksForAll, report->knownGateways }, now);
        }
        return messages;
    }
    std::size_t broadcast(std::size_t c, const FindGateway& find, Instant now) override
    {
        std::size_t messages = 0;
        for (const auto& [peer, totals] : m_controllers[c].totalsToSend(now)) {
            if (auto g = find(peer)) {
                ++messages;
                m_gateways[*g].take(controllerId(c), totals, now);
            }
        }
        return messages;
    }

private:
    QuotaSettings m_tolerance;
    std::vector<AccountQuotas> m_gateways;
    std::vector<QuotaAggregator> m_controllers;
};

class PermitSharing : public LimitSharing {
public:
    PermitSharing(int gateways, int controllers, const QuotaRule& rule)
        : m_gateways(gateways, PermitClient(0))
        , m_controllers(controllers)
        , m_limits(limitsOf(rule))
    {
    }

    void startGateway(std::size_t g, PeerId id, const QuotaRule& rule, Instant now) override
    {
        m_gateways[g] = PermitClient(id.value());
        m_gateways[g].setLimits(limitsOf(rule), now);
    }
    void startController(std::size_t c, const QuotaRule& rule, Instant now) override
    {
        m_controllers[c] = {};
        m_controllers[c].setLimits(limitsOf(rule), now);
        for (auto& gateway : m_gateways)
            gateway.disconnected(controllerId(c));
    }
    void setRule(const QuotaRule& rule, Instant now) override
    {
        m_limits = limitsOf(rule);
        for (auto& gateway : m_gateways)
            gateway.setLimits(m_limits, now);
    }
    void connect(std::size_t, PeerId, std::size_t) override { }
    void disconnect(PeerId gateway, Instant) override
    {
        for (auto& controller : m_controllers)
            controller.disconnected(gateway);
    }
    void heartbeat(std::size_t g, std::size_t c, std::size_t gateways, Instant now) override
    {
        m_gateways[g].setGateways(static_cast<std::uint32_t>(gateways), now);
        m_gateways[g].noteContact(controllerId(c), now);
    }
    AccountQuota::Verdict admit(std::size_t g, double, Instant now) override { return { m_gateways[g].tryTake(desk, 0, now), {} }; }
    std::size_t report(std::size_t g, PeerId gateway, const Reaches& reaches, Instant now) override
    {
        auto request = m_gateways[g].request(now);
        if (!request)
            return 0;
        auto c = request->first.value() - controllerId(0).value();
        if (reaches(c))
            m_controllers[c].take(gateway, request->second, now);
        return 1;
    }
    std::size_t broadcast(std::size_t c, const FindGateway& find, Instant now) override
    {
        std::size_t messages = 0;
        m_controllers[c].setLimits(m_limits, now);
        for (const auto& [peer, grant] : m_controllers[c].grants(now)) {
            if (auto g = find(peer)) {
                ++messages;
                m_gateways[*g].take(controllerId(c), grant, now);
            }
        }
        return messages;
    }

private:
    static constexpr LimitId desk { 1 };
    static std::map<LimitId, double> limitsOf(const QuotaRule& rule) { return { { desk, rule.perSecond } }; }

    std::vector<PermitClient> m_gateways;
    std::vector<PermitPool> m_controllers;
    std::map<LimitId, double> m_limits;
};

} // namespace wrenhinge::quotas
