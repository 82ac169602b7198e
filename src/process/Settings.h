/** \file
 * The settings of one daemon, read from YAML and validated completely before anything starts.
 *
 * All errors are reported at once, each with file, line, key and a hint how to correct it. An unknown key is an error, since a misspelt
 * limit that is silently ignored would only be noticed in the next outage. Quantities are written with their unit.
 */
#pragma once

#include "connection/CallerSettings.h"
#include "message/Messages.h"
#include "request/fleet/AccountQuota.h"
#include "request/fleet/AnnouncementTimes.h"
#include "request/fleet/SharedRetryBudget.h"

#include <optional>
#include <string>
#include <vector>

namespace wrenhinge {

struct LogSettings {
    std::string level = "info"; ///< trace, debug, info, warn, error.
    std::string file; ///< Empty: standard error, or standard output if `toStandardOutput` is set.
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

/// Settings of a sidecar that only does admission control for an engine's KV memory; gateways connect to it and call the engine directly.
struct EngineSettings {
    std::string address; ///< Empty: the sidecar is a proxy in front of an upstream instead.
    double spareDeviations = 2; ///< See EngineAdmission::Settings.
};

struct MemberSettings {
    std::string name;
    std::string address;
};

struct ControllerSettings {
    /// Data directory. Empty: no disk; such a controller finds its cluster through `seeds`, replicates the log and never votes.
    std::string data;
    std::vector<MemberSettings> members;
    bool isNewCluster = false;
    /// For a cluster whose members change at run time, instead of `members`: the peer addresses of some controllers. At the first start
    /// these are the initial members.
    std::vector<std::string> seeds;
    /// How many controllers (f) may fail at the same time: the log has 2f + 1 voters if enough controllers have disks. Zero: as many
    /// voters as initial members.
    std::uint32_t toleratedFailures = 0;
    std::string apiAddress; ///< Where replicas announce themselves and operators upload routing documents.
    Duration electionTimeout = 400ms;
    Duration heartbeat = 80ms;
    /// Minimum time between the orders that two controllers send to the same engine. Zero: no orders are sent to engines.
    Duration orderLease {};
};

struct Settings {
    Role role = Role::Gateway;
    std::string name;
    std::string site;
    std::string zone;
    std::string listen; ///< For other wrenhinge processes. Empty for a sidecar with an upstream.
    std::string admin;
    std::vector<std::string> controllers;
    std::vector<std::string> gateways; ///< Sidecars: the gateways to which the upstream is announced.
    std::uint32_t workers = 2;
    /// Of the process, in bytes. What callers and replicas send is bounded by shares of it (MemoryShares).
    std::size_t memory = 160'000'000;
    Duration drainTimeout = 30s;
    LogSettings log;
    CallerSettings callers;
    RetryBudgetSettings retries;
    QuotaSettings quotas;
    AnnouncementTimes announcements; ///< Of replicas that announce themselves to the controllers.
    std::uint32_t controllerPort = 0; ///< If not zero, the peer port of all controllers; replaces the port in their addresses.
    std::uint32_t sidecarPort = 0; ///< Gateways: the port of an engine's sidecar on the engine's machine. Zero: no sidecars.
    UpstreamSettings upstream;
    EngineSettings engine;
    ControllerSettings controller;
};

/// Reads and validates a settings file. The error message has one line for each mistake: `file:line: key: hint`.
Result<Settings> readSettings(const std::string& file);
/// The same from a text. \param file only used in error messages.
Result<Settings> parseSettings(const std::string& text, const std::string& file);

std::string_view nameOf(Role);
std::string_view nameOf(UpstreamKind);

} // namespace wrenhinge
