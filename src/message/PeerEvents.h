/** \file
 * What every role hears of its links. The same three events enter all state machines.
 */
#pragma once

#include "message/Messages.h"

namespace wrenhinge {

/// A link to a peer is up; this is its introduction.
struct PeerUp {
    Hello peer;
};
/// The link to a peer is gone, and with it whatever was under way on it.
struct PeerDown {
    PeerId peer;
};
/// A message of a peer, in the order in which it sent them.
struct PeerMessage {
    PeerId peer;
    Message message;
};

} // namespace wrenhinge
