/** \file
 * The routing document: which requests go to which services, and within which limits.
 *
 * A document with a higher version replaces it as a whole. The log stores the text as its author sent it; each reader decodes
 * it once into this type.
 */
#pragma once

#include "base/ResultCode.h"
#include "base/SecretDigest.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wrenhinge {

/// Whether and how a request may be repeated.
enum class Repeatability : std::uint8_t {
    Idempotent, ///< May run any number of times.
    AtMostOnce, ///< Must not run a second time.
    Resumable, ///< A stream that another replica may continue after its last complete event.
};

/// One service of a route, with its share of the route's requests as a weight.
struct RouteTarget {
    std::string service;
    std::uint32_t weight = 1;
    bool operator==(const RouteTarget&) const = default;
};

struct Route {
    std::string name;
    std::string host; ///< In lower case, without a port.
    std::string prefix; ///< Begins and ends with a slash.
    Repeatability repeatability = Repeatability::AtMostOnce;
    bool isStream = false;
    bool hasPrompt = false; ///< Its requests contain a prompt for an engine.
    Duration timeout {}; ///< The longest time that a caller waits for an answer.
    Duration target {}; ///< The latency target: answers within it count fully.
    std::uint32_t rank = 0; ///< The priority; zero is the most urgent.
    std::uint32_t maxAttempts = 1; ///< The number of replicas that one request may run on.
    bool isPublic = false; ///< Callers need no account.
    std::vector<RouteTarget> targets;
    bool operator==(const Route&) const = default;
};

/// Properties of a service's engines, if it has any.
struct EngineProperties {
    std::uint32_t slots = 0;
    std::uint64_t cacheTokens = 0; ///< The capacity of the KV cache of one replica, in tokens.
    Duration reservationTimeout {}; ///< A decode replica keeps a reservation at most this long; zero: it makes none.
    Duration kvRetention {}; ///< A prefill replica keeps the KV cache of a prompt for this long.
    Duration stageChange {}; ///< A replica that changes between prefill and decode is unavailable for this long.
};

struct ServiceRule {
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< To one replica, from all gateways together.
    bool isEngine = false;
    EngineProperties engine;
};

/// Limits for the size of requests, and for the time to receive them.
struct CallerLimits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4u << 20;
    Duration headerTime = 3s;
    Duration idleTime = 15s;
};

/// The quota of a client account, over all gateways.
struct QuotaRule {
    enum class Unit : std::uint8_t { Requests, Tokens };
    Unit unit = Unit::Requests;
    double perSecond = 0; ///< Zero: no limit.
    double burst = 0; ///< Use allowed at once, in addition to the rate.
    double defaultTokens = 0; ///< The cost of a request that states no tokens, if the unit is tokens.
    bool operator==(const QuotaRule&) const = default;
};

std::string_view nameOf(QuotaRule::Unit);

struct AccountRule {
    std::string name;
    std::vector<SecretDigest> keys; ///< Digests of the API keys of the account.
    std::optional<std::uint32_t> rank; ///< Overrides the route's rank.
    QuotaRule quota;
};

struct RoutingDocument {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceRule> services;
    CallerLimits limits;
    /// No value: callers need no account. An empty list, in contrast, refuses all requests except those on public routes.
    std::optional<std::vector<AccountRule>> accounts;
};

/// Checks what the types don't ensure: that services exist, that each host and prefix has one route, weights, timeouts, and that each
/// key belongs to one account.
Result<void> validate(const RoutingDocument&);

/// The document in force, indexed: finding a route costs one hash lookup for each slash of the path, and finding an account costs one,
/// independent of the number of routes and accounts.
class RouteTable {
public:
    RouteTable() = default;
    explicit RouteTable(RoutingDocument);

    /// The route with the longest prefix of `path` under `host`, or nullptr. \param path without the query.
    [[nodiscard]] const Route* find(std::string_view host, std::string_view path) const;
    [[nodiscard]] const ServiceRule* service(const std::string& name) const;
    /// Whether callers need an API key, except on public routes.
    [[nodiscard]] bool hasAccounts() const { return m_document.accounts.has_value(); }
    /// The account that the key belongs to, or nullptr.
    [[nodiscard]] const AccountRule* account(const SecretDigest& key) const;
    [[nodiscard]] const RoutingDocument& document() const { return m_document; }
    [[nodiscard]] std::uint64_t version() const { return m_document.version; }

private:
    RoutingDocument m_document;
    std::unordered_map<std::string, std::size_t> m_routes; ///< By host and prefix, concatenated.
    std::vector<std::size_t> m_keyLengths; ///< Of these keys; each length once, longest first.
    std::unordered_map<std::string, std::size_t> m_services;
    std::unordered_map<SecretDigest, std::size_t> m_keys;
};

/// The host of a request in the form that routes use: lower case, without a port.
std::string normalisedHost(std::string_view);

} // namespace wrenhinge
