/** \file
 * Decides whether one of a service's engines should change between the prefill and the decode stage.
 *
 * The busier stage limits a service, and which stage that is depends on the prompts and answers, not on how the engines were configured.
 * Measured at a load of 13 generations a second, five prefill replicas had a utilization of 0.29 and seven decode replicas one of 0.63, so
 * that a surge of twice the load overloaded the decode replicas while the prefill replicas were idle. After the loss of three decode
 * replicas of six, 317 of 827 requests were refused while three prefill replicas were used for a third of their time.
 *
 * The plan moves one engine at a time towards the split with the lowest utilization of the busier stage, if all the moves together gain
 * enough to pay for the time in which the engines are unavailable. Judged one by one, no move at a site of forty engines gains a tenth:
 * with 14 prefill engines at a utilization of 0.32 and 26 decode engines at 0.66, none was ordered. The prefill load is weighted up, since
 * a queued prompt delays a first event, while a decode replica can be filled.
 */
#pragma once

#include "message/Messages.h"

#include <optional>
#include <string>
#include <vector>

namespace wrenhinge::stages {

/// The minimum factor by which the utilization of the busier stage must fall. A change makes an engine unavailable for seconds, and a plan
/// that oscillates with the load would keep one unavailable permanently. One engine of forty changes the split by 3 to 4%: a minimum well
/// above that would stop the plan short of the best split, and callers would queue at the busier stage while other engines are idle.
constexpr double minGain = 1.05;
/// The minimum utilization of the busier stage for a change. Below it the split doesn't matter to callers, as there is still capacity for a
/// surge of 1.6 times the load, while a change costs an order and some seconds without the engine. With a much lower minimum, a small site
/// would change engines back and forth with each surge, and have fewer of them available.
constexpr double minLoad = 0.6;

/// The minimum utilization of the prefill stage for moving a decode replica to it: below it prompts hardly queue. In the first seconds only
/// few gateways have reported; without this minimum, a reported load of 0.5 for four replicas moved one more replica from the decode stage
/// 1 s into a surge.
constexpr double minPrefillLoad = 0.5;

struct Engine {
    ReplicaRun run;
    std::string address;
    std::string zone;
    UpstreamKind kind = UpstreamKind::Decode;
};

/// The engines of a service that accept work, and the load of each stage in number of busy replicas. An engine that is changing its stage
/// counts for the new one but can't be chosen.
struct Pool {
    std::vector<Engine> engines;
    std::size_t becomingPrefill = 0;
    std::size_t becomingDecode = 0;
    double prefillLoad = 0;
    double decodeLoad = 0;
    Duration changeDuration {}; ///< How long an engine is unavailable while it changes its stage.
};

struct Change {
    Engine engine;
    UpstreamKind to = UpstreamKind::Decode;
};

/// The next change, or nothing if none is worthwhile. At least one engine stays in each stage.
std::optional<Change> plan(const Pool&);

} // namespace wrenhinge::stages
