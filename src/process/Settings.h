/** \file
 * The settings of one daemon, read from YAML and checked whole before anything starts.
 *
 * Every mistake is reported with file, line, key and mend, all of them at once. A key that isn't known is a mistake: a
 * misspelt limit that is silently ignored shows only in the next outage. Quantities carry their unit.
 */
#pragma once

#include "connection/CallerSettings.h"
#include "message/Messages.h"
#include "request/fleet/AccountQuota.h"
#include "request/fleet/SharedRetryBudget.h"

#include <optional>
#include <string>
#include <vector>

namespace wrenhinge {

struct LogSettings {
    std::string level = "info"; ///< trace, debug, info, warn, error.
    std::string file; ///< Empty: standard error, or standard output.
    bool toStandardOutput = false;
};

struct UpstreamSettings {
    std::string service;
    UpstreamKind kind = UpstreamKind::Plain;
    std::string model;
    std::string address;
    std::uint32_t slots = 0;
    Duration resultLife = 800ms;
    Duration lease = 3s;
    Duration announceEvery = 100ms;
};

/// A sidecar that only decides who may use an engine's memory: gateways dial it and call the engine themselves.
struct EngineSettings {
    std::string address; ///< Empty: the sidecar stands before an upstream.
    double spareDeviations = 2; ///< See EngineAdmission::Settings.
};

struct MemberSettings {
    std::string name;
    std::string address;
};

struct ControllerSettings {
    std::string data; ///< Empty: no disk. Such a controller found its group by seeds, learns the log and never votes.
    std::vector<MemberSettings> members;
    bool isNewCluster = false;
    /// Where the log's members change while it runs: the peer addresses of some controllers, the founders at the first start.
    std::vector<std::string> seeds;
    /// How many controllers may be lost at once: the log keeps 2f + 1 voters where there are disks enough. Zero: as many as founded it.
    std::uint32_t toleratedFailures = 0;
    std::string apiAddress; ///< Where replicas announce themselves and operators send routing documents.
    Duration electionTimeout = 400ms;
    Duration heartbeat = 80ms;
    /// Orders of two controllers to one engine lie at least this far apart. Zero: engines are given no orders.
    Duration orderLease {};
};

struct Settings {
    Role role = Role::Gateway;
    std::string name;
    std::string site;
    std::string zone;
    std::string listen; ///< For other wrenhinge processes; sidecars have none.
    std::string admin;
    std::vector<std::string> controllers;
    std::vector<std::string> gateways; ///< Sidecars: whom to announce the upstream to.
    std::uint32_t workers = 2;
    Duration drainTimeout = 30s;
    LogSettings log;
    CallerSettings callers;
    RetryBudgetSettings retries;
    QuotaSettings quotas;
    std::uint32_t controllerPort = 0; ///< Set: the controllers' peers port, whatever port their addresses name.
    std::uint32_t sidecarPort = 0; ///< Gateways: where the sidecar of an engine listens on its machine; zero: there are none.
    UpstreamSettings upstream;
    EngineSettings engine;
    ControllerSettings controller;
};

/// Reads and checks a settings file. The error's message holds one line for each mistake: `file:line: key: mend`.
Result<Settings> readSettings(const std::string& file);
/// The same from text; `file` is only named in messages.
Result<Settings> parseSettings(const std::string& text, const std::string& file);

std::string_view nameOf(Role);
std::string_view nameOf(UpstreamKind);

} // namespace wrenhinge
