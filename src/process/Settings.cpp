#include "process/Settings.h"

#include "base/SettingsNode.h"
#include "base/Units.h"
#include "connection/Endpoint.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace wrenhinge {

namespace {

    Error settingsError(std::string message) { return { ResultCode::BadSettings, std::move(message) }; }

    Result<std::string> parseText(const std::string& text)
    {
        if (text.empty())
            return settingsError("is empty; write a value");
        return text;
    }

    /// Parses a name that is safe in configuration paths and in logs.
    Result<std::string> parseName(const std::string& text)
    {
        bool isValid = !text.empty() && text.size() <= 64
            && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; });
        if (!isValid)
            return settingsError("'" + text + "' is not a valid name: use up to 64 letters, digits, '-', '_' and '.'");
        return text;
    }

    Result<std::string> parseAddress(const std::string& text)
    {
        auto colon = text.rfind(':');
        auto port = colon == std::string::npos ? std::string() : text.substr(colon + 1);
        auto ip = text.substr(0, colon == std::string::npos ? 0 : colon);
        auto isDigits = [](const std::string& s) {
            return !s.empty() && std::all_of(s.begin(), s.end(), [](unsigned char c) { return std::isdigit(c); });
        };
        int dots = 0;
        bool isIp = !ip.empty();
        std::istringstream parts(ip);
        for (std::string part; std::getline(parts, part, '.'); ++dots)
            isIp = isIp && isDigits(part) && part.size() <= 3 && std::stoi(part) <= 255;
        if (!isIp || dots != 4 || !isDigits(port) || port.size() > 5 || std::stoul(port) > 65535)
            return settingsError("'" + text + "' is not a valid address: write IP:PORT, such as 127.0.0.1:8080");
        return text;
    }

    Result<Role> parseRole(const std::string& text)
    {
        for (auto role : { Role::Gateway, Role::Sidecar, Role::Controller }) {
            if (text == nameOf(role))
                return role;
        }
        return settingsError("'" + text + "' is not a role: write gateway, sidecar or controller");
    }

    Result<UpstreamKind> parseKind(const std::string& text)
    {
        for (auto kind : { UpstreamKind::Prefill, UpstreamKind::Decode, UpstreamKind::Plain }) {
            if (text == nameOf(kind))
                return kind;
        }
        return settingsError("'" + text + "' is not a kind of upstream: write prefill, decode or plain");
    }

    Result<std::string> parseLevel(const std::string& text)
    {
        for (auto level : { "trace", "debug", "info", "warn", "error" }) {
            if (text == level)
                return text;
        }
        return settingsError("'" + text + "' is not a log level: write trace, debug, info, warn or error");
    }

    /// With less, the shares of MemoryShares would not hold a request of the usual largest size.
    constexpr std::uint64_t leastMemory = 48'000'000;
    Result<std::uint64_t> parseMemory(const std::string& text)
    {
        auto value = parseBytes(text);
        if (value && value.value() < leastMemory)
            return settingsError("'" + text + "' is too little: write at least 48MB");
        return value;
    }

    Result<std::uint64_t> parsePositive(const std::string& text)
    {
        auto value = parseCount(text);
        if (value && (!value.value() || value.value() > 100000))
            return settingsError("'" + text + "' is out of range: write a whole number from 1 to 100000");
        return value;
    }

    /// Each failure to tolerate requires two more voters, and every commit waits for a majority of them.
    constexpr std::uint64_t maxToleratedFailures = 10;
    Result<std::uint64_t> parseToleratedFailures(const std::string& text)
    {
        auto value = parseCount(text);
        if (value && value.value() > maxToleratedFailures)
            return settingsError("'" + text + "' is out of range: write a whole number from 0 to " + std::to_string(maxToleratedFailures));
        return value;
    }

    Result<std::string> parseAnyText(const std::string& text) { return text; }

    Result<Duration> parsePositiveDuration(const std::string& text)
    {
        auto value = parseDuration(text);
        if (value && value.value() <= Duration::zero())
            return settingsError("'" + text + "' is too short: write a duration above zero");
        return value;
    }

    Result<AnnouncementTimes> parseAnnouncementInterval(const std::string& text)
    {
        auto value = parseDuration(text);
        if (!value)
            return value.error();
        if (value.value() < AnnouncementTimes::shortestInterval || value.value() > AnnouncementTimes::longestInterval)
            return settingsError("'" + text + "' is out of range: write a duration from 100ms to 15s");
        return AnnouncementTimes(value.value());
    }

    Result<double> parseRatio(const std::string& text)
    {
        char* end = nullptr;
        double value = std::strtod(text.c_str(), &end);
        if (text.empty() || *end || !(value >= 0) || value > 1e6)
            return settingsError("'" + text + "' is not a valid quantity: write a number from 0 to 1000000, such as 0.2");
        return value;
    }

    void readLog(SettingsNode node, LogSettings& log)
    {
        node.optional("level", log.level, parseLevel);
        node.optional("file", log.file, parseText);
        node.optional("to-standard-output", log.toStandardOutput, parseYesNo);
        node.reportUnknownKeys();
    }

    void readCallers(SettingsNode node, CallerSettings& callers)
    {
        node.required("listen", callers.listen, parseAddress);
        node.optional("ready", callers.ready, parseAddress);
        node.optional("accounts-file", callers.accountsFile, parseText);
        node.optional("header-limit", callers.headerLimit, parseBytes);
        node.optional("body-limit", callers.bodyLimit, parseBytes);
        node.optional("header-time", callers.headerTime, parsePositiveDuration);
        node.optional("body-time", callers.bodyTime, parsePositiveDuration);
        node.optional("idle-time", callers.idleTime, parsePositiveDuration);
        node.optional("connection-limit", callers.connectionLimit, parsePositive);
        node.reportUnknownKeys();
    }

    void readUpstream(SettingsNode node, UpstreamSettings& upstream)
    {
        node.required("service", upstream.service, parseName);
        node.required("kind", upstream.kind, parseKind);
        node.optional("model", upstream.model, parseName);
        node.required("address", upstream.address, parseAddress);
        node.required("slots", upstream.slots, parsePositive);
        node.optional("result-life", upstream.resultLife, parsePositiveDuration);
        node.optional("lease", upstream.lease, parsePositiveDuration);
        node.optional("announce-every", upstream.announceEvery, parsePositiveDuration);
        if (upstream.announceEvery * 2 > upstream.lease)
            node.addError("announce-every", "must be at most half the lease, or a single lost announcement lets it expire");
        node.reportUnknownKeys();
    }

    void readEngine(SettingsNode node, EngineSettings& engine)
    {
        node.required("address", engine.address, parseAddress);
        node.optional("spare-deviations", engine.spareDeviations, parseRatio);
        node.reportUnknownKeys();
    }

    void readController(SettingsNode node, const std::string& self, ControllerSettings& controller)
    {
        node.optional("data", controller.data, parseAnyText);
        node.optional("new-cluster", controller.isNewCluster, parseYesNo);
        node.maps("members", [&controller](SettingsNode& one) {
            MemberSettings member;
            one.required("name", member.name, parseName);
            one.required("address", member.address, parseAddress);
            controller.members.push_back(member);
        });
        node.list("seeds", controller.seeds, parseAddress);
        node.optional("losses-to-bear", controller.toleratedFailures, parseToleratedFailures);
        node.optional("door", controller.apiAddress, parseAddress);
        node.optional("election-timeout", controller.electionTimeout, parsePositiveDuration);
        node.optional("heartbeat", controller.heartbeat, parsePositiveDuration);
        node.optional("order-lease", controller.orderLease, parsePositiveDuration);
        if (controller.heartbeat * 3 > controller.electionTimeout)
            node.addError("heartbeat", "must be at most a third of the election timeout, or a single lost heartbeat triggers an election");
        node.reportUnknownKeys();
        if (!controller.seeds.empty()) {
            if (!controller.members.empty())
                node.addError("members", "can't be combined with `seeds`; remove one of the two");
            return;
        }
        if (controller.data.empty())
            node.addMissing("data");
        if (controller.toleratedFailures)
            node.addError(
                "losses-to-bear", "needs `seeds`: the list of `members` is fixed; list two for each failure to tolerate and one more");
        auto isSelf = [&self](const MemberSettings& member) { return member.name == self; };
        if (std::count_if(controller.members.begin(), controller.members.end(), isSelf) != 1)
            node.addError("members", "must list this controller '" + self + "' exactly once");
    }

    void readRetries(SettingsNode node, RetryBudgetSettings& retries)
    {
        node.optional("ratio", retries.ratio, parseRatio);
        node.optional("slack", retries.slack, parseRatio);
        node.optional("window", retries.window, parsePositiveDuration);
        node.reportUnknownKeys();
    }

    void readQuotas(SettingsNode node, QuotaSettings& quotas)
    {
        node.optional("window", quotas.window, parsePositiveDuration);
        node.optional("excess", quotas.excess, parseRatio);
        node.optional("slack", quotas.slack, parseRatio);
        node.reportUnknownKeys();
    }

    void readAll(SettingsNode& root, Settings& settings)
    {
        root.required("role", settings.role, parseRole);
        root.required("name", settings.name, parseName);
        root.required("site", settings.site, parseName);
        root.required("zone", settings.zone, parseName);
        root.required("admin", settings.admin, parseAddress);
        root.optional("workers", settings.workers, parsePositive);
        root.optional("memory", settings.memory, parseMemory);
        root.optional("drain-limit", settings.drainTimeout, parsePositiveDuration);
        readLog(root.child("log"), settings.log);
        if (settings.role != Role::Controller)
            root.list("controllers", settings.controllers, parseAddress);
        if (settings.role != Role::Sidecar)
            root.required("listen", settings.listen, parseAddress);
        else
            root.optional("listen", settings.listen, parseAddress);
        root.optional("announcement-interval", settings.announcements, parseAnnouncementInterval);
        root.optional("controller-port", settings.controllerPort, parsePositive);
        if (settings.role == Role::Gateway) {
            readCallers(root.child("callers"), settings.callers);
            readRetries(root.child("retries"), settings.retries);
            readQuotas(root.child("quotas"), settings.quotas);
            root.optional("sidecar-port", settings.sidecarPort, parsePositive);
        }
        if (settings.role == Role::Sidecar && !settings.listen.empty()) {
            readEngine(root.child("engine"), settings.engine);
        } else if (settings.role == Role::Sidecar) {
            root.list("gateways", settings.gateways, parseAddress);
            if (settings.gateways.empty())
                root.addError("gateways", "list at least one gateway's address");
            readUpstream(root.child("upstream"), settings.upstream);
        }
        if (settings.role == Role::Controller)
            readController(root.child("controller"), settings.name, settings.controller);
        for (auto* list : { &settings.controllers, &settings.controller.seeds }) {
            for (auto& address : *list)
                address = withPort(address, settings.controllerPort);
        }
        root.reportUnknownKeys();
    }

} // namespace

std::string_view nameOf(Role role)
{
    switch (role) {
    case Role::Gateway:
        return "gateway";
    case Role::Sidecar:
        return "sidecar";
    case Role::Controller:
        return "controller";
    }
    internalError("a role without a name");
}

std::string_view nameOf(UpstreamKind kind)
{
    switch (kind) {
    case UpstreamKind::Prefill:
        return "prefill";
    case UpstreamKind::Decode:
        return "decode";
    case UpstreamKind::Plain:
        return "plain";
    }
    internalError("a kind of upstream without a name");
}

Result<Settings> readSettings(const std::string& file)
{
    std::ifstream in(file);
    if (!in)
        return settingsError(file + ": can't be read; check the path and its permissions");
    std::ostringstream text;
    text << in.rdbuf();
    return parseSettings(text.str(), file);
}

Result<Settings> parseSettings(const std::string& text, const std::string& file)
{
    SettingsErrors errors { file, {} };
    Settings settings;
    try {
        auto node = YAML::Load(text);
        if (!node.IsMap())
            return settingsError(file + ":1: the file contains no settings; write `role: …` and the rest as a map");
        SettingsNode root(node, "", errors);
        readAll(root, settings);
    } catch (const YAML::Exception& e) {
        return settingsError(file + ":" + std::to_string(e.mark.line + 1) + ": not YAML: " + e.msg);
    }
    if (errors.lines.empty())
        return settings;
    std::string message;
    for (const auto& line : errors.lines)
        message += (message.empty() ? "" : "\n") + line;
    return settingsError(message);
}

} // namespace wrenhinge
