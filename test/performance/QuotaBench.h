/** \file
 * `make bench-decide`: what limits of client accounts cost at a gateway and at a controller.
 */
#pragma once

#include <cstddef>

namespace wrenhinge {

/// Plays some seconds of requests of so many accounts through so many gateways, and prints a row of costs.
void measureQuotas(std::size_t gateways, std::size_t accounts);
void printQuotaHeads();

} // namespace wrenhinge
