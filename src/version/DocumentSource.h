/** \file
 * How a controller tells gateways of the routing document: it offers a version, and hands out what leads to it in parts, on request.
 *
 * Writing a whole document to each gateway at each change filled the memory of controllers: a megabyte for each of 29 gateways, held two
 * or three times on its way into links of 10 and 100 Mbit/s, from three controllers at once. Three were killed at their limit of 88 MB,
 * again after each start. A gateway that asks gets it from one controller, at the pace of its link, and what waits for it here is one part.
 */
#pragma once

#include "version/DocumentHistory.h"

#include <map>
#include <memory>
#include <optional>

namespace wrenhinge {

class DocumentSource {
public:
    /// 64 KB take 52 ms on a link of 10 Mbit/s, so that what else waits for the link does not wait for long.
    static constexpr std::size_t partBytes = 64 * 1024;

    struct AddressedOffer {
        PeerId to;
        DocumentOffer offer;
    };

    void addPeer(PeerId gateway) { m_gateways[gateway] = {}; }
    void removePeer(PeerId gateway) { m_gateways.erase(gateway); }
    /// What gateways must be told now; called often, it also drops transfers that nobody asks for any more. \param isCurrent whether the
    /// document is the newest that a majority has accepted, as far as can be known here: a gateway that starts must not serve by one that
    /// was overtaken before, as a controller that is cut off may hold.
    std::vector<AddressedOffer> offers(const DocumentHistory&, bool isCurrent, Instant now);
    /// The part that a gateway asks for, or the first part of something newer; nothing if there is nothing newer than what it holds.
    std::optional<DocumentPart> answer(const DocumentRequest&, const DocumentHistory&, Instant now);

private:
    struct Gateway {
        std::uint64_t offered = 0;
        bool isConfirmed = false;
    };
    /// Encoded steps; many gateways ask for the same.
    struct Transfer {
        std::uint64_t base = 0;
        std::uint64_t version = 0;
        std::string bytes;
        Instant usedAt;
    };
    Transfer& transferFor(const DocumentRequest&, const DocumentHistory&, Instant now);
    void dropUnusedTransfers(Instant now);

    std::map<PeerId, Gateway> m_gateways;
    std::vector<std::unique_ptr<Transfer>> m_transfers;
};

} // namespace wrenhinge
