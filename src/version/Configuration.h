/** \file
 * The configuration that operators change: a flat map of entries, its version, and the rules read from it.
 *
 * A change is a set of entries to put and to remove, so that 29,000 changes a day travel as small deltas. An entry's
 * path says what it is about:
 *
 *     site/<site>/zone/<zone>                    present           inventory
 *     replica/<service>/<replica>/zone           <zone>            inventory, from the asset register
 *     replica/<service>/<replica>/state          in-use|drain      operators drain a replica here
 *     service/<service>/kind                     generation|plain
 *     service/<service>/urgent                   always|never|on-request
 *     service/<service>/repeatable               yes|no
 *     service/<service>/first-token-target       570ms
 *     service/<service>/token-interval-target    27ms
 *     service/<service>/deadline                 10s
 *     service/<service>/weight-goodput           3
 *     service/<service>/weight-waste             1
 *     account/<account>/rate                     100/s
 *     account/<account>/concurrency              50
 */
#pragma once

#include "message/Messages.h"

#include <map>
#include <optional>
#include <string>

namespace wrenhinge {

enum class ServiceKind : std::uint8_t { Generation, Plain };
enum class UrgentRule : std::uint8_t { Never, OnRequest, Always };

/// What the rules say about one service, with the defaults for what they don't.
struct ServiceRules {
    ServiceKind kind = ServiceKind::Generation;
    UrgentRule urgent = UrgentRule::OnRequest;
    bool repeatable = true;
    Duration firstTokenTarget = 570ms;
    Duration tokenIntervalTarget = 27ms;
    Duration deadline = 10s; ///< Plain services: the longest wait for a start.
    double weightGoodput = 1;
    double weightWaste = 1;
};

/// The limits of one client account. Absent means unlimited.
struct AccountRules {
    std::optional<double> ratePerSecond;
    std::optional<std::uint64_t> concurrency;
};

class Configuration {
public:
    using Entries = std::map<std::string, std::string>;

    /// Checks that every entry has a known path and a value that fits it. The error names path and mend.
    static Result<void> validate(const Entries& puts);

    [[nodiscard]] ConfigVersion version() const { return m_version; }
    [[nodiscard]] std::uint64_t number() const { return m_number; }
    [[nodiscard]] const Entries& entries() const { return m_entries; }

    /// Applies a committed change as version `to`.
    void apply(const ConfigCommand&, ConfigVersion to);
    /// Follows a delta or snapshot. \returns false, and changes nothing, if it does not lead forward from here.
    bool applyDelta(const ConfigDelta&);
    /// The whole configuration as a snapshot for a watcher.
    [[nodiscard]] ConfigDelta snapshot() const;
    void restore(ConfigVersion, std::uint64_t number, Entries);

    /// The rules of a service, or nullptr if no entry names it.
    [[nodiscard]] const ServiceRules* service(const std::string& name) const;
    [[nodiscard]] AccountRules account(const std::string& name) const;
    /// Whether operators have drained this replica.
    [[nodiscard]] bool isDrained(const std::string& service, const std::string& replica) const;

private:
    void rebuildRules();

    ConfigVersion m_version;
    std::uint64_t m_number = 0;
    Entries m_entries;
    std::map<std::string, ServiceRules> m_services;
    std::map<std::string, AccountRules> m_accounts;
};

} // namespace wrenhinge
