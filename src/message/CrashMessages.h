/** \file
 * Messages about requests, and parts of prompts, that crash replicas.
 */
#pragma once

#include "message/MessageTypes.h"

#include <compare>

namespace wrenhinge {

/// What runs at replicas of a service: an answer from one says nothing about those that run other software.
struct ReplicaSoftware {
    std::string service;
    std::string version; ///< Of the software; empty: not known.
    auto operator<=>(const ReplicaSoftware&) const = default;
    MSGPACK_DEFINE(service, version)
};

/// According to the sender, the replica crashed while it was processing a request with this content.
struct ReplicaCrash {
    ContentFingerprint content;
    std::string replica;
    ReplicaStart start {}; ///< Of the replica's run.
    Duration age {}; ///< Since the crash.
    Duration ranFor {}; ///< From the sending of the request to the crash.
    ReplicaSoftware software;
    std::string reporter; ///< Name of the gateway that observed the crash.
    [[nodiscard]] ReplicaRun run() const { return { replica, start }; }
    MSGPACK_DEFINE(content, replica, start, age, ranFor, software, reporter)
};

/// A request with this content was answered, so the content did not cause the crashes of replicas with the same software.
struct ServedAfterCrash {
    ContentFingerprint content;
    Duration age {}; ///< Since the answer.
    std::optional<ReplicaSoftware> software; ///< Of the replica that answered; unset: the crashes of all replicas are cleared.
    MSGPACK_DEFINE(content, age, software)
};

/// From gateways to controllers, between controllers, and from controllers to gateways.
struct CrashReport {
    std::vector<ReplicaCrash> crashes;
    std::vector<ServedAfterCrash> served;
    [[nodiscard]] bool isEmpty() const { return crashes.empty() && served.empty(); }
    MSGPACK_DEFINE(crashes, served)
};

} // namespace wrenhinge
