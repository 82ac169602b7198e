#include "base/Ids.h"

#include <array>
#include <cstdio>

namespace wrenhinge {

namespace {

    std::string hexadecimal(std::uint64_t n)
    {
        std::array<char, 20> buf {};
        std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(n));
        return buf.data();
    }

} // namespace

std::string toString(PeerId id) { return hexadecimal(id.value()); }

std::string toString(ContentFingerprint fingerprint) { return hexadecimal(fingerprint.value()); }

std::string toString(AccountId id) { return hexadecimal(id.value()); }

std::string toString(LimitId id) { return hexadecimal(id.value()); }

std::string toString(StreamId id) { return hexadecimal(id.value()); }

std::string toString(const RequestId& id) { return toString(id.origin) + "-" + std::to_string(id.sequence); }

std::string toString(const ReplicaRun& run)
{
    return run.start == ReplicaStart() ? run.id : run.id + "@" + std::to_string(run.start.value());
}

} // namespace wrenhinge
