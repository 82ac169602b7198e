/** \file
 * Distributes the routing document from a controller to the gateways: offers a version, and sends the changes in parts on request.
 *
 * Sending the whole document to each gateway at each change exhausted the memory of the controllers: a megabyte for each of 29 gateways,
 * buffered two or three times for links of 10 and 100 Mbit/s, from three controllers at once. Three were killed at their limit of 88 MB,
 * again after each start. With requests a gateway loads the document from one controller at the speed of its link, and the controller
 * buffers only one part for it.
 */
#pragma once

#include "version/DocumentHistory.h"

#include <map>
#include <memory>
#include <optional>

namespace wrenhinge {

class DocumentSource {
public:
    /// 64 KB take 52 ms on a link of 10 Mbit/s, which limits the delay for other messages on the link.
    static constexpr std::size_t partBytes = 64 * 1024;

    struct AddressedOffer {
        PeerId to;
        DocumentOffer offer;
    };

    void addPeer(PeerId gateway) { m_gateways[gateway] = {}; }
    void removePeer(PeerId gateway) { m_gateways.erase(gateway); }
    /// The offers to send now. Must be called regularly, since it also drops unused transfers. \param isCurrent whether the document is
    /// the newest committed one, as far as this controller can know: a gateway that starts must not use an outdated one, which a
    /// partitioned controller may hold.
    std::vector<AddressedOffer> offers(const DocumentHistory&, bool isCurrent, Instant now);
    /// The requested part, or the first part of a newer version; nothing if the gateway holds the newest version already.
    std::optional<DocumentPart> answer(const DocumentRequest&, const DocumentHistory&, Instant now);

private:
    struct Gateway {
        std::uint64_t offered = 0;
        bool isConfirmed = false;
    };
    /// Encoded steps, shared by all gateways that request the same versions.
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
