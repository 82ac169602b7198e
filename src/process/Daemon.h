/** \file
 * Runs a role as a daemon: command line, settings, startup, signals. The daemon programs differ only in the roles they support.
 */
#pragma once

#include "process/Runtime.h"

#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <unistd.h>

namespace wrenhinge {

namespace daemon_exit {
    constexpr int ok = 0;
    constexpr int settings = 1;
    constexpr int usage = 2;
}

struct DaemonOptions {
    std::string settingsFile;
    bool checkOnly = false;
    bool showVersion = false;
};

/// Parses the command line. \returns the exit code if the process must exit, or nullopt to continue.
std::optional<int> readDaemonOptions(int argc, const char** argv, DaemonOptions&);

template <typename RoleType>
concept DaemonRole = requires(RoleType role, const Settings& settings)
{
    role.start();
    role.drain();
    role.reload(settings);
};

/// Reads the settings file again. Only the log level, the accounts and the addresses of controllers can change; all else needs a restart.
template <DaemonRole RoleType> void reloadRole(const std::string& file, Runtime& runtime, RoleType& role)
{
    auto settings = readSettings(file);
    if (!settings) {
        runtime.log().write({ EventCode::SettingsReloaded, {}, "settings unchanged: " + settings.error().message });
        return;
    }
    runtime.log().setLevel(settings.value().log.level);
    role.reload(settings.value());
    runtime.log().write({ EventCode::SettingsReloaded, {}, "" });
}

template <DaemonRole RoleType> int runRole(const Settings& settings, const std::string& file)
{
    Runtime runtime(settings);
    RoleType role(settings, runtime);
    auto addresses = role.start();
    if (!addresses) {
        std::cerr << "wrenhinge: " << addresses.error().message << "\n";
        return daemon_exit::settings;
    }
    auto ready = addresses.value();
    ready["ready"] = settings.name;
    std::cout << ready.dump() << std::endl;
    runtime.log().write({ EventCode::ProcessStarted, {}, std::string(nameOf(settings.role)) + " " + addresses.value().dump() });
    return runtime.run(
        settings.workers, [&role] { role.drain(); }, [&] { reloadRole(file, runtime, role); });
}

/// Makes the allocator give large blocks back to the system as soon as they are freed. By default it keeps them once some have been freed,
/// so a process that has held many large requests would stay as large as it was at its peak, in pieces.
void returnLargeBlocks();

/// Parses the command line, reads the settings and calls `run` with them. \returns the exit code.
template <typename Run> int daemonMain(int argc, const char** argv, Run run)
{
    returnLargeBlocks();
    DaemonOptions options;
    if (auto ended = readDaemonOptions(argc, argv, options))
        return *ended;
    auto settings = readSettings(options.settingsFile);
    if (!settings) {
        std::cerr << settings.error().message << "\n";
        return daemon_exit::settings;
    }
    if (options.checkOnly) {
        std::cout << options.settingsFile << ": ok\n";
        return daemon_exit::ok;
    }
    int code = run(settings.value(), options.settingsFile);
    // All objects of the role are destroyed by now, but the logging library's idle threads still run. If they are scheduled late,
    // the library's own shutdown blocks: stopped processes hung until they were killed at the end of their grace period (10 of 10 in a day
    // of restarts).
    std::cout.flush();
    std::fflush(nullptr);
#ifndef __SANITIZE_ADDRESS__ // LeakSanitizer runs at normal exit.
    ::_exit(code);
#endif
    return code;
}

} // namespace wrenhinge
