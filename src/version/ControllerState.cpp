#include "version/ControllerState.h"

#include "message/Codec.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    /// What a snapshot holds, in the order of its fields.
    struct SavedState {
        ConfigVersion version;
        std::uint64_t number = 0;
        Configuration::Entries entries;
        std::vector<ConfigChange> history;
        std::unordered_map<std::string, Ledger::Entry> ledger;
        std::map<std::string, std::pair<FencingToken, std::string>> fences;
        std::map<std::string, DiskId> disks;
        std::vector<std::string> members;
        DocumentCommand document;
        std::map<std::string, std::string> zones;
        MSGPACK_DEFINE(version, number, entries, history, ledger, fences, disks, members, document, zones)
    };

    bool hasSameContent(const ConfigCommand& a, const ConfigCommand& b) { return a.puts == b.puts && a.removes == b.removes; }

} // namespace

ProposeReply ControllerState::apply(const LogEntry& entry)
{
    return std::visit([&](const auto& command) { return applyCommand(command, entry.index); }, entry.command);
}

ProposeReply ControllerState::applyCommand(const NoopCommand&, std::uint64_t) { return {}; }

ProposeReply ControllerState::applyCommand(const ConfigCommand& command, std::uint64_t index)
{
    ProposeReply reply;
    auto isSame = [&command](const ConfigChange& change) { return change.command.changeId == command.changeId; };
    if (auto it = std::find_if(m_history.begin(), m_history.end(), isSame); it != m_history.end() && m_safeguards.recognisesResends) {
        // A resend after a lost answer gets the first answer; the same id with other content is another change.
        reply.number = it->version.value();
        if (!hasSameContent(it->command, command)) {
            reply.code = ResultCode::ConfigConflict;
            reply.text = "change id " + command.changeId + " was used for another change; use a new id";
        }
        return reply;
    }
    if (auto valid = Configuration::validate(command.puts); !valid) {
        reply.code = valid.error().code;
        reply.text = valid.error().message;
        return reply;
    }
    if (command.number <= m_configuration.number() && m_safeguards.refusesEqualNumbers) {
        reply.code = ResultCode::ConfigConflict;
        reply.text = describeConflict(command);
        return reply;
    }
    m_history.push_back({ m_configuration.version(), ConfigVersion(index), command });
    if (m_history.size() > historyLimit)
        m_history.pop_front();
    m_configuration.apply(command, ConfigVersion(index));
    reply.number = index;
    return reply;
}

std::string ControllerState::describeConflict(const ConfigCommand& command) const
{
    auto text = "number " + std::to_string(command.number) + " is taken: the last accepted change has number "
        + std::to_string(m_configuration.number());
    for (const auto& change : m_history) {
        if (change.command.number != command.number)
            continue;
        text += "; number " + std::to_string(command.number) + " by " + change.command.author + " set";
        for (const auto& [path, value] : change.command.puts)
            text += " " + path + "=" + value;
        for (const auto& path : change.command.removes)
            text += " -" + path;
    }
    return text + "; look at `wrenhinge config show`, then apply with a higher number";
}

ProposeReply ControllerState::applyCommand(const IntentCommand& command, std::uint64_t)
{
    ProposeReply reply;
    reply.ledger = m_ledger.recordIntent(command);
    return reply;
}

ProposeReply ControllerState::applyCommand(const OutcomeCommand& command, std::uint64_t)
{
    ProposeReply reply;
    reply.ledger = m_ledger.recordOutcome(command);
    return reply;
}

ProposeReply ControllerState::applyCommand(const FenceCommand& command, std::uint64_t)
{
    auto& fence = m_fences[command.upstream];
    if (fence.orderId != command.orderId || fence.token == FencingToken())
        fence = { fence.token.next(), command.orderId };
    ProposeReply reply;
    reply.number = fence.token.value();
    return reply;
}

ProposeReply ControllerState::applyCommand(const ReplaceDiskCommand& command, std::uint64_t)
{
    m_disks[command.name] = command.disk;
    if (!command.zone.empty())
        m_zones[command.name] = command.zone;
    return {};
}

/// The highest version wins. One that is not higher is overtaken: it is accepted too, since its author has nothing to mend,
/// and changes nothing; other content under the version in force therefore never takes effect.
ProposeReply ControllerState::applyCommand(const DocumentCommand& command, std::uint64_t)
{
    ProposeReply reply;
    if (m_document.apply(command) == DocumentHistory::Outcome::BaseMismatch) {
        // Another document was committed between its making and its commitment; its author's text is taken anew.
        reply.code = ResultCode::ConfigUnavailable;
        reply.text = "the change was made against version " + std::to_string(command.base) + ", version "
            + std::to_string(m_document.version()) + " is in force; try again";
    }
    reply.number = m_document.version();
    return reply;
}

ProposeReply ControllerState::applyCommand(const MembersCommand& command, std::uint64_t)
{
    m_members = command.names;
    return {};
}

std::string ControllerState::save() const
{
    SavedState saved { m_configuration.version(), m_configuration.number(), m_configuration.entries(),
        { m_history.begin(), m_history.end() }, m_ledger.entries(), {}, m_disks, m_members, {}, m_zones };
    saved.document.version = m_document.version();
    saved.document.text = m_document.text();
    for (const auto& [upstream, fence] : m_fences)
        saved.fences[upstream] = { fence.token, fence.orderId };
    return encodeValue(saved);
}

bool ControllerState::canLoad(const std::string& bytes) { return decodeValue<SavedState>(bytes).has_value(); }

bool ControllerState::load(const std::string& bytes)
{
    auto saved = decodeValue<SavedState>(bytes);
    if (!saved)
        return false;
    m_configuration.restore(saved->version, saved->number, std::move(saved->entries));
    m_history.assign(saved->history.begin(), saved->history.end());
    m_ledger.restore(std::move(saved->ledger));
    m_fences.clear();
    for (auto& [upstream, fence] : saved->fences)
        m_fences[upstream] = { fence.first, fence.second };
    m_disks = std::move(saved->disks);
    m_members = std::move(saved->members);
    m_document.restore(saved->document.version, std::move(saved->document.text));
    m_zones = std::move(saved->zones);
    return true;
}

} // namespace wrenhinge
