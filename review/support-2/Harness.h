/** \file
 * What the cases of the second review share: processes of the project, stand-ins for replicas, clients, and the record of a run.
 *
 * It needs the standard library and sockets alone. All addresses are loopback ones.
 */
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace harness {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Exit codes of a case.
constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

inline void sleepFor(std::chrono::milliseconds time) { std::this_thread::sleep_for(time); }

/// Whether the disruption is to be played.
inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

// --- Record -----------------------------------------------------------------------------------------------------

/// Writes what was sent, answered and run to the file named by RECORD, with the seconds since the start.
class Record {
public:
    static Record& get()
    {
        static Record record;
        return record;
    }
    [[gnu::format(printf, 2, 3)]] void line(const char* format, ...)
    {
        std::lock_guard lock(m_mutex);
        if (!m_file)
            return;
        std::fprintf(m_file, "%8.3f ", seconds());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }
    [[nodiscard]] double seconds() const { return std::chrono::duration<double>(Clock::now() - m_start).count(); }

private:
    Record()
    {
        const char* path = std::getenv("RECORD");
        m_file = std::fopen(path ? path : "record.txt", "w");
    }
    std::mutex m_mutex;
    std::FILE* m_file = nullptr;
    Time m_start = Clock::now();
};

[[noreturn]] inline void cannotRun(const std::string& why)
{
    Record::get().line("the case could not run: %s", why.c_str());
    std::fprintf(stderr, "could not run: %s\n", why.c_str());
    std::exit(exitNotRun);
}

// --- Sockets ----------------------------------------------------------------------------------------------------

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline std::string addressOf(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

/// A socket that is closed with its owner.
class Socket {
public:
    explicit Socket(int fd = -1)
        : m_fd(fd)
    {
    }
    ~Socket() { close(); }
    Socket(Socket&& other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    {
    }
    Socket& operator=(Socket&& other) noexcept
    {
        close();
        m_fd = std::exchange(other.m_fd, -1);
        return *this;
    }
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;

    [[nodiscard]] int fd() const { return m_fd; }
    explicit operator bool() const { return m_fd >= 0; }
    void close()
    {
        if (m_fd >= 0)
            ::close(std::exchange(m_fd, -1));
    }
    [[nodiscard]] bool write(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            auto n = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }
    /// \returns false at the end of the connection, or when the time has passed.
    [[nodiscard]] bool read(std::string& into, Time until) const
    {
        auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
        pollfd wait { m_fd, POLLIN, 0 };
        if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[16384];
        auto n = ::recv(m_fd, bytes, sizeof bytes, 0);
        if (n <= 0)
            return false;
        into.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

private:
    int m_fd;
};

inline Socket connectTo(std::uint16_t port)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    auto address = loopback(port);
    int on = 1;
    ::setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(socket.fd(), reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
        socket.close();
    return socket;
}

/// A port that stays bound, without listening, so that nothing else gets it. A process that reuses addresses may listen there.
class HeldPort {
public:
    HeldPort()
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        int on = 1;
        ::setsockopt(m_socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = loopback(0);
        socklen_t size = sizeof address;
        if (::bind(m_socket.fd(), reinterpret_cast<sockaddr*>(&address), size) != 0)
            cannotRun("no free port");
        ::getsockname(m_socket.fd(), reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
    }
    [[nodiscard]] std::uint16_t port() const { return m_port; }

private:
    Socket m_socket;
    std::uint16_t m_port = 0;
};

// --- HTTP -------------------------------------------------------------------------------------------------------

inline bool isSameName(std::string_view a, std::string_view b)
{
    return a.size() == b.size()
        && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return std::tolower(x) == std::tolower(y); });
}

/// The head of a request or an answer.
struct Head {
    std::string firstLine;
    Headers headers;
    [[nodiscard]] std::string value(std::string_view name) const
    {
        for (const auto& [field, text] : headers) {
            if (isSameName(field, name))
                return text;
        }
        return "";
    }
    [[nodiscard]] int status() const { return firstLine.size() > 11 ? std::atoi(firstLine.c_str() + 9) : 0; }
    [[nodiscard]] std::string method() const { return firstLine.substr(0, firstLine.find(' ')); }
    [[nodiscard]] std::string path() const
    {
        auto from = firstLine.find(' ') + 1;
        return firstLine.substr(from, firstLine.find(' ', from) - from);
    }
};

/// Takes a head off the front of the bytes, if a whole one is there.
inline std::optional<Head> takeHead(std::string& bytes)
{
    auto end = bytes.find("\r\n\r\n");
    if (end == std::string::npos)
        return std::nullopt;
    Head head;
    std::size_t at = 0;
    while (at < end) {
        auto next = std::min(bytes.find("\r\n", at), end);
        auto line = bytes.substr(at, next - at);
        if (at == 0)
            head.firstLine = line;
        else if (auto colon = line.find(':'); colon != std::string::npos)
            head.headers.emplace_back(line.substr(0, colon), line.substr(std::min(line.size(), line.find_first_not_of(' ', colon + 1))));
        at = next + 2;
    }
    bytes.erase(0, end + 4);
    return head;
}

inline std::string headText(const std::string& firstLine, const Headers& headers)
{
    auto text = firstLine + "\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "\r\n";
}

struct Answer {
    int status = 0; ///< Zero: no head came.
    Head head;
    std::string body;
    bool isWhole = false; ///< The body came to its proper end.
};

/// A client's call on a connection of its own, which can be left at any time.
class Call {
public:
    Call(std::uint16_t port, const std::string& method, const std::string& path, const Headers& headers, const std::string& body = "")
        : m_socket(connectTo(port))
    {
        auto all = headers;
        if (!body.empty() || method == "POST" || method == "PUT")
            all.emplace_back("Content-Length", std::to_string(body.size()));
        m_isSent = m_socket && m_socket.write(headText(method + " " + path + " HTTP/1.1", all) + body);
    }
    /// Reads until the answer has ended, `isEnough` says so, or the time has passed.
    Answer read(std::chrono::milliseconds limit, const std::function<bool(const Answer&)>& isEnough = {})
    {
        auto until = Clock::now() + limit;
        while (m_isSent && !m_answer.isWhole) {
            if (isEnough && isEnough(m_answer))
                break;
            bool hasMore = m_socket.read(m_bytes, until);
            take();
            if (!hasMore)
                break;
        }
        return m_answer;
    }
    void leave() { m_socket.close(); }
    [[nodiscard]] bool isSent() const { return m_isSent; }

private:
    void take()
    {
        while (!m_answer.status) {
            auto head = takeHead(m_bytes);
            if (!head)
                return;
            if (head->status() / 100 == 1)
                continue;
            m_answer.head = *head;
            m_answer.status = head->status();
        }
        if (isSameName(m_answer.head.value("Transfer-Encoding"), "chunked"))
            return takeChunks();
        m_answer.body += std::exchange(m_bytes, {});
        auto length = m_answer.head.value("Content-Length");
        m_answer.isWhole = !length.empty() && m_answer.body.size() >= static_cast<std::size_t>(std::atoll(length.c_str()));
    }
    void takeChunks()
    {
        for (;;) {
            auto end = m_bytes.find("\r\n");
            if (end == std::string::npos)
                return;
            auto size = std::strtoul(m_bytes.c_str(), nullptr, 16);
            if (m_bytes.size() < end + 2 + size + 2)
                return;
            m_answer.body += m_bytes.substr(end + 2, size);
            m_bytes.erase(0, end + 2 + size + 2);
            if (!size) {
                m_answer.isWhole = true;
                return;
            }
        }
    }

    Socket m_socket;
    bool m_isSent = false;
    std::string m_bytes;
    Answer m_answer;
};

inline Answer call(std::uint16_t port, const std::string& method, const std::string& path, const std::string& body = "",
    const Headers& headers = {}, std::chrono::milliseconds limit = 1000ms)
{
    auto all = headers;
    if (Head { "", headers }.value("Host").empty())
        all.insert(all.begin(), { "Host", addressOf(port) });
    return Call(port, method, path, all, body).read(limit);
}

// --- Stand-ins for replicas -------------------------------------------------------------------------------------

/// A request that a stand-in has read whole, and its connection.
struct Request {
    Head head;
    std::string body;
    const Socket& socket;
};

/// A listening stand-in. Each connection has a thread of its own and serves one request after the other.
class Server {
public:
    /// \returns whether the connection is kept.
    using Handler = std::function<bool(const Request&)>;

    explicit Server(Handler handler)
        : m_handler(std::move(handler))
    {
        start();
    }
    ~Server()
    {
        stop();
        for (auto& thread : m_threads)
            thread.join();
    }
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_port.port(); }
    [[nodiscard]] std::string address() const { return addressOf(port()); }
    /// The process begins, or begins again, at the same address.
    void start()
    {
        m_listener = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        int on = 1;
        ::setsockopt(m_listener.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = loopback(port());
        bool isOpen
            = ::bind(m_listener.fd(), reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 && ::listen(m_listener.fd(), 128) == 0;
        if (!isOpen)
            cannotRun("a stand-in can't listen");
        std::lock_guard lock(m_mutex);
        m_isStopped = false;
        m_threads.emplace_back([this, fd = m_listener.fd()] { accept(fd); });
    }
    /// Listens no more, and leaves its connections open.
    void closeListener() { ::shutdown(m_listener.fd(), SHUT_RDWR); }
    /// The process is killed: it listens no more, and all its connections end.
    void stop()
    {
        std::lock_guard lock(m_mutex);
        if (std::exchange(m_isStopped, true))
            return;
        ::shutdown(m_listener.fd(), SHUT_RDWR);
        for (int fd : m_open)
            ::shutdown(fd, SHUT_RDWR);
        m_listener.close();
    }

private:
    void accept(int listener)
    {
        for (;;) {
            int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            std::lock_guard lock(m_mutex);
            if (fd < 0 || m_isStopped) {
                if (fd >= 0)
                    ::close(fd);
                return;
            }
            int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            m_open.insert(fd);
            m_threads.emplace_back([this, fd] { serve(fd); });
        }
    }
    void serve(int fd)
    {
        Socket socket(fd);
        std::string bytes;
        for (bool isKept = true; isKept;) {
            auto head = takeHead(bytes);
            if (!head) {
                if (!socket.read(bytes, Clock::now() + 60s))
                    break;
                continue;
            }
            auto length = static_cast<std::size_t>(std::atoll(head->value("Content-Length").c_str()));
            while (bytes.size() < length && socket.read(bytes, Clock::now() + 60s)) { }
            if (bytes.size() < length)
                break;
            auto body = bytes.substr(0, length);
            bytes.erase(0, length);
            isKept = m_handler({ *head, std::move(body), socket });
        }
        std::lock_guard lock(m_mutex);
        m_open.erase(fd);
        socket.close();
    }

    Handler m_handler;
    HeldPort m_port;
    std::mutex m_mutex;
    Socket m_listener;
    bool m_isStopped = true;
    std::set<int> m_open;
    std::vector<std::thread> m_threads;
};

inline bool writeChunk(const Socket& socket, const std::string& bytes)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return socket.write(size + bytes + "\r\n");
}

/// Whether the peer has closed its side.
inline bool hasLeft(const Socket& socket)
{
    char byte = 0;
    return ::recv(socket.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

// --- Processes of the project -----------------------------------------------------------------------------------

class Process {
public:
    Process(const std::string& settings, const std::string& log)
    {
        m_id = ::fork();
        if (m_id < 0)
            cannotRun("no process");
        if (m_id)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(fd, STDOUT_FILENO);
        ::dup2(fd, STDERR_FILENO);
        ::execl("target/wrenhinge-platform", "target/wrenhinge-platform", "--settings", settings.c_str(), nullptr);
        ::_exit(127);
    }
    ~Process() { end(SIGKILL); }
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;
    void signal(int number) const
    {
        if (m_id > 0)
            ::kill(m_id, number);
    }
    /// Sends the signal and waits for the end.
    void end(int number)
    {
        if (m_id <= 0)
            return;
        signal(SIGCONT);
        signal(number);
        ::waitpid(std::exchange(m_id, -1), nullptr, 0);
    }
    /// How the process has ended by itself; nothing: it runs. As waitpid reports it.
    std::optional<int> ownEnd()
    {
        int status = 0;
        if (m_id <= 0 || ::waitpid(m_id, &status, WNOHANG) != m_id)
            return std::nullopt;
        m_id = -1;
        return status;
    }
    [[nodiscard]] pid_t id() const { return m_id; }

private:
    pid_t m_id = -1;
};

template <typename F> bool waitUntil(F isReached, std::chrono::milliseconds limit)
{
    for (auto until = Clock::now() + limit; Clock::now() < until; sleepFor(10ms)) {
        if (isReached())
            return true;
    }
    return false;
}

/// Controllers and gateways with the settings that the templates of the deploy file give a small deployment.
class Site {
public:
    struct Controller {
        HeldPort peers;
        HeldPort door;
        std::unique_ptr<Process> process {};
    };
    struct Gateway {
        HeldPort peers;
        HeldPort callers;
        HeldPort ready;
        HeldPort admin;
        std::unique_ptr<Process> process {};
    };

    Site(std::size_t controllers, std::size_t gateways)
        : m_controllers(controllers)
        , m_gateways(gateways)
    {
        std::string folder = "/tmp/wrenhinge-review-XXXXXX";
        if (!::mkdtemp(folder.data()))
            cannotRun("no temporary folder");
        m_folder = folder;
        for (std::size_t i = 0; i < controllers; ++i)
            startController(i, true);
        for (std::size_t i = 0; i < gateways; ++i)
            startGateway(i);
    }
    ~Site()
    {
        m_controllers.clear();
        m_gateways.clear();
        if (!std::getenv("KEEP"))
            (void)std::system(("rm -rf '" + m_folder + "'").c_str());
    }
    Site(const Site&) = delete;
    Site& operator=(const Site&) = delete;

    [[nodiscard]] const std::string& folder() const { return m_folder; }
    Controller& controller(std::size_t i) { return m_controllers[i]; }
    Gateway& gateway(std::size_t i) { return m_gateways[i]; }
    [[nodiscard]] std::size_t gateways() const { return m_gateways.size(); }
    [[nodiscard]] std::size_t controllers() const { return m_controllers.size(); }
    [[nodiscard]] std::uint16_t door(std::size_t i) const { return m_controllers[i].door.port(); }
    [[nodiscard]] std::uint16_t callers(std::size_t i) const { return m_gateways[i].callers.port(); }

    void startController(std::size_t i, bool isFirst)
    {
        std::string seeds;
        for (const auto& controller : m_controllers)
            seeds += (seeds.empty() ? "\"" : ", \"") + addressOf(controller.peers.port()) + "\"";
        auto name = "c" + std::to_string(i);
        auto& controller = m_controllers[i];
        controller.process = start(name,
            "role: controller\n" + common(name) + "listen: " + addressOf(controller.peers.port()) + "\nadmin: 127.0.0.1:0\n"
                + "controller:\n  data: \"" + m_folder + "/" + name + "\"\n  new-cluster: " + (isFirst ? "true" : "false") + "\n  seeds: ["
                + seeds + "]\n  losses-to-bear: 1\n  door: " + addressOf(controller.door.port())
                + "\n  election-timeout: 500ms\n  heartbeat: 120ms\n  order-lease: 3000ms\n");
    }
    void startGateway(std::size_t i)
    {
        std::string seeds;
        for (const auto& controller : m_controllers)
            seeds += (seeds.empty() ? "\"" : ", \"") + addressOf(controller.peers.port()) + "\"";
        auto name = "g" + std::to_string(i);
        auto& gateway = m_gateways[i];
        gateway.process = start(name,
            "role: gateway\n" + common(name) + "listen: " + addressOf(gateway.peers.port()) + "\nadmin: " + addressOf(gateway.admin.port())
                + "\ndrain-limit: 7800ms\ncontrollers: [" + seeds + "]\nretries: { ratio: 0.2, slack: 62, window: 10s }\n"
                + "callers:\n  listen: " + addressOf(gateway.callers.port()) + "\n  ready: " + addressOf(gateway.ready.port())
                + "\n  connection-limit: 3000\n");
    }

    /// Sends the configuration as the operator does: to one controller after the other until one acknowledges it.
    bool configure(const std::string& document, std::chrono::milliseconds limit = 15000ms)
    {
        std::size_t i = 0;
        return waitUntil(
            [&] {
                auto status
                    = call(door(i++ % m_controllers.size()), "PUT", "/-/config", document, { { "Content-Type", "application/json" } })
                          .status;
                Record::get().line("operator: configuration answered %d", status);
                return status == 200;
            },
            limit);
    }
    bool isReady(std::size_t i) { return call(m_gateways[i].ready.port(), "GET", "/-/ready").status == 200; }
    /// Waits for all gateways.
    void awaitReady()
    {
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            if (!waitUntil([&] { return isReady(i); }, 15000ms))
                cannotRun("a gateway does not become ready");
        }
    }

private:
    static std::string common(const std::string& name)
    {
        return "name: " + name
            + "\nsite: dar-coast\nzone: kariakoo\nworkers: 1\nmemory: 260MB\nannouncement-interval: 1200ms\n"
              "log: { level: info, to-standard-output: yes }\n";
    }
    std::unique_ptr<Process> start(const std::string& name, const std::string& settings) const
    {
        auto file = m_folder + "/" + name + ".yaml";
        std::ofstream(file) << settings;
        return std::make_unique<Process>(file, m_folder + "/" + name + ".log");
    }

    std::vector<Controller> m_controllers;
    std::vector<Gateway> m_gateways;
    std::string m_folder;
};

/// A heartbeat of a replica.
struct Beat {
    std::string id;
    std::string service;
    std::string address;
    std::string version = "v1";
    int slots = 8;
    std::string state = "ready";
    std::uint64_t born = 0;
    std::uint64_t sequence = 1;
    std::string stage {}; ///< Of an engine.
    [[nodiscard]] std::string body() const
    {
        return R"({"service":")" + service + R"(","addr":")" + address + R"(","zone":"kariakoo","version":")" + version + R"(","slots":)"
            + std::to_string(slots) + R"(,"state":")" + state + R"(","cold_left_ms":0,)"
            + (stage.empty() ? "" : R"("stage":")" + stage + R"(","models":[{"name":"m","version":1,"adapters":[]}],)") + R"("seq":)"
            + std::to_string(sequence) + R"(,"born":)" + std::to_string(born) + "}";
    }
    /// Sends it to a controller. \returns whether it was acknowledged.
    [[nodiscard]] bool send(std::uint16_t door) const
    {
        auto status = call(door, "PUT", "/-/instances/" + id, body(), { { "Content-Type", "application/json" } }).status;
        Record::get().line("heartbeat of %s: %s, %s, born %llu, seq %llu: answered %d", id.c_str(), version.c_str(), state.c_str(),
            static_cast<unsigned long long>(born), static_cast<unsigned long long>(sequence), status);
        return status / 100 == 2;
    }
};

inline std::uint64_t unixMilliseconds()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

} // namespace harness
