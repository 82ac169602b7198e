/** \file
 * The commands of the tool. Each prints to standard output and returns an exit code.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wrenhinge::tool {

enum ExitCode : int {
    ExitOk = 0,
    ExitRefused = 1, ///< The system said no; the message says why.
    ExitUsage = 2,
    ExitUnreachable = 3,
};

struct Options {
    std::string admin; ///< Where to start: the admin address of any process.
    bool json = false;
    std::optional<std::uint64_t> number; ///< config apply: the operator's number.
    std::string changeId; ///< config apply: the change's id, for a resend.
    std::string author;
};

using Arguments = std::vector<std::string>;

/// Runs the command that the words name.
int runCommand(const Options&, const Arguments&);

// One file each.
int runStatus(const Options&);
int runAccounts(const Options&);
int runUpstream(const Options&, const Arguments&);
int runConfig(const Options&, const Arguments&);
int runTimeline(const Options&, const std::string& requestId);
int runMetrics(const Options&);

/// Prints a user error. \returns the exit code that goes with it.
int fail(const std::string& message, int exitCode);

} // namespace wrenhinge::tool
