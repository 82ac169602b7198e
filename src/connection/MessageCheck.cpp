#include "connection/MessageCheck.h"

#include "connection/Endpoint.h"

#include <algorithm>
#include <cmath>

namespace wrenhinge {

namespace {

    constexpr std::uint32_t mostGateways = 100'000;

    using Fault = std::optional<std::string>;

    /// Enough for `[IPv6]:port`, in bytes.
    constexpr std::size_t longestAddress = 64;
    /// Ages may be slightly negative, as threads read the clock at different times.
    constexpr Duration clockSlack = 1s;
    /// A region has a few tens of controllers.
    constexpr std::size_t mostControllers = 1024;

    /// Visible characters that have a meaning in paths.
    constexpr std::string_view separators = "/?#%";

    bool isVisible(char c) { return c > ' ' && c <= '~'; }

    Fault wrong(const std::string& field, const std::string& expected, const std::string& came)
    {
        return "`" + field + "` must be " + expected + ", but is '" + readable(came, 40) + "'";
    }

    Fault faultOfName(const std::string& field, const std::string& name)
    {
        if (isPlainText(name))
            return std::nullopt;
        return wrong(field, "1 to " + std::to_string(longestName) + " bytes without control characters", name);
    }

    Fault faultOfId(const std::string& id)
    {
        if (isToken(id))
            return std::nullopt;
        return wrong("id", "1 to " + std::to_string(longestName) + " characters that can stand in a path", id);
    }

    Fault faultOfAge(Duration age)
    {
        if (age >= -clockSlack && age <= longestSpan)
            return std::nullopt;
        return wrong("age", "a span of time from zero", std::to_string(age.count()) + " us");
    }

    Fault check(const RelayedAnnouncement& announced)
    {
        if (auto fault = faultOf(announced.announcement))
            return fault;
        return faultOfAge(announced.age);
    }

    Fault check(const ReplicaWithdrawn& withdrawn) { return faultOfId(withdrawn.id); }

    Fault check(const StageChange& change)
    {
        if (change.lasts < Duration::zero() || change.lasts > longestSpan)
            return wrong("lasts", "a span of time from zero", std::to_string(change.lasts.count()) + " us");
        return faultOfId(change.id);
    }

    Fault check(const RegistryHeartbeat& heartbeat)
    {
        for (const auto& [id, age] : heartbeat.ages) {
            if (auto fault = faultOfAge(age))
                return fault;
        }
        return std::nullopt;
    }

    Fault check(const ReplicaCrash& crash) { return faultOf(crash); }

    Fault faultOfSoftware(const ReplicaSoftware& software)
    {
        if (software.service.size() > longestName || software.version.size() > longestName)
            return wrong(
                "software", "names of at most " + std::to_string(longestName) + " bytes", software.service + " " + software.version);
        return std::nullopt;
    }

    Fault check(const ServedAfterCrash& served)
    {
        if (auto fault = served.software ? faultOfSoftware(*served.software) : std::nullopt)
            return fault;
        return faultOfAge(served.age);
    }

    Fault check(const AccountUsage& use)
    {
        bool isFinite = std::isfinite(use.amount) && std::isfinite(use.perSecond) && std::isfinite(use.reservedPerSecond);
        if (!isFinite || use.perSecond < 0 || use.reservedPerSecond < 0)
            return wrong("uses", "finite amounts of limits from zero", toString(use.account));
        return std::nullopt;
    }

    Fault check(const AccountTotal& total)
    {
        bool isFinite = std::isfinite(total.othersUsage) && std::isfinite(total.othersPerSecond) && std::isfinite(total.reservedPerSecond);
        if (!isFinite || total.othersPerSecond < 0 || total.reservedPerSecond < 0)
            return wrong("totals", "finite amounts", toString(total.account));
        return std::nullopt;
    }

    Fault check(const ReplicaRateLimit& limit)
    {
        if (limit.perSecond && (!std::isfinite(*limit.perSecond) || *limit.perSecond < 0))
            return wrong("perSecond", "a finite number from zero", std::to_string(*limit.perSecond));
        return faultOfId(limit.replica);
    }

    /// The highest request rate limit that is accepted, times the time in which permits lapse, is far below this.
    constexpr double mostPermits = 1e9;

    Fault check(const PermitDemand& demand)
    {
        if (!(demand.held >= 0 && demand.held <= mostPermits && demand.returned >= 0 && demand.returned <= mostPermits))
            return wrong("demands", "amounts of permits from zero", toString(demand.limit));
        return std::nullopt;
    }

    Fault check(const StreamOrigin& origin)
    {
        if (auto fault = faultOfName("service", origin.service))
            return fault;
        if (origin.softwareVersion.size() > longestName)
            return wrong("softwareVersion", "at most " + std::to_string(longestName) + " bytes", origin.softwareVersion);
        return std::nullopt;
    }

    Fault check(const StreamRecord& record)
    {
        if (record.keepFor < Duration::zero() || record.keepFor > longestSpan)
            return wrong("keepFor", "a span of time from zero", std::to_string(record.keepFor.count()) + " us");
        return check(record.origin);
    }

    template <typename T> Fault checkEach(const std::vector<T>& list)
    {
        for (const auto& item : list) {
            if (auto fault = check(item))
                return fault;
        }
        return std::nullopt;
    }

    Fault check(const RegistryList& list)
    {
        if (auto fault = checkEach(list.known))
            return fault;
        if (auto fault = checkEach(list.changing))
            return fault;
        return checkEach(list.ended);
    }

    Fault check(const QuotaReport& report) { return checkEach(report.uses); }

    Fault check(const QuotaTotals& totals) { return checkEach(totals.totals); }

    Fault check(const ReplicaRateLimits& limits) { return checkEach(limits.limits); }

    Fault check(const ReplicaUsageReport& usage)
    {
        if (!(usage.permits.lentShare >= 0 && usage.permits.lentShare <= 1))
            return wrong("lentShare", "a part of a limit, from 0 to 1", std::to_string(usage.permits.lentShare));
        if (auto fault = checkEach(usage.permits.demands))
            return fault;
        return check(usage.report);
    }

    Fault check(const ReplicaUsageTotals& usage) { return check(usage.totals); }

    Fault check(const StreamRecords& records) { return checkEach(records.records); }

    Fault check(const StreamLookupReply& reply) { return reply.knowledge == StreamKnowledge::Known ? check(reply.origin) : std::nullopt; }

    Fault check(const CrashReport& report)
    {
        if (auto fault = checkEach(report.crashes))
            return fault;
        return checkEach(report.served);
    }

    Fault check(const EngineLoadReport& report)
    {
        for (const auto& [service, busy] : report.services) {
            if (!std::isfinite(busy.prefill) || !std::isfinite(busy.decode))
                return wrong("services", "finite loads", service);
            if (busy.stageChange < Duration::zero() || busy.stageChange > longestSpan)
                return wrong("stageChange", "a span of time from zero", std::to_string(busy.stageChange.count()) + " us");
        }
        return std::nullopt;
    }

    Fault check(const ControllerRoster& roster)
    {
        if (roster.addresses.size() > mostControllers)
            return wrong("addresses", "at most " + std::to_string(mostControllers), std::to_string(roster.addresses.size()));
        for (const auto& address : roster.addresses) {
            if (!isAddress(address))
                return wrong("addresses", "IP:PORT each", address);
        }
        return std::nullopt;
    }

    Fault check(const Hello& hello)
    {
        if (hello.id == PeerId())
            return wrong("id", "drawn at the start of the process", "0");
        for (const auto& [field, text] :
            { std::pair("name", &hello.name), { "site", &hello.site }, { "zone", &hello.zone }, { "adminAddress", &hello.adminAddress } }) {
            if (!text->empty() && !isPlainText(*text))
                return faultOfName(field, *text);
        }
        return std::nullopt;
    }

    Fault check(const ReservationRequest& reservation)
    {
        if (!isToken(reservation.run))
            return wrong("run", "1 to " + std::to_string(longestName) + " characters that can stand in a path", reservation.run);
        return std::nullopt;
    }

    Fault check(const EngineHeadroom& headroom)
    {
        if (!isAddress(headroom.address))
            return wrong("address", "IP:PORT", headroom.address);
        return std::nullopt;
    }

    template <typename T> Fault check(const T&) { return std::nullopt; }

} // namespace

bool isPlainText(std::string_view text, std::size_t most)
{
    return !text.empty() && text.size() <= most
        && std::none_of(text.begin(), text.end(), [](unsigned char c) { return c < ' ' || c == 0x7f; });
}

bool isToken(std::string_view text, std::size_t most)
{
    return !text.empty() && text.size() <= most
        && std::all_of(text.begin(), text.end(), [](char c) { return isVisible(c) && separators.find(c) == std::string_view::npos; });
}

bool isAddress(const std::string& address)
{
    if (address.empty() || address.size() > longestAddress || !std::all_of(address.begin(), address.end(), isVisible))
        return false;
    auto endpoint = parseEndpoint(address);
    return endpoint && endpoint.value().port() > 0;
}

std::optional<std::string> faultOf(const Announcement& announcement)
{
    if (auto fault = faultOfId(announcement.id))
        return fault;
    if (auto fault = faultOfName("service", announcement.service))
        return fault;
    if (!isAddress(announcement.address))
        return wrong("address", "IP:PORT", announcement.address);
    if (auto fault = faultOfName("zone", announcement.zone))
        return fault;
    if (announcement.softwareVersion.size() > longestName)
        return wrong("softwareVersion", "at most " + std::to_string(longestName) + " bytes", announcement.softwareVersion);
    if (!announcement.slots || announcement.slots > mostSlots)
        return wrong("slots", "1 to " + std::to_string(mostSlots), std::to_string(announcement.slots));
    if (announcement.coldLeft < Duration::zero() || announcement.coldLeft > longestSpan)
        return wrong("coldLeft", "a span of time from zero", std::to_string(announcement.coldLeft.count()) + " us");
    if (announcement.sequence > highestSequence)
        return wrong("sequence", "at most 2^53", std::to_string(announcement.sequence));
    return std::nullopt;
}

std::optional<std::string> faultOf(const StoredGatewayCount& stored)
{
    if (!stored.gateways || stored.gateways > mostGateways)
        return wrong("gateways", "a number from 1 to " + std::to_string(mostGateways), std::to_string(stored.gateways));
    return std::nullopt;
}

std::optional<std::string> faultOf(const ReplicaCrash& crash)
{
    if (auto fault = faultOfId(crash.replica))
        return fault;
    if (auto fault = faultOfSoftware(crash.software))
        return fault;
    if (crash.reporter.size() > longestName)
        return wrong("reporter", "at most " + std::to_string(longestName) + " bytes", crash.reporter);
    if (crash.ranFor < Duration::zero() || crash.ranFor > longestSpan)
        return wrong("ranFor", "a span of time from zero", std::to_string(crash.ranFor.count()) + " us");
    return faultOfAge(crash.age);
}

std::optional<std::string> faultOf(const StreamRecord& record) { return check(record); }

std::optional<std::string> faultOf(const Message& message)
{
    return std::visit([](const auto& m) { return check(m); }, message);
}

std::string readable(std::string_view text, std::size_t most)
{
    constexpr std::string_view cut = "...";
    std::string out(text.substr(0, most));
    std::transform(out.begin(), out.end(), out.begin(), [](char c) { return c == ' ' || isVisible(c) ? c : '?'; });
    if (text.size() > most && most > cut.size())
        out.replace(most - cut.size(), cut.size(), cut);
    return out;
}

} // namespace wrenhinge
