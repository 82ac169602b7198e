/** \file
 * The bearer tokens of client accounts, kept as salted hashes.
 *
 * A token is `<account>.<secret>`, so that the account is found by name and only one hash is computed. The accounts file is YAML: a list
 * `accounts` of `name`, `salt` (any text) and `sha256` (of salt and secret, in hex).
 */
#pragma once

#include "base/ResultCode.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace wrenhinge {

class AccountBook {
public:
    static constexpr std::string_view anonymous = "anonymous";

    /// Identifies every caller as `anonymous`.
    AccountBook() = default;
    static Result<AccountBook> read(const std::string& file);
    static Result<AccountBook> parse(const std::string& text, const std::string& file);

    /// \returns the account of an `Authorization` header's value, or nothing if the token is invalid.
    [[nodiscard]] std::optional<std::string> identify(std::string_view authorization) const;

private:
    struct Account {
        std::string salt;
        std::string hash;
    };
    bool m_isOpen = true;
    std::unordered_map<std::string, Account> m_accounts;
};

/// The hash of a secret, as in an accounts file.
std::string hashSecret(const std::string& salt, const std::string& secret);

} // namespace wrenhinge
