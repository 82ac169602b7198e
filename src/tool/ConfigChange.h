/** \file
 * Sends a configuration change to the controllers until it is accepted or refused, for a limited number of attempts.
 */
#pragma once

#include "tool/Commands.h"
#include "version/ConfigFile.h"

namespace wrenhinge::tool {

/// A controller's copy of the configuration.
struct CurrentConfig {
    std::string controllerAdmin; ///< The admin address of that controller.
    std::uint64_t version = 0;
    std::uint64_t number = 0; ///< The number of the last accepted change.
    Configuration::Entries entries;
};

/// Reads the configuration of every controller discovered from `options.admin`.
/// \returns the one with the highest version, or an Error if no controller is reachable.
Result<CurrentConfig> fetchCurrentConfig(const Options&);

/// Applies a change under `options.number` or the next number. If no response arrives, or one that leaves the outcome open
/// (CONFIG_UNAVAILABLE), the change is resent under the same change id, so that it is applied at most once.
/// \returns the exit code.
int applyChange(const Options&, const Configuration::Entries& puts, const std::vector<std::string>& removes);

} // namespace wrenhinge::tool
