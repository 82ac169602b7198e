/** \file
 * Holds for gateways which software versions began streams, at a controller or at the sidecar of an engine, and answers their lookups.
 *
 * Runs on the strand passed to it.
 */
#pragma once

#include "connection/PeerHub.h"
#include "process/StreamLog.h"
#include "request/fleet/StreamDirectory.h"

#include <optional>
#include <string>

namespace wrenhinge {

class StreamDirectoryServer {
public:
    StreamDirectoryServer(Strand, PeerHub&);

    /// Restores what a former process has stored in this folder, and stores there what is received from now on. Call it before the hub
    /// listens.
    void openLog(const std::string& folder, EventLog&, RefusalLog&);

    /// A message of a gateway. Thread-safe. \returns whether it is for this class.
    bool receive(PeerId, const Message&);

private:
    void add(PeerId from, const StreamRecords&);
    void answer(PeerId from, const StreamLookup&);

    Strand m_strand;
    PeerHub& m_hub;
    StreamDirectory m_directory;
    std::optional<StreamLog> m_log; ///< Unset without a disk.
};

} // namespace wrenhinge
