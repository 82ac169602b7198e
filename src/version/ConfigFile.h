/** \file
 * The configuration file of operators: a YAML file whose maps become the flat entries of Configuration.
 *
 *     sites:
 *       ulemiste: { zones: [terminal-a, gate-pier, arrivals-hall] }
 *     services:
 *       saatja: { kind: plain, urgent: always, repeatable: no, deadline: 2s }
 *     accounts:
 *       desk-7: { rate: 20/s, concurrency: 40 }
 *     replicas:
 *       saatja:
 *         saatja-1: { zone: terminal-a, state: in-use }
 */
#pragma once

#include "version/Configuration.h"

namespace wrenhinge {

/// Parses a file into validated entries. The error names the file, the line and a remedy.
Result<Configuration::Entries> parseConfigFile(const std::string& text, const std::string& file);
Result<Configuration::Entries> readConfigFile(const std::string& file);

/// The entries to put and to remove to turn one configuration into another.
struct ConfigDifference {
    Configuration::Entries puts;
    std::vector<std::string> removes;
    [[nodiscard]] bool empty() const { return puts.empty() && removes.empty(); }
};
ConfigDifference differenceOf(const Configuration::Entries& from, const Configuration::Entries& to);

} // namespace wrenhinge
