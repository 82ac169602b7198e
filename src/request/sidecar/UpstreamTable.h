/** \file
 * A gateway's table of upstreams: their leases, their last load reports corrected by the work sent since, and ejections
 * after failures.
 *
 * A load report is out of date when it arrives, and several gateways receive the same one. If they used it as it is, all of
 * them would send their work to the same replica. Each report therefore states the last request of *this* gateway that it
 * includes (`covered`), and the table adds the later ones until a later report covers them.
 */
#pragma once

#include "message/Messages.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace wrenhinge {

class UpstreamTable {
public:
    /// Work that was sent to an upstream and is not included in its last load report.
    struct Uncovered {
        std::uint64_t sequence = 0;
        Duration cost {}; ///< Predicted time on the upstream.
    };

    struct Upstream {
        PeerId id;
        std::string replica;
        std::string zone;
        std::string service;
        UpstreamKind kind = UpstreamKind::Plain;
        std::string model;
        LoadReport load;
        Instant reportedAt;
        Instant leaseEnds;
        std::deque<Uncovered> uncovered;
        int failures = 0; ///< Consecutive failures.
        Instant ejectedUntil;
        int ejections = 0; ///< Since the last success; the ejection time doubles with each.
    };

    /// A change that the caller logs.
    enum class Change : std::uint8_t { None, Announced, Draining, Ejected, Returned };

    /// A link to the upstream's sidecar was established: sequence numbers restart here and at the sidecar.
    void onLinkUp(PeerId);
    /// The link was closed; removes the upstream.
    void onLinkDown(PeerId);
    Change announce(const Hello&, const UpstreamAnnouncement&, Instant now);
    void remove(PeerId);
    /// Applies a load report, unless it covers less than the last one.
    void updateLoad(PeerId, const LoadReport&, Instant now);
    /// Counts work as sent. \returns its sequence number on the link to this upstream, or 0 for an unknown upstream.
    std::uint64_t recordSent(PeerId, Duration cost);
    Change recordFailure(PeerId, Instant now);
    Change recordSuccess(PeerId);
    /// Removes the upstreams whose lease has expired and returns their ids.
    std::vector<PeerId> removeExpired(Instant now);

    [[nodiscard]] const Upstream* find(PeerId) const;
    /// The upstreams of a service and kind that may receive new work: all of them if there are at most `maxSampled`, else a
    /// random sample, so that a decision among 10,000 costs no more than one among 32.
    [[nodiscard]] std::vector<const Upstream*> candidates(const std::string& service, UpstreamKind, Instant now, std::mt19937_64&) const;
    /// The upstream that owns a prefix by consistent hashing, if it may receive new work. Gateways that know the same
    /// upstreams get the same owner without communicating.
    [[nodiscard]] const Upstream* prefixOwner(const std::string& service, UpstreamKind, std::uint64_t prefix, Instant now) const;
    [[nodiscard]] static bool isEligible(const Upstream&, Instant now);
    static constexpr std::size_t maxSampled = 32;
    /// Whether another run of the replica whose former run had the id `old` is known, so that the former run has ended.
    [[nodiscard]] bool isReplaced(PeerId old, const std::string& service) const;
    [[nodiscard]] const std::map<PeerId, Upstream>& all() const { return m_upstreams; }

private:
    struct KnownRun {
        std::string service;
        std::string replica;
    };
    std::map<PeerId, Upstream> m_upstreams;
    struct Group {
        std::vector<const Upstream*> members;
        std::map<std::uint64_t, const Upstream*> ring; ///< Consistent hashing: by the hash of the upstream's id.
    };
    const Group* groupOf(const std::string& service, UpstreamKind) const;

    std::map<std::string, Group> m_groups;
    std::unordered_map<PeerId, std::uint64_t> m_sequences; ///< Last sequence number by link; kept when a lease expires.
    std::unordered_map<PeerId, KnownRun> m_knownRuns; ///< Runs that announced themselves, by id, also ended ones.
    std::deque<PeerId> m_knownRunOrder; ///< Oldest first, to bound `m_knownRuns`.
};

/// Predicted time until new work would get a slot, from the corrected report.
Duration predictedSlotWait(const UpstreamTable::Upstream&, Priority);
/// Predicted time from the start in a decode slot to the first token, mostly the transfer of the prefill's result.
Duration predictedTransferTime(const UpstreamTable::Upstream&, std::uint32_t promptTokens);
/// Predicted time until work that takes `cost` would end at an upstream that starts or queues it.
Duration predictedCompletion(const UpstreamTable::Upstream&, Priority, Duration cost);

} // namespace wrenhinge
