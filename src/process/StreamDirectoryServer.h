/** \file
 * Holds for gateways which software versions began streams, at a controller or at the sidecar of an engine, and answers their lookups.
 *
 * Runs on the strand passed to it.
 */
#pragma once

#include "connection/PeerHub.h"
#include "request/fleet/StreamDirectory.h"

namespace wrenhinge {

class StreamDirectoryServer {
public:
    StreamDirectoryServer(Strand, PeerHub&);

    /// A message of a gateway. Thread-safe. \returns whether it is for this class.
    bool receive(PeerId, const Message&);

private:
    void add(PeerId from, const StreamRecords&);
    void answer(PeerId from, const StreamLookup&);

    Strand m_strand;
    PeerHub& m_hub;
    StreamDirectory m_directory;
};

} // namespace wrenhinge
