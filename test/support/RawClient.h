/** \file
 * A client of a test that sends what it likes, and the parts of requests that such clients are made of.
 */
#pragma once

#include "connection/Asio.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <mutex>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>

namespace wrenhinge::test {

inline std::uint16_t portOf(const std::string& address)
{
    return static_cast<std::uint16_t>(std::stoul(address.substr(address.find(':') + 1)));
}

/// Lets this process, and those that it starts, have as many descriptors as the system allows: crowds need thousands.
/// \returns true, so that a constant of a test can be initialised by it before anything starts.
inline bool raiseDescriptorLimit()
{
    rlimit limit {};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
    return true;
}

/// Lets processes that are started in its scope have so many descriptors, unless this process has fewer.
class DescriptorLimit {
public:
    explicit DescriptorLimit(rlim_t most)
    {
        ::getrlimit(RLIMIT_NOFILE, &m_former);
        rlimit limit { std::min(most, m_former.rlim_cur), m_former.rlim_max };
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    ~DescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &m_former); }
    DescriptorLimit(const DescriptorLimit&) = delete;
    DescriptorLimit& operator=(const DescriptorLimit&) = delete;

private:
    rlimit m_former {};
};

/// What the clients of a test send together is at most as much as an instance's link carries.
class Link {
public:
    explicit Link(std::size_t bytesPerSecond)
        : m_secondsPerByte(1.0 / static_cast<double>(bytesPerSecond))
    {
    }
    /// Waits until so many bytes may be sent.
    void wait(std::size_t bytes)
    {
        std::unique_lock lock(m_mutex);
        auto from = std::max(m_freeAt, std::chrono::steady_clock::now());
        auto took = std::chrono::duration<double>(static_cast<double>(bytes) * m_secondsPerByte);
        m_freeAt = from + std::chrono::duration_cast<std::chrono::steady_clock::duration>(took);
        lock.unlock();
        std::this_thread::sleep_until(from);
    }

private:
    double m_secondsPerByte;
    std::mutex m_mutex;
    std::chrono::steady_clock::time_point m_freeAt {};
};

/// A client's connection. Its writes and reads end without an error where the other side has closed.
class RawClient {
public:
    /// \param receiveBuffer what its system takes for it without being read, in bytes; zero: as much as it likes.
    explicit RawClient(const std::string& address, int receiveBuffer = 0)
    {
        ErrorCode ignored;
        m_socket.open(Tcp::v4(), ignored);
        if (receiveBuffer)
            m_socket.set_option(boost::asio::socket_base::receive_buffer_size(receiveBuffer), ignored);
        m_socket.connect({ boost::asio::ip::make_address(address.substr(0, address.find(':'))), portOf(address) }, ignored);
        timeval patience { 10, 0 };
        ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof patience);
        ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    }
    bool send(const std::string& bytes)
    {
        for (std::size_t sent = 0; sent < bytes.size();) {
            auto n = ::send(m_socket.native_handle(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }
    /// Sends what is taken at once, and leaves out the rest.
    void sendSome(const std::string& bytes)
    {
        (void)::send(m_socket.native_handle(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }
    /// Reads at most so many bytes of those that have come.
    void readSome(std::size_t most)
    {
        std::string part(most, ' ');
        (void)::recv(m_socket.native_handle(), part.data(), most, MSG_DONTWAIT);
    }
    /// \returns the status of the next answer; zero if there is none.
    int readStatus()
    {
        std::array<char, 4096> part {};
        std::string bytes;
        while (bytes.find("\r\n\r\n") == std::string::npos) {
            auto n = ::recv(m_socket.native_handle(), part.data(), part.size(), 0);
            if (n <= 0)
                return 0;
            bytes.append(part.data(), static_cast<std::size_t>(n));
        }
        return std::stoi(bytes.substr(bytes.find(' ') + 1, 3));
    }

private:
    inline static IoContext io;
    Tcp::socket m_socket { io };
};

inline std::string lengthField(std::size_t n) { return "Content-Length: " + std::to_string(n) + "\r\n"; }
inline std::string chunk(const std::string& bytes)
{
    std::array<char, 20> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}
inline const std::string chunked = "Transfer-Encoding: chunked\r\n";

/// Fields as short as they can be, so many that the head is just inside its limit.
inline std::string shortFields(std::size_t headerLimit)
{
    constexpr std::size_t spare = 400;
    std::string fields;
    while (fields.size() < headerLimit - spare)
        fields += "a:b\r\n";
    return fields;
}

} // namespace wrenhinge::test
