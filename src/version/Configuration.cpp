#include "version/Configuration.h"

#include "base/Units.h"

#include <charconv>
#include <functional>
#include <sstream>

namespace wrenhinge {

namespace {

    using Path = std::vector<std::string>;

    Path split(const std::string& path)
    {
        Path parts;
        std::istringstream in(path);
        for (std::string part; std::getline(in, part, '/');)
            parts.push_back(part);
        return parts;
    }

    Result<double> parseWeight(const std::string& value)
    {
        double weight = 0;
        auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), weight);
        if (ec != std::errc() || end != value.data() + value.size() || !(weight >= 0 && weight <= 1000))
            return Error { ResultCode::BadConfiguration, "'" + value + "' is not a weight: write a number from 0 to 1000" };
        return weight;
    }

    Result<UrgentRule> parseUrgent(const std::string& value)
    {
        if (value == "always")
            return UrgentRule::Always;
        if (value == "never")
            return UrgentRule::Never;
        if (value == "on-request")
            return UrgentRule::OnRequest;
        return Error { ResultCode::BadConfiguration, "'" + value + "' is not always, never or on-request" };
    }

    Result<ServiceKind> parseKind(const std::string& value)
    {
        if (value == "generation")
            return ServiceKind::Generation;
        if (value == "plain")
            return ServiceKind::Plain;
        return Error { ResultCode::BadConfiguration, "'" + value + "' is not generation or plain" };
    }

    /// Stores a parsed value, or passes its error on.
    template <typename T, typename U> Result<void> store(T& field, Result<U> parsed)
    {
        if (!parsed)
            return parsed.error();
        field = parsed.value();
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    using ServiceSetter = std::function<Result<void>(ServiceRules&, const std::string&)>;

    const std::map<std::string, ServiceSetter>& serviceSetters()
    {
        static const std::map<std::string, ServiceSetter> setters {
            { "kind", [](ServiceRules& r, const std::string& v) { return store(r.kind, parseKind(v)); } },
            { "urgent", [](ServiceRules& r, const std::string& v) { return store(r.urgent, parseUrgent(v)); } },
            { "repeatable", [](ServiceRules& r, const std::string& v) { return store(r.repeatable, parseYesNo(v)); } },
            { "first-token-target", [](ServiceRules& r, const std::string& v) { return store(r.firstTokenTarget, parseDuration(v)); } },
            { "token-interval-target",
                [](ServiceRules& r, const std::string& v) { return store(r.tokenIntervalTarget, parseDuration(v)); } },
            { "deadline", [](ServiceRules& r, const std::string& v) { return store(r.deadline, parseDuration(v)); } },
            { "weight-goodput", [](ServiceRules& r, const std::string& v) { return store(r.weightGoodput, parseWeight(v)); } },
            { "weight-waste", [](ServiceRules& r, const std::string& v) { return store(r.weightWaste, parseWeight(v)); } },
        };
        return setters;
    }

    Result<void> setAccount(AccountRules& rules, const std::string& field, const std::string& value)
    {
        if (field == "rate")
            return store(rules.ratePerSecond, parseRate(value));
        if (field == "concurrency")
            return store(rules.concurrency, parseCount(value));
        return Error { ResultCode::BadConfiguration, "an account has no '" + field + "': use rate or concurrency" };
    }

    Result<void> setService(ServiceRules& rules, const std::string& field, const std::string& value)
    {
        auto it = serviceSetters().find(field);
        if (it == serviceSetters().end())
            return Error { ResultCode::BadConfiguration, "a service has no '" + field + "': see docs/OPERATING.md for its entries" };
        return it->second(rules, value);
    }

    Result<void> checkReplica(const std::string& field, const std::string& value)
    {
        if (field == "zone" && !value.empty())
            return BOOST_OUTCOME_V2_NAMESPACE::success();
        if (field == "state" && (value == "in-use" || value == "drain"))
            return BOOST_OUTCOME_V2_NAMESPACE::success();
        return Error { ResultCode::BadConfiguration, "a replica has zone: NAME and state: in-use or drain" };
    }

    Result<void> checkEntry(const std::string& path, const std::string& value)
    {
        auto parts = split(path);
        for (const auto& part : parts) {
            if (part.empty())
                return Error { ResultCode::BadConfiguration, "a part of the path is empty" };
        }
        ServiceRules service;
        AccountRules account;
        if (parts.size() == 3 && parts[0] == "service")
            return setService(service, parts[2], value);
        if (parts.size() == 3 && parts[0] == "account")
            return setAccount(account, parts[2], value);
        if (parts.size() == 4 && parts[0] == "replica")
            return checkReplica(parts[3], value);
        if (parts.size() == 4 && parts[0] == "site" && parts[2] == "zone")
            return BOOST_OUTCOME_V2_NAMESPACE::success();
        return Error { ResultCode::BadConfiguration, "unknown path: use site/, replica/, service/ or account/ entries" };
    }

} // namespace

Result<void> Configuration::validate(const Entries& puts)
{
    for (const auto& [path, value] : puts) {
        if (auto checked = checkEntry(path, value); !checked)
            return Error { ResultCode::BadConfiguration, path + ": " + checked.error().message };
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void Configuration::apply(const ConfigCommand& change, ConfigVersion to)
{
    for (const auto& path : change.removes)
        m_entries.erase(path);
    for (const auto& [path, value] : change.puts)
        m_entries[path] = value;
    m_version = to;
    m_number = change.number;
    rebuildRules();
}

bool Configuration::applyDelta(const ConfigDelta& delta)
{
    bool isSnapshot = delta.from == ConfigVersion();
    if (delta.to <= m_version || (!isSnapshot && delta.from != m_version))
        return false;
    if (isSnapshot)
        m_entries.clear();
    apply({ delta.number, {}, {}, delta.puts, delta.removes }, delta.to);
    return true;
}

ConfigDelta Configuration::snapshot() const { return { {}, m_version, m_number, m_entries, {} }; }

void Configuration::restore(ConfigVersion version, std::uint64_t number, Entries entries)
{
    m_version = version;
    m_number = number;
    m_entries = std::move(entries);
    rebuildRules();
}

const ServiceRules* Configuration::service(const std::string& name) const
{
    auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : &it->second;
}

AccountRules Configuration::account(const std::string& name) const
{
    auto it = m_accounts.find(name);
    return it == m_accounts.end() ? AccountRules() : it->second;
}

bool Configuration::isDrained(const std::string& service, const std::string& replica) const
{
    auto it = m_entries.find("replica/" + service + "/" + replica + "/state");
    return it != m_entries.end() && it->second == "drain";
}

void Configuration::rebuildRules()
{
    m_services.clear();
    m_accounts.clear();
    for (const auto& [path, value] : m_entries) {
        auto parts = split(path);
        if (parts.size() != 3)
            continue;
        // Entries were validated before they were accepted; an unknown one comes from a newer version and is passed over.
        if (parts[0] == "service")
            (void)setService(m_services[parts[1]], parts[2], value);
        else if (parts[0] == "account")
            (void)setAccount(m_accounts[parts[1]], parts[2], value);
    }
}

} // namespace wrenhinge
