/** \file
 * A whole routing configuration: which requests go to which services, and within which bounds.
 *
 * It is replaced as a whole by a document with a higher version. The log keeps the text as its author sent it; whoever
 * needs the content decodes it once into this type.
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

/// What may be done to a request a second time.
enum class Repeatability : std::uint8_t {
    Idempotent, ///< May run any number of times.
    AtMostOnce, ///< A second run is a fault.
    Resumable, ///< A stream that another replica may continue after its last whole event.
};

/// One service of a route, with its share of the route's requests.
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
    bool hasPrompt = false; ///< Its requests carry a prompt to an engine.
    Duration timeout {}; ///< The longest that a caller is kept waiting.
    Duration target {}; ///< Answers within it count in full.
    std::uint32_t rank = 0; ///< Zero is the most urgent.
    std::uint32_t maxAttempts = 1; ///< Replicas that one request may run on.
    bool isPublic = false; ///< Its callers need no account.
    std::vector<RouteTarget> targets;
    bool operator==(const Route&) const = default;
};

/// What is known of a service's engines, where it has any.
struct EngineProperties {
    std::uint32_t slots = 0;
    std::uint64_t cacheTokens = 0; ///< Tokens that the KV memory of one replica holds.
    Duration reservationTimeout {}; ///< The longest that a decode replica sets a place aside; zero: it doesn't.
    Duration kvRetention {}; ///< A prefill replica keeps a prompt's KV cache for this long.
    Duration stageChange {}; ///< A replica that changes its stage is away for this long.
};

struct ServiceRule {
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< To one replica, from all gateways together.
    bool isEngine = false;
    EngineProperties engine;
};

/// What callers may send, and how slowly.
struct CallerLimits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4u << 20;
    Duration headerTime = 3s;
    Duration idleTime = 15s;
};

/// What a client account may ask for in sum, at all gateways together.
struct QuotaRule {
    enum class Unit : std::uint8_t { Requests, Tokens };
    Unit unit = Unit::Requests;
    double perSecond = 0; ///< Zero: no limit.
    double burst = 0; ///< Beyond that, at once.
    double defaultTokens = 0; ///< What a request counts as that states no tokens; where tokens count.
    bool operator==(const QuotaRule&) const = default;
};

std::string_view nameOf(QuotaRule::Unit);

struct AccountRule {
    std::string name;
    std::vector<SecretDigest> keys; ///< Of each key that its callers may show.
    std::optional<std::uint32_t> rank; ///< Goes before the route's.
    QuotaRule quota;
};

struct RoutingDocument {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceRule> services;
    CallerLimits limits;
    /// Nothing: callers need no account. An empty list is another thing: it lets nobody in but on public routes.
    std::optional<std::vector<AccountRule>> accounts;
};

/// Checks what the types can't: services that exist, one route for each place, weights, timeouts, keys of one account each.
Result<void> validate(const RoutingDocument&);

/// The document in force, indexed: a lookup costs one hash for each slash of the path, or one for a key, however many routes and accounts
/// there are.
class RouteTable {
public:
    RouteTable() = default;
    explicit RouteTable(RoutingDocument);

    /// The route with the longest prefix of `path` under `host`, or nullptr. \param path without its query.
    [[nodiscard]] const Route* find(std::string_view host, std::string_view path) const;
    [[nodiscard]] const ServiceRule* service(const std::string& name) const;
    /// Whether callers must show a key, but on public routes.
    [[nodiscard]] bool hasAccounts() const { return m_document.accounts.has_value(); }
    /// Whose key this is, or nullptr.
    [[nodiscard]] const AccountRule* account(const SecretDigest& key) const;
    [[nodiscard]] const RoutingDocument& document() const { return m_document; }
    [[nodiscard]] std::uint64_t version() const { return m_document.version; }

private:
    RoutingDocument m_document;
    std::unordered_map<std::string, std::size_t> m_routes; ///< By host and prefix, joined.
    std::unordered_map<std::string, std::size_t> m_services;
    std::unordered_map<SecretDigest, std::size_t> m_keys;
};

/// The host of a request as routes name it: lower case, without a port.
std::string normalisedHost(std::string_view);

} // namespace wrenhinge
