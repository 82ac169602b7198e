/** \file
 * A controller's data folder in a test, with the log and the count of refusals of whoever reads and writes there.
 */
#pragma once

#include "Folder.h"
#include "process/PersistedList.h"

#include <thread>

namespace wrenhinge::test {

struct ControllerFolder {
    Folder folder;
    LogSettings settings;
    EventLog log { settings, "test" };
    RefusalLog refusals { log };
};

/// Waits until the memory has written what it was given, as another start would find it.
template <typename Entry> std::vector<Entry> written(const PersistedList<Entry>& memory, std::size_t n)
{
    for (;;) {
        if (auto list = memory.load(); list.size() == n)
            return list;
        std::this_thread::sleep_for(5ms);
    }
}

} // namespace wrenhinge::test
