/** \file
 * Messages about requests that crash replicas.
 */
#pragma once

#include "message/MessageTypes.h"

namespace wrenhinge {

/// According to the sender, the replica crashed while it was processing the request.
struct ReplicaCrash {
    ContentFingerprint request;
    std::string replica;
    ReplicaStart start {}; ///< Of the replica's run.
    Duration age {}; ///< Since the crash.
    Duration ranFor {}; ///< From the sending of the request to the crash.
    [[nodiscard]] ReplicaRun run() const { return { replica, start }; }
    MSGPACK_DEFINE(request, replica, start, age, ranFor)
};

/// The request was answered in full, so it did not cause the earlier crashes.
struct ServedAfterCrash {
    ContentFingerprint request;
    Duration age {}; ///< Since the answer.
    MSGPACK_DEFINE(request, age)
};

/// From gateways to controllers, between controllers, and from controllers to gateways.
struct CrashReport {
    std::vector<ReplicaCrash> crashes;
    std::vector<ServedAfterCrash> served;
    [[nodiscard]] bool isEmpty() const { return crashes.empty() && served.empty(); }
    MSGPACK_DEFINE(crashes, served)
};

} // namespace wrenhinge
