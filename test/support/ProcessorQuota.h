/** \file
 * Gives a child process of a test a share of a core: in each tenth of a second it runs until the share is used up, and then not at all.
 */
#pragma once

#include "Process.h"

#include <atomic>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

namespace wrenhinge::test {

class ProcessorQuota {
public:
    /// \param share of a core of this machine.
    ProcessorQuota(Process& process, double share)
        : m_process(process)
        , m_quota(std::chrono::duration_cast<std::chrono::nanoseconds>(share * period))
        , m_thread([this] { run(); })
    {
    }
    ~ProcessorQuota()
    {
        m_isEnding = true;
        m_thread.join();
    }
    ProcessorQuota(const ProcessorQuota&) = delete;
    ProcessorQuota& operator=(const ProcessorQuota&) = delete;

private:
    static constexpr std::chrono::milliseconds period { 100 };

    void run()
    {
        constexpr std::chrono::milliseconds look { 1 };
        while (!m_isEnding) {
            auto end = std::chrono::steady_clock::now() + period;
            auto usedBefore = used();
            while (used() - usedBefore < m_quota && std::chrono::steady_clock::now() < end)
                std::this_thread::sleep_for(look);
            if (std::chrono::steady_clock::now() >= end)
                continue;
            m_process.signal(SIGSTOP);
            std::this_thread::sleep_until(end);
            m_process.signal(SIGCONT);
        }
    }

    /// The time for which the process's threads have run.
    [[nodiscard]] std::chrono::nanoseconds used() const
    {
        auto folder = "/proc/" + std::to_string(m_process.id()) + "/task";
        std::chrono::nanoseconds sum {};
        std::error_code ec;
        for (const auto& thread : std::filesystem::directory_iterator(folder, ec)) {
            std::ifstream in(thread.path() / "schedstat");
            std::chrono::nanoseconds::rep ran = 0;
            in >> ran;
            sum += std::chrono::nanoseconds(ran);
        }
        return sum;
    }

    Process& m_process;
    std::chrono::nanoseconds m_quota;
    std::atomic<bool> m_isEnding = false;
    std::thread m_thread; ///< Declared last: it uses all others.
};

} // namespace wrenhinge::test
