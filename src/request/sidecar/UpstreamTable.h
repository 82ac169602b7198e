/** \file
 * What a gateway knows about upstreams: their leases, their last load report corrected by what was sent since, and
 * which ones are ejected for failing.
 *
 * A load report is old when it arrives, and several gateways see the same old one. Taking it at its word makes all of
 * them rush to the same replica. Each report therefore says up to which of *this* gateway's requests it counts, and the
 * table adds the ones after that until a later report covers them.
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
    /// Work that was sent after the last report was made.
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
        int failures = 0; ///< In a row.
        Instant ejectedUntil;
        int ejections = 0;
    };

    /// A change worth a note.
    enum class Change : std::uint8_t { None, Announced, Draining, Ejected, Returned };

    /// A link to the upstream's sidecar came up: its sequence numbers start anew, as they do at the sidecar.
    void onLinkUp(PeerId);
    /// The link is gone, and the upstream with it.
    void onLinkDown(PeerId);
    Change announce(const Hello&, const UpstreamAnnouncement&, Instant now);
    void remove(PeerId);
    /// Takes the load that came with a reply.
    void updateLoad(PeerId, const LoadReport&, Instant now);
    /// Counts a request in. \returns its sequence number towards this upstream.
    std::uint64_t recordSent(PeerId, Duration cost);
    Change recordFailure(PeerId, Instant now);
    Change recordSuccess(PeerId);
    /// Removes those whose lease has run out. \returns them.
    std::vector<PeerId> removeExpired(Instant now);

    [[nodiscard]] const Upstream* find(PeerId) const;
    /// The upstreams of a service and kind that may get new work: all of them while there are at most `maxSampled`, else a
    /// random sample, so that a decision among 10,000 costs what one among 32 does.
    [[nodiscard]] std::vector<const Upstream*> candidates(const std::string& service, UpstreamKind, Instant now, std::mt19937_64&) const;
    /// The one that owns a prefix by consistent hashing, if it may get new work; the same at every gateway that knows the
    /// same upstreams, without a word between them.
    [[nodiscard]] const Upstream* prefixOwner(const std::string& service, UpstreamKind, std::uint64_t prefix, Instant now) const;
    [[nodiscard]] static bool isEligible(const Upstream&, Instant now);
    static constexpr std::size_t maxSampled = 32;
    /// Whether another run of the same replica is known, so that `replica` under `old` is gone for good.
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
        std::map<std::uint64_t, const Upstream*> ring; ///< By the hash of the identity.
    };
    const Group* groupOf(const std::string& service, UpstreamKind) const;

    std::map<std::string, Group> m_groups;
    std::unordered_map<PeerId, std::uint64_t> m_sequences; ///< By link: they outlive a lapsed lease.
    std::unordered_map<PeerId, KnownRun> m_knownRuns; ///< Runs that were known once, by their id.
    std::deque<PeerId> m_knownRunOrder;
};

/// Predicted time until new work would find a slot, from the corrected report.
Duration predictedSlotWait(const UpstreamTable::Upstream&, Priority);
/// Predicted time from a slot to the first token: the transfer of a prefill's result.
Duration predictedTransferTime(const UpstreamTable::Upstream&, std::uint32_t promptTokens);
/// Predicted time until work of `cost` would end at an upstream that runs it at once or queues it.
Duration predictedCompletion(const UpstreamTable::Upstream&, Priority, Duration cost);

} // namespace wrenhinge
