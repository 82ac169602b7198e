/** \file
 * Which requests a buffer of limited size takes, so that a few large ones can't take the room of the many small ones.
 *
 * Dynamic thresholds: Choudhury and Hahne, Dynamic Queue Length Thresholds for Shared-Memory Packet Switches, 1998.
 */
#pragma once

#include <cstddef>

namespace wrenhinge {

/// \returns whether a buffer that holds `used` bytes of `limit` takes so many more: at most half of what is free. One that is alone is
/// always taken.
constexpr bool fitsBeside(std::size_t used, std::size_t bytes, std::size_t limit)
{
    auto free = limit > used ? limit - used : 0;
    return !used || bytes <= free / 2;
}

} // namespace wrenhinge
