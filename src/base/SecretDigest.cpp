#include "base/SecretDigest.h"

#include "base/ResultCode.h"

#include <openssl/evp.h>

namespace wrenhinge {

SecretDigest SecretDigest::of(std::string_view secret)
{
    SecretDigest digest;
    unsigned n = 0;
    if (!EVP_Digest(secret.data(), secret.size(), digest.m_bytes.data(), &n, EVP_sha256(), nullptr) || n != digest.m_bytes.size())
        internalError("SHA-256 is not available");
    return digest;
}

std::string SecretDigest::hex() const
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (auto byte : m_bytes) {
        text += digits[byte >> 4];
        text += digits[byte & 15];
    }
    return text;
}

std::string SecretDigest::shortHex() const
{
    constexpr std::size_t shown = 8;
    return hex().substr(0, shown);
}

} // namespace wrenhinge
