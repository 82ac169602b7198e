/** \file
 * The SHA-256 digest of a secret that callers present. The secret itself is not stored.
 *
 * Comparing and looking up digests leaks nothing about the secret: neither a digest nor the time of a look-up shows how close a guess
 * is. Digests may appear in memory and in dumps, where the secret itself must not.
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
    /// All 64 hexadecimal digits.
    [[nodiscard]] std::string hex() const;
    /// The first 8 digits: enough for an operator to tell two keys apart, too few to be mistaken for a key.
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
