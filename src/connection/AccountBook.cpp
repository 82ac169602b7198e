#include "connection/AccountBook.h"

#include "base/SecretDigest.h"
#include "base/SettingsNode.h"

#include <fstream>
#include <openssl/crypto.h>
#include <sstream>

namespace wrenhinge {

namespace {

    constexpr std::string_view bearer = "Bearer ";

    Result<std::string> anyText(const std::string& text)
    {
        if (text.empty())
            return Error { ResultCode::BadSettings, "is empty; write a value" };
        return text;
    }

} // namespace

std::string hashSecret(const std::string& salt, const std::string& secret) { return SecretDigest::of(salt + secret).hex(); }

Result<AccountBook> AccountBook::read(const std::string& file)
{
    std::ifstream in(file);
    if (!in)
        return Error { ResultCode::BadSettings, file + ": can't be read; check the path and its permissions" };
    std::ostringstream text;
    text << in.rdbuf();
    return parse(text.str(), file);
}

Result<AccountBook> AccountBook::parse(const std::string& text, const std::string& file)
{
    AccountBook book;
    book.m_isOpen = false;
    SettingsErrors mistakes { file, {} };
    try {
        SettingsNode root(YAML::Load(text), "", mistakes);
        root.maps("accounts", [&book](SettingsNode& one) {
            std::string name;
            Account account;
            one.required("name", name, anyText);
            one.required("salt", account.salt, anyText);
            one.required("sha256", account.hash, anyText);
            book.m_accounts[name] = account;
        });
        root.reportUnknownKeys();
    } catch (const YAML::Exception& e) {
        return Error { ResultCode::BadSettings, file + ":" + std::to_string(e.mark.line + 1) + ": not YAML: " + e.msg };
    }
    if (!mistakes.lines.empty())
        return Error { ResultCode::BadSettings, mistakes.lines.front() };
    return book;
}

std::optional<std::string> AccountBook::identify(std::string_view authorization) const
{
    if (m_isOpen)
        return std::string(anonymous);
    if (!authorization.starts_with(bearer))
        return std::nullopt;
    auto token = std::string(authorization.substr(bearer.size()));
    auto dot = token.find('.');
    if (dot == std::string::npos)
        return std::nullopt;
    auto it = m_accounts.find(token.substr(0, dot));
    if (it == m_accounts.end())
        return std::nullopt;
    auto hash = hashSecret(it->second.salt, token.substr(dot + 1));
    // Constant time: how far a guess agrees must not show in how long the answer takes.
    bool isRight = hash.size() == it->second.hash.size() && CRYPTO_memcmp(hash.data(), it->second.hash.data(), hash.size()) == 0;
    return isRight ? std::optional(it->first) : std::nullopt;
}

} // namespace wrenhinge
