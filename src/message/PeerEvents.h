/** \file
 * The events of links to peers, which are the same three for the state machines of all roles.
 */
#pragma once

#include "message/Messages.h"

namespace wrenhinge {

/// A link to a peer was established; `peer` is what it said of itself.
struct PeerUp {
    Hello peer;
};
/// The link to a peer was lost, with all messages that were in flight.
struct PeerDown {
    PeerId peer;
};
/// A message from a peer. Messages are received in the order in which the peer sent them.
struct PeerMessage {
    PeerId peer;
    Message message;
};

} // namespace wrenhinge
