#include "base/Ids.h"

#include <cstdio>

namespace wrenhinge {

std::string toString(PeerId id)
{
    char buf[20];
    std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(id.value()));
    return buf;
}

std::string toString(const RequestId& id) { return toString(id.origin) + "-" + std::to_string(id.sequence); }

std::string toString(const ReplicaRun& run)
{
    return run.start == ReplicaStart() ? run.id : run.id + "@" + std::to_string(run.start.value());
}

} // namespace wrenhinge
