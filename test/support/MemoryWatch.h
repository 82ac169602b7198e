/** \file
 * Watches the memory of a child process of a test, and ends the process once it has more than its machine would have.
 */
#pragma once

#include "Process.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <utility>

namespace wrenhinge::test {

#ifdef __SANITIZE_ADDRESS__
inline constexpr bool isMemoryMeasured = false; // A sanitizer keeps freed memory.
#else
inline constexpr bool isMemoryMeasured = true;
#endif

class MemoryWatch {
public:
    /// \param ports the process listens on these; what has arrived on their connections and is not read yet counts as its memory.
    MemoryWatch(Process& process, std::set<std::uint16_t> ports, std::size_t limit)
        : m_process(process)
        , m_ports(std::move(ports))
        , m_limit(limit)
        , m_thread([this] { run(); })
    {
    }
    ~MemoryWatch()
    {
        m_isEnding = true;
        m_thread.join();
    }
    MemoryWatch(const MemoryWatch&) = delete;
    MemoryWatch& operator=(const MemoryWatch&) = delete;

    /// \returns the most since the last call, in bytes.
    std::size_t takeMost() { return m_most.exchange(0); }
    /// \returns the processor time since the last call, in seconds.
    double takeProcessorSeconds()
    {
        std::ifstream in("/proc/" + std::to_string(m_process.id()) + "/stat");
        std::string text;
        std::getline(in, text);
        // Behind the name in brackets: state, then ten numbers, then user and system time in ticks.
        std::istringstream words(text.substr(text.rfind(')') + 1));
        constexpr int skipped = 11;
        std::string word;
        for (int i = 0; i < skipped; ++i)
            words >> word;
        double user = 0;
        double system = 0;
        words >> user >> system;
        auto seconds = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
        return seconds - std::exchange(m_processorSeconds, seconds);
    }
    /// Whether the process was ended because it had more than the limit.
    [[nodiscard]] bool wasExceeded() const { return m_wasExceeded; }

private:
    void run()
    {
        constexpr std::chrono::milliseconds interval { 10 };
        // A list of thousands of connections takes long to read.
        constexpr int looksForEachCount = 20;
        std::size_t unread = 0;
        for (int look = 0; !m_isEnding; ++look) {
            if (look % looksForEachCount == 0)
                unread = unreadBytes();
            auto bytes = residentBytes() + unread;
            if (bytes > m_most)
                m_most = bytes;
            if (bytes > m_limit && !m_wasExceeded.exchange(true))
                m_process.signal(SIGKILL);
            std::this_thread::sleep_for(interval);
        }
    }

    [[nodiscard]] std::size_t residentBytes() const
    {
        std::ifstream in("/proc/" + std::to_string(m_process.id()) + "/statm");
        std::size_t all = 0;
        std::size_t resident = 0;
        in >> all >> resident;
        return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    }

    /// What the kernel holds for connections to the ports.
    [[nodiscard]] std::size_t unreadBytes() const
    {
        std::ifstream in("/proc/net/tcp");
        std::string line;
        std::getline(in, line);
        std::size_t sum = 0;
        while (std::getline(in, line)) {
            // Each line is `sl local_address rem_address st tx_queue:rx_queue ...`, in hexadecimal.
            std::istringstream words(line);
            std::string number;
            std::string local;
            std::string remote;
            std::string state;
            std::string queues;
            words >> number >> local >> remote >> state >> queues;
            auto port = static_cast<std::uint16_t>(std::stoul(local.substr(local.find(':') + 1), nullptr, 16));
            constexpr auto established = "01";
            if (state == established && m_ports.contains(port))
                sum += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
        }
        return sum;
    }

    Process& m_process;
    std::set<std::uint16_t> m_ports;
    std::size_t m_limit;
    double m_processorSeconds = 0;
    std::atomic<std::size_t> m_most = 0;
    std::atomic<bool> m_wasExceeded = false;
    std::atomic<bool> m_isEnding = false;
    std::thread m_thread; ///< Declared last: it uses all others.
};

} // namespace wrenhinge::test
