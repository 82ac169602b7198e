#include "request/fleet/ContentFingerprint.h"

#include <xxhash.h>

namespace wrenhinge {

/// Each part is hashed with the hash of the preceding parts as the seed, so that moving bytes from one part to the next changes the result.
ContentFingerprint fingerprintOf(const RequestParts& parts)
{
    std::uint64_t hash = 0;
    for (auto part : { parts.method, parts.host, parts.target, parts.body })
        hash = XXH3_64bits_withSeed(part.data(), part.size(), hash);
    return ContentFingerprint(hash);
}

ContentFingerprint fingerprintForAccount(ContentFingerprint fingerprint, std::string_view account)
{
    if (account.empty())
        return fingerprint;
    return ContentFingerprint(XXH3_64bits_withSeed(account.data(), account.size(), fingerprint.value()));
}

ContentFingerprint fingerprintOfPart(std::string_view id)
{
    // A seed of its own, so that a part never has the fingerprint of a request.
    constexpr std::uint64_t seed = 0x70617274;
    return ContentFingerprint(XXH3_64bits_withSeed(id.data(), id.size(), seed));
}

} // namespace wrenhinge
