/** \file
 * What is kept of a secret that callers show: its SHA-256.
 *
 * A digest can be compared and looked up without telling anything of the secret: how far a guess agrees with a right one shows neither in
 * the digest nor in the time that a look-up takes. It may stand in memory and in dumps where the secret itself must not.
 */
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <cstring>
#include <functional>
#include <string>
#include <string_view>

namespace wrenhinge {

class SecretDigest {
public:
    using Bytes = std::array<std::uint8_t, 32>;

    SecretDigest() = default;
    static SecretDigest of(std::string_view secret);

    [[nodiscard]] const Bytes& bytes() const { return m_bytes; }
    /// All of it, in hexadecimal digits.
    [[nodiscard]] std::string hex() const;
    /// The first digits: enough for an operator to tell two keys apart, too few to be taken for one.
    [[nodiscard]] std::string shortHex() const;
    auto operator<=>(const SecretDigest&) const = default;

private:
    Bytes m_bytes {};
};

} // namespace wrenhinge

template <> struct std::hash<wrenhinge::SecretDigest> {
    std::size_t operator()(const wrenhinge::SecretDigest& digest) const noexcept
    {
        std::size_t value = 0;
        std::memcpy(&value, digest.bytes().data(), sizeof value);
        return value;
    }
};
