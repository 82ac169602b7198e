/** \file
 * How many of a process's descriptors callers may take. The others are for calls to replicas, links to other processes, files and the log:
 * without them a process that has read a request could not serve it.
 */
#pragma once

#include <algorithm>
#include <cstddef>
#include <sys/resource.h>

namespace wrenhinge {

/// \returns as many connections of callers as are wanted, but at most three quarters of the descriptors.
inline std::size_t connectionsWithinDescriptors(std::size_t wanted)
{
    rlimit limit {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) || limit.rlim_cur == RLIM_INFINITY)
        return wanted;
    return std::min<std::size_t>(wanted, limit.rlim_cur / 4 * 3);
}

} // namespace wrenhinge
