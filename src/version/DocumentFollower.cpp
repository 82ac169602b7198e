#include "version/DocumentFollower.h"

#include "message/Codec.h"

#include <algorithm>

namespace wrenhinge {

using namespace document;

DocumentFollower::Effects DocumentFollower::step(const Event& event, Instant now)
{
    std::visit([this, now](const auto& e) { on(e, now); }, event);
    if (!m_transfer)
        startTransfer(now);
    return std::exchange(m_effects, {});
}

Instant DocumentFollower::nextWake() const { return m_transfer ? m_transfer->askedAt + m_replyTimeout : Instant::max(); }

void DocumentFollower::on(const PeerMessage& event, Instant now)
{
    if (const auto* offer = std::get_if<DocumentOffer>(&event.message))
        onOffer(event.peer, *offer);
    else if (const auto* part = std::get_if<DocumentPart>(&event.message))
        onPart(event.peer, *part, now);
}

void DocumentFollower::on(const PeerDown& event, Instant)
{
    m_offers.erase(event.peer);
    if (m_transfer && m_transfer->from == event.peer)
        m_transfer.reset();
}

void DocumentFollower::on(const Tick&, Instant now)
{
    if (!m_transfer || now < m_transfer->askedAt + m_replyTimeout)
        return;
    abandonTransfer();
}

void DocumentFollower::onOffer(PeerId peer, const DocumentOffer& offer)
{
    m_offers[peer] = offer.version;
    if (!offer.isCurrent)
        return;
    m_newestOffered = std::max(m_newestOffered, offer.version);
    if (m_version && m_version >= m_newestOffered)
        m_effects.push_back(Confirm { m_version });
}

void DocumentFollower::onPart(PeerId peer, const DocumentPart& part, Instant now)
{
    if (!m_transfer)
        return;
    auto& transfer = *m_transfer;
    if (transfer.from != peer || part.base != transfer.request.held)
        return extendReplyTimeout();
    if (part.bytes.empty() || part.total > maxTransferBytes)
        return abandonTransfer();
    // The controller may start a transfer of a newer version than the requested one.
    if (part.offset == 0 && part.version > transfer.request.version) {
        transfer.request.version = part.version;
        transfer.bytes.clear();
    }
    // A late reply to an abandoned request may arrive in addition to the reply to the current one.
    if (part.version != transfer.request.version || part.offset != transfer.bytes.size())
        return extendReplyTimeout();
    transfer.bytes += part.bytes;
    if (transfer.bytes.size() >= part.total)
        return finish();
    transfer.request.offset = transfer.bytes.size();
    ask(peer, transfer.request, now);
}

void DocumentFollower::finish()
{
    auto transfer = std::move(*m_transfer);
    m_transfer.reset();
    m_replyTimeout = replyTimeout;
    auto steps = decodeValue<std::vector<DocumentStep>>(transfer.bytes);
    if (!steps || !apply(*steps)) {
        // Never observed. Without this a text that differs from the controllers' would remain until a restart.
        m_effects.push_back(LogEvent { EventCode::DocumentRefused, {},
            "the steps from version " + std::to_string(transfer.request.held) + " to " + std::to_string(transfer.request.version)
                + " can't be applied; requesting the whole document" });
        m_needsWhole = true;
        m_lastFailed = transfer.from;
        return;
    }
    m_needsWhole = false;
    m_lastFailed = {};
    m_effects.push_back(Install { m_version, m_text, m_newestOffered && m_version >= m_newestOffered });
}

bool DocumentFollower::apply(const std::vector<DocumentStep>& steps)
{
    auto version = m_version;
    std::optional<std::string> text;
    for (const auto& step : steps) {
        bool isWhole = step.from == 0;
        if ((!isWhole && step.from != version) || step.to <= version)
            return false;
        text = applyChange(isWhole ? std::string_view() : text ? std::string_view(*text) : std::string_view(*m_text), step.change);
        if (!text)
            return false;
        version = step.to;
    }
    if (!text)
        return false;
    m_version = version;
    m_text = std::make_shared<const std::string>(std::move(*text));
    return true;
}

void DocumentFollower::startTransfer(Instant now)
{
    std::uint64_t newest = 0;
    for (const auto& [peer, version] : m_offers)
        newest = std::max(newest, version);
    if (newest <= m_version)
        return;
    std::vector<PeerId> peers;
    for (const auto& [peer, version] : m_offers) {
        if (version == newest && peer != m_lastFailed)
            peers.push_back(peer);
    }
    if (peers.empty())
        peers.push_back(m_lastFailed);
    auto chosen = std::uniform_int_distribution<std::size_t>(0, peers.size() - 1)(m_random);
    m_transfer = Transfer { peers[chosen], { newest, m_needsWhole ? 0 : m_version, 0 }, {}, now };
    ask(peers[chosen], m_transfer->request, now);
}

/// Ends the transfer; the next one uses another controller if one offers the same version.
void DocumentFollower::abandonTransfer()
{
    m_lastFailed = m_transfer->from;
    m_transfer.reset();
}

/// Called for a late reply: the controller was available, but the link is slower than the timeout allows.
void DocumentFollower::extendReplyTimeout() { m_replyTimeout = std::min(m_replyTimeout * 2, maxReplyTimeout); }

void DocumentFollower::ask(PeerId to, DocumentRequest request, Instant now)
{
    m_transfer->askedAt = now;
    m_effects.push_back(SendRequest { to, request });
}

} // namespace wrenhinge
