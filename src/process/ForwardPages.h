/** \file
 * The pages and gauges of a gateway that calls upstreams itself, as it serves them to operators.
 */
#pragma once

#include "process/ForwardMetrics.h"
#include "request/forward/ForwardLogic.h"

#include <nlohmann/json.hpp>

namespace wrenhinge {

/// What the gateway's `/status` page adds to that of all processes.
nlohmann::json forwardStatus(ForwardLogic&, Instant now);

/// The replicas known to this gateway, in the format that `wrenhinge upstream list` reads.
nlohmann::json upstreamsPage(ForwardLogic&, Instant now);

void setGauges(ForwardMetrics&, ForwardLogic&);

} // namespace wrenhinge
