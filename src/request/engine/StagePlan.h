/** \file
 * Decides whether one of a service's engines is to change between the prefill and the decode stage.
 *
 * A service is as fast as its busier stage, and which one that is follows from its prompts and answers, not from how its
 * engines were set up. Measured at a load of 13 generations a second, five prefill replicas were busy for 0.29 of their time and
 * seven decode replicas for 0.63, so that a surge of twice the load filled these while those waited; after the loss of three
 * decode replicas of six, 317 of 827 requests were refused with three prefill replicas at a third of their time.
 *
 * The plan moves one engine at a time towards the split whose busier stage is least busy, if all changes together gain enough to pay
 * for the time that engines are away. Judged one by one, no change of forty engines gains a tenth: with 14 of them for prefill, busy
 * for 0.32 of their time, and 26 for decode, for 0.66, none was ordered. Prefill counts for more than it is busy: a prompt that queues
 * delays a first event, while a decode replica can be filled.
 */
#pragma once

#include "message/Messages.h"

#include <optional>
#include <string>
#include <vector>

namespace wrenhinge::stages {

/// The least by which the busier stage must get less busy. A change takes an engine away for seconds, and plans that flip to and
/// fro with the load would keep one away for good. One of forty engines changes the split by 3 to 4%: a least gain well above that would
/// stop the plan short of the best split, and callers would wait at the busier stage beside idle engines.
constexpr double leastGain = 1.05;
/// The busier stage must be busy for this part of its time, or the split does not matter to callers: a surge of 1.6 times the load still
/// finds room then, and a change is an order and some seconds without the engine. Far below it a small site would change engines to and fro
/// with each surge, and callers would find fewer of them.
constexpr double leastBusy = 0.6;

/// A decode replica is given to the prefill stage only if prefill replicas are busy for this part of their time: prompts hardly queue
/// below it. In the first seconds few gateways have reported, and a load of 0.5 for four replicas had one more taken from the decode
/// stage 1 s into a surge.
constexpr double leastPrefillBusy = 0.5;

struct Engine {
    ReplicaRun run;
    std::string address;
    std::string zone;
    UpstreamKind kind = UpstreamKind::Decode;
};

/// The engines of a service that take work, and how many of each stage are busy. One that is changing counts for its new stage
/// but can't be chosen.
struct Pool {
    std::vector<Engine> engines;
    std::size_t becomingPrefill = 0;
    std::size_t becomingDecode = 0;
    double prefillLoad = 0;
    double decodeLoad = 0;
    Duration changeTakes {}; ///< How long an engine that changes its stage is away.
};

struct Change {
    Engine engine;
    UpstreamKind to = UpstreamKind::Decode;
};

/// The next change, or nothing if the split is right. At least one engine stays in each stage.
std::optional<Change> plan(const Pool&);

} // namespace wrenhinge::stages
