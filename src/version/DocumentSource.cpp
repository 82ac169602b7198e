#include "version/DocumentSource.h"

#include "message/Codec.h"
#include "version/DocumentFollower.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    /// A transfer under way is kept though newer versions come, or a slow link would begin anew with each of them and never end. A
    /// gateway may wait for an answer for its longest patience before it asks again.
    constexpr Duration unusedTransferLifetime = DocumentFollower::maxReplyTimeout + 1s;
    /// Gateways that hold different versions ask for different transfers; the one unused for longest gives way.
    constexpr std::size_t maxTransfers = 4;

} // namespace

std::vector<DocumentSource::AddressedOffer> DocumentSource::offers(const DocumentHistory& history, bool isCurrent, Instant now)
{
    dropUnusedTransfers(now);
    std::vector<AddressedOffer> list;
    if (!history.version())
        return list;
    for (auto& [peer, gateway] : m_gateways) {
        bool isNew = gateway.offered < history.version();
        if (!isNew && (gateway.isConfirmed || !isCurrent))
            continue;
        list.push_back({ peer, { history.version(), isCurrent } });
        gateway = { history.version(), isCurrent };
    }
    return list;
}

std::optional<DocumentPart> DocumentSource::answer(const DocumentRequest& request, const DocumentHistory& history, Instant now)
{
    if (request.held >= history.version())
        return std::nullopt;
    auto& transfer = transferFor(request, history, now);
    transfer.usedAt = now;
    // Another version than the one that was asked for is sent from its beginning.
    auto offset = transfer.version == request.version ? std::min<std::uint64_t>(request.offset, transfer.bytes.size()) : 0;
    DocumentPart part { transfer.version, transfer.base, offset, transfer.bytes.size(), transfer.bytes.substr(offset, partBytes) };
    return part;
}

DocumentSource::Transfer& DocumentSource::transferFor(const DocumentRequest& request, const DocumentHistory& history, Instant now)
{
    auto find = [&](std::uint64_t version) {
        return std::find_if(m_transfers.begin(), m_transfers.end(),
            [&](const auto& transfer) { return transfer->base == request.held && transfer->version == version; });
    };
    // One that has begun goes on, also if the document has changed meanwhile.
    auto it = request.offset ? find(request.version) : m_transfers.end();
    if (it == m_transfers.end())
        it = find(history.version());
    if (it != m_transfers.end())
        return **it;
    if (m_transfers.size() >= maxTransfers)
        m_transfers.erase(
            std::min_element(m_transfers.begin(), m_transfers.end(), [](const auto& a, const auto& b) { return a->usedAt < b->usedAt; }));
    m_transfers.push_back(
        std::make_unique<Transfer>(Transfer { request.held, history.version(), encodeValue(history.stepsFrom(request.held)), now }));
    return *m_transfers.back();
}

void DocumentSource::dropUnusedTransfers(Instant now)
{
    std::erase_if(m_transfers, [now](const auto& transfer) { return now - transfer->usedAt > unusedTransferLifetime; });
}

} // namespace wrenhinge
