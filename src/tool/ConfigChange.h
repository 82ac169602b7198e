/** \file
 * Sends a change of configuration to the controllers until one of them decides it.
 */
#pragma once

#include "tool/Commands.h"
#include "version/ConfigFile.h"

namespace wrenhinge::tool {

/// The configuration as a controller holds it, found from `options.admin`.
struct CurrentConfig {
    std::string controllerAdmin;
    std::uint64_t version = 0;
    std::uint64_t number = 0;
    Configuration::Entries entries;
};
Result<CurrentConfig> fetchCurrentConfig(const Options&);

/// Applies a change under the given or the next number. A lost answer is met by a resend under the same change id.
/// \returns the exit code.
int applyChange(const Options&, const Configuration::Entries& puts, const std::vector<std::string>& removes);

} // namespace wrenhinge::tool
