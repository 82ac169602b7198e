/** \file
 * The status page and the metrics of client accounts and their limits, as a gateway serves them to operators.
 */
#pragma once

#include "request/fleet/AccountQuotas.h"

#include <nlohmann/json.hpp>
#include <string>

namespace wrenhinge {

/// All accounts, as a JSON array that `wrenhinge accounts` reads.
nlohmann::json accountsPage(AccountQuotas&, Instant now);

/// Counters of admitted and refused requests per account, in the Prometheus text format. To keep the metrics page small, only the
/// accounts with the most refused requests are included; among equals, those with the most admitted requests.
std::string accountMetrics(AccountQuotas&);

} // namespace wrenhinge
