/** \file
 * How a gateway keeps up with the routing document: controllers offer versions, it asks one of them for what it lacks, part by part.
 *
 * One request is under way at a time, so a slow link carries one part and not each version that came meanwhile; what was overtaken
 * before it was asked for is never sent. It never goes back: a controller that was cut off may offer an older version.
 *
 * What is held is *current* if it is as new as the newest version that a controller, hearing its leader, has offered since this process
 * started. Example: after a start a controller that is cut off offers version 4, not as the newest, and it is taken; another
 * offers 6 as the newest: 4 stays unconfirmed, 6 is asked for, and is current when it is here. Had 4 been offered as the newest
 * before 6 was accepted, it would have been current, and would stay so while 6 is on its way.
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

    // Events. PeerMessage's message is a DocumentOffer or a DocumentPart; others are passed by.
    using wrenhinge::PeerDown;
    using wrenhinge::PeerMessage;
    struct Tick { };
    using Event = std::variant<PeerMessage, PeerDown, Tick>;

    // Effects.
    struct Ask {
        PeerId to;
        DocumentRequest request;
    };
    /// A newer version is held.
    struct Install {
        std::uint64_t version = 0;
        std::shared_ptr<const std::string> text;
        bool isCurrent = false; ///< As new as what was once offered as the newest since this process started.
    };
    /// The version that is held is as new as what was just offered as the newest.
    struct Confirm {
        std::uint64_t version = 0;
    };
    using Effect = std::variant<Ask, Install, Confirm, LogEvent>;

} // namespace document

class DocumentFollower {
public:
    using Effects = std::vector<document::Effect>;

    /// A controller that does not answer for this long may be gone; another one is asked. Parts of 64 KB take 52 ms on a link of 10 Mbit/s;
    /// 29 gateways that ask one controller at once, on 100 Mbit/s, wait for 150 ms.
    static constexpr Duration replyTimeout = 1s;
    /// Each answer that comes after its controller was given up doubles the limit, up to this, until a transfer is whole. With one limit
    /// a gateway whose answers take longer begins anew for ever, and what it asks for in vain fills its link.
    static constexpr Duration maxReplyTimeout = 8s;
    /// A longer document is none.
    static constexpr std::size_t maxTransferBytes = 64u << 20;

    /// \param seed spreads the gateways over the controllers.
    explicit DocumentFollower(std::uint64_t seed)
        : m_random(seed)
    {
    }

    Effects step(const document::Event&, Instant now);
    [[nodiscard]] Instant nextWake() const;
    [[nodiscard]] std::uint64_t version() const { return m_version; }

private:
    /// What was asked for, and what of it has come.
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
    std::uint64_t m_newestOffered = 0; ///< The highest version that was offered as the newest.
    std::map<PeerId, std::uint64_t> m_offers;
    std::optional<Transfer> m_transfer;
    Duration m_replyTimeout = replyTimeout;
    PeerId m_lastFailed; ///< It did not answer, or not what was asked; asked again only if there is no other.
    bool m_needsWhole = false; ///< Steps did not fit what is held here.
    std::mt19937_64 m_random;
    Effects m_effects;
};

} // namespace wrenhinge
