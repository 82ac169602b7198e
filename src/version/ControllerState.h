/** \file
 * The replicated state machine: configuration and its history, routing document, ledger, fencing tokens, and membership.
 *
 * Deterministic: every controller that applies the same entries has the same state and returns the same replies.
 */
#pragma once

#include "base/Safeguards.h"
#include "version/Configuration.h"
#include "version/DocumentHistory.h"
#include "version/Ledger.h"

#include <deque>
#include <map>
#include <string>

namespace wrenhinge {

/// An accepted change, as `wrenhinge config history` shows it.
struct ConfigChange {
    ConfigVersion previous;
    ConfigVersion version;
    ConfigCommand command;
    MSGPACK_DEFINE(previous, version, command)
};

class ControllerState {
public:
    explicit ControllerState(const Safeguards& safeguards = {})
        : m_safeguards(safeguards)
    {
    }

    /// Number of changes kept for the history, for deltas to watchers, and for recognising resends.
    static constexpr std::size_t historyLimit = 1000;

    /// Applies a committed entry. \returns the reply to its proposer.
    ProposeReply apply(const LogEntry&);

    [[nodiscard]] const Configuration& configuration() const { return m_configuration; }
    [[nodiscard]] const std::deque<ConfigChange>& history() const { return m_history; }
    [[nodiscard]] const Ledger& ledger() const { return m_ledger; }
    [[nodiscard]] const std::map<std::string, DiskId>& disks() const { return m_disks; }
    /// The members of the log, if the log contains a list of them.
    [[nodiscard]] const std::vector<std::string>& members() const { return m_members; }
    /// The availability zones of the controllers with registered disks, as far as known.
    [[nodiscard]] const std::map<std::string, std::string>& zones() const { return m_zones; }
    /// The routing document in force; version zero: none yet.
    [[nodiscard]] const DocumentHistory& document() const { return m_document; }

    /// Serializes the whole state, and restores it. \returns false if the bytes are not a serialized state.
    [[nodiscard]] std::string save() const;
    bool load(const std::string& bytes);
    [[nodiscard]] static bool canLoad(const std::string& bytes);

private:
    struct Fence {
        FencingToken token;
        std::string orderId;
        MSGPACK_DEFINE(token, orderId)
    };
    ProposeReply applyCommand(const NoopCommand&, std::uint64_t index);
    ProposeReply applyCommand(const ConfigCommand&, std::uint64_t index);
    ProposeReply applyCommand(const IntentCommand&, std::uint64_t index);
    ProposeReply applyCommand(const OutcomeCommand&, std::uint64_t index);
    ProposeReply applyCommand(const FenceCommand&, std::uint64_t index);
    ProposeReply applyCommand(const ReplaceDiskCommand&, std::uint64_t index);
    ProposeReply applyCommand(const DocumentCommand&, std::uint64_t index);
    ProposeReply applyCommand(const MembersCommand&, std::uint64_t index);
    [[nodiscard]] std::string describeConflict(const ConfigCommand&) const;

    Safeguards m_safeguards;
    Configuration m_configuration;
    std::deque<ConfigChange> m_history;
    Ledger m_ledger;
    std::map<std::string, Fence> m_fences;
    std::map<std::string, DiskId> m_disks;
    std::vector<std::string> m_members;
    std::map<std::string, std::string> m_zones;
    DocumentHistory m_document;
};

} // namespace wrenhinge
