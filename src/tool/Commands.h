/** \file
 * The commands of the command-line tool. Each prints to standard output and returns an exit code.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wrenhinge::tool {

enum ExitCode : int {
    ExitOk = 0,
    ExitRefused = 1, ///< A process or a check refused the command; the message gives the reason.
    ExitUsage = 2,
    ExitUnreachable = 3,
};

struct Options {
    std::string admin; ///< The admin address of any process; the others are discovered from it.
    bool json = false; ///< Print JSON instead of text, in the commands that support it.
    std::optional<std::uint64_t> number; ///< Number of a configuration change. Default: the current number plus one.
    std::string changeId; ///< Id of a configuration change, given to resend it. Default: a random id.
    std::string author; ///< Who makes a configuration change.
};

using Arguments = std::vector<std::string>;

/// Runs the command that the first argument names. \returns the exit code.
int runCommand(const Options&, const Arguments&);

// The commands. Each is defined in a file of its own, except status and metrics (Commands.cpp).
int runStatus(const Options&);
int runAccounts(const Options&);
int runUpstream(const Options&, const Arguments&);
int runConfig(const Options&, const Arguments&);
int runTimeline(const Options&, const std::string& requestId);
int runMetrics(const Options&);

/// Prints an error message to standard error. \returns `exitCode`.
int fail(const std::string& message, int exitCode);

} // namespace wrenhinge::tool
