#include "version/RoutingDocument.h"

#include <algorithm>
#include <functional>
#include <set>

namespace wrenhinge {

namespace {

    Error invalid(const std::string& what) { return { ResultCode::BadConfiguration, what }; }

    std::string routeKey(std::string_view host, std::string_view prefix) { return std::string(host) + std::string(prefix); }

    Result<void> validateRoute(const Route& route, const std::set<std::string>& services)
    {
        auto name = "route '" + route.name + "'";
        if (route.host.empty())
            return invalid(name + " has no host; add the host of its requests");
        if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/')
            return invalid(name + " has the prefix '" + route.prefix + "'; it must begin and end with a slash");
        if (route.timeout <= Duration::zero())
            return invalid(name + " has no timeout; set one above zero");
        std::uint64_t weights = 0;
        for (const auto& target : route.targets) {
            if (!services.contains(target.service))
                return invalid(name + " names the unknown service '" + target.service + "'; add the service or correct the name");
            weights += target.weight;
        }
        if (!weights)
            return invalid(name + " has no service with a weight above zero");
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    Result<void> validateAccounts(const std::vector<AccountRule>& accounts)
    {
        std::set<std::string> names;
        std::map<SecretDigest, std::string> keyOwners;
        for (const auto& account : accounts) {
            if (!names.insert(account.name).second)
                return invalid("account '" + account.name + "' is defined twice; remove one");
            for (const auto& key : account.keys) {
                if (auto [it, isNew] = keyOwners.emplace(key, account.name); !isNew && it->second != account.name)
                    return invalid("accounts '" + it->second + "' and '" + account.name + "' have the same key; use different keys");
            }
        }
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

} // namespace

std::string_view nameOf(QuotaRule::Unit unit) { return unit == QuotaRule::Unit::Tokens ? "tokens" : "requests"; }

Result<void> validate(const RoutingDocument& document)
{
    std::set<std::string> services;
    for (const auto& service : document.services) {
        if (!services.insert(service.name).second)
            return invalid("service '" + service.name + "' is defined twice; remove one");
    }
    std::set<std::string> routeKeys;
    for (const auto& route : document.routes) {
        if (auto valid = validateRoute(route, services); !valid)
            return valid;
        if (!routeKeys.insert(routeKey(route.host, route.prefix)).second)
            return invalid("two routes share " + route.host + route.prefix + "; remove one");
    }
    if (document.accounts)
        return validateAccounts(*document.accounts);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

RouteTable::RouteTable(RoutingDocument document)
    : m_document(std::move(document))
{
    std::set<std::size_t, std::greater<>> lengths;
    for (std::size_t i = 0; i < m_document.routes.size(); ++i) {
        auto key = routeKey(m_document.routes[i].host, m_document.routes[i].prefix);
        lengths.insert(key.size());
        m_routes[std::move(key)] = i;
    }
    m_keyLengths.assign(lengths.begin(), lengths.end());
    for (std::size_t i = 0; i < m_document.services.size(); ++i)
        m_services[m_document.services[i].name] = i;
    for (std::size_t i = 0; m_document.accounts && i < m_document.accounts->size(); ++i) {
        for (const auto& key : (*m_document.accounts)[i].keys)
            m_keys[key] = i;
    }
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const
{
    auto candidateKey = routeKey(host, path);
    // Not each slash of the path: callers may send thousands.
    for (auto length : m_keyLengths) {
        if (length <= host.size())
            break;
        if (length > candidateKey.size() || candidateKey[length - 1] != '/')
            continue;
        candidateKey.resize(length);
        if (auto it = m_routes.find(candidateKey); it != m_routes.end())
            return &m_document.routes[it->second];
    }
    return nullptr;
}

const ServiceRule* RouteTable::service(const std::string& name) const
{
    auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : &m_document.services[it->second];
}

const AccountRule* RouteTable::account(const SecretDigest& key) const
{
    auto it = m_keys.find(key);
    return it == m_keys.end() ? nullptr : &(*m_document.accounts)[it->second];
}

std::string normalisedHost(std::string_view host)
{
    if (auto colon = host.rfind(':'); colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos)
        host = host.substr(0, colon);
    std::string text(host);
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

} // namespace wrenhinge
