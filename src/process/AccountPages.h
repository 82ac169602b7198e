/** \file
 * What a gateway shows operators of client accounts and their limits.
 */
#pragma once

#include "request/fleet/AccountQuotas.h"

#include <nlohmann/json.hpp>
#include <string>

namespace wrenhinge {

/// All accounts, in the form that `wrenhinge accounts` reads.
nlohmann::json accountsPage(AccountQuotas&, Instant now);

/// Requests admitted and refused, in the Prometheus text form, of so many accounts as a metrics page can bear: those with the most
/// refusals, and then with the most requests.
std::string accountMetrics(AccountQuotas&);

} // namespace wrenhinge
