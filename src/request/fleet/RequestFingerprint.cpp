#include "request/fleet/RequestFingerprint.h"

#include <xxhash.h>

namespace wrenhinge {

/// Each part is hashed with what came before it as its seed, so that none can end where another one begins.
RequestFingerprint fingerprintOf(const RequestParts& parts)
{
    std::uint64_t hash = 0;
    for (auto part : { parts.method, parts.host, parts.target, parts.body })
        hash = XXH3_64bits_withSeed(part.data(), part.size(), hash);
    return RequestFingerprint(hash);
}

RequestFingerprint fingerprintForAccount(RequestFingerprint fingerprint, std::string_view account)
{
    if (account.empty())
        return fingerprint;
    return RequestFingerprint(XXH3_64bits_withSeed(account.data(), account.size(), fingerprint.value()));
}

} // namespace wrenhinge
