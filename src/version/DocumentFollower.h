/** \file
 * Keeps a gateway's routing document up to date: controllers offer versions, and the gateway requests the missing changes from one of
 * them, part by part.
 *
 * Only one request is outstanding at a time, so that a slow link carries one part and not every intermediate version; a version that is
 * superseded before it is requested is never sent. The version never decreases: an older one, which a partitioned controller may offer,
 * is ignored.
 *
 * The document held is *current* if it is at least as new as every version that a controller in contact with its leader has offered as
 * the newest since this process started. Example: after a start a partitioned controller offers version 4, not as the newest, and it is
 * installed; another one offers 6 as the newest: 4 stays unconfirmed, 6 is requested, and is current once it is installed. Had 4 been
 * offered as the newest before 6 was accepted, it would have been current, and would remain so during the transfer of 6.
 *
 * A state machine without I/O: `step(event, now)` returns effects.
 */
#pragma once

#include "base/EventCode.h"
#include "message/PeerEvents.h"
#include "version/DocumentHistory.h"

#include <map>
#include <memory>
#include <random>
#include <variant>
#include <vector>

namespace wrenhinge {

namespace document {

    // Events. PeerMessage's message is a DocumentOffer or a DocumentPart; other messages are ignored.
    using wrenhinge::PeerDown;
    using wrenhinge::PeerMessage;
    struct Tick { };
    using Event = std::variant<PeerMessage, PeerDown, Tick>;

    // Effects.
    /// Sends a request to a controller.
    struct SendRequest {
        PeerId to;
        DocumentRequest request;
    };
    /// A newer version was received and must be installed.
    struct Install {
        std::uint64_t version = 0;
        std::shared_ptr<const std::string> text;
        bool isCurrent = false; ///< At least as new as every version offered as the newest since this process started.
    };
    /// The version held is at least as new as the one just offered as the newest.
    struct Confirm {
        std::uint64_t version = 0;
    };
    using Effect = std::variant<SendRequest, Install, Confirm, LogEvent>;

} // namespace document

class DocumentFollower {
public:
    using Effects = std::vector<document::Effect>;

    /// If a controller does not reply within this time, another one is asked. Parts of 64 KB take 52 ms on a link of 10 Mbit/s; 29 gateways
    /// that ask one controller at once, on a link of 100 Mbit/s, wait for 150 ms.
    static constexpr Duration replyTimeout = 1s;
    /// Each reply that arrives after its timeout doubles the timeout, up to this limit, until a transfer is complete. With a fixed timeout
    /// a gateway with slower replies would restart its transfer for ever, and the unused replies would fill its link.
    static constexpr Duration maxReplyTimeout = 8s;
    /// Longer transfers are rejected.
    static constexpr std::size_t maxTransferBytes = 64u << 20;

    /// \param seed makes the choice of a controller differ between gateways.
    explicit DocumentFollower(std::uint64_t seed)
        : m_random(seed)
    {
    }

    Effects step(const document::Event&, Instant now);
    [[nodiscard]] Instant nextWake() const;
    [[nodiscard]] std::uint64_t version() const { return m_version; }

private:
    /// The request in progress and the bytes received so far.
    struct Transfer {
        PeerId from;
        DocumentRequest request;
        std::string bytes;
        Instant askedAt;
    };

    void on(const document::PeerMessage&, Instant);
    void on(const document::PeerDown&, Instant);
    void on(const document::Tick&, Instant);
    void onOffer(PeerId, const DocumentOffer&);
    void onPart(PeerId, const DocumentPart&, Instant);
    void startTransfer(Instant);
    void abandonTransfer();
    void extendReplyTimeout();
    void ask(PeerId, DocumentRequest, Instant);
    void finish();
    bool apply(const std::vector<DocumentStep>&);

    std::uint64_t m_version = 0;
    std::shared_ptr<const std::string> m_text = std::make_shared<const std::string>();
    std::uint64_t m_newestOffered = 0; ///< The highest version offered as the newest.
    std::map<PeerId, std::uint64_t> m_offers;
    std::optional<Transfer> m_transfer;
    Duration m_replyTimeout = replyTimeout;
    PeerId m_lastFailed; ///< The last controller that did not reply or sent unusable changes; asked again only if there is no other.
    bool m_needsWhole = false; ///< The steps received did not apply to the document held.
    std::mt19937_64 m_random;
    Effects m_effects;
};

} // namespace wrenhinge
