/** \file
 * What the cases share: the project's programs as child processes, stand-ins for replicas, and a small HTTP client.
 *
 * Uses POSIX sockets and the standard library only. All addresses are loopback addresses.
 */
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

inline void pause(int milliseconds) { std::this_thread::sleep_for(Milliseconds(milliseconds)); }

/// The lines of record.txt: milliseconds since the start of the case, then what happened.
class Record {
public:
    explicit Record(const std::string& path)
        : m_out(path)
    {
    }
    void line(const std::string& text)
    {
        std::lock_guard lock(m_mutex);
        m_out << now() << " " << text << "\n";
        m_out.flush();
    }
    [[nodiscard]] long now() const { return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_start).count(); }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    Clock::time_point m_start = Clock::now();
};

/// Ports that stay bound, so that the kernel gives them to nobody else; a program that lets its address be used again may listen there.
class Ports {
public:
    std::string next()
    {
        int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int on = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
        socklen_t n = sizeof address;
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n);
        return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    }
};

inline sockaddr_in parseAddress(const std::string& text)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    auto colon = text.rfind(':');
    ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    return address;
}

struct Message {
    std::string start; ///< The request line or the status line.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    [[nodiscard]] int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
    [[nodiscard]] std::string header(const std::string& name) const
    {
        auto it = headers.find(name);
        return it == headers.end() ? "" : it->second;
    }
};

/// A blocking connection with a limit for each step.
class Connection {
public:
    explicit Connection(int fd = -1)
        : m_fd(fd)
    {
    }
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    bool connect(const std::string& address, int limit = 1000)
    {
        close();
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        auto to = parseAddress(address);
        int on = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        if (::connect(m_fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0)
            return true;
        int error = 0;
        socklen_t n = sizeof error;
        bool isConnected
            = errno == EINPROGRESS && wait(POLLOUT, limit) && ::getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &n) == 0 && !error;
        if (!isConnected)
            close();
        return isConnected;
    }
    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
        m_input.clear();
    }
    [[nodiscard]] bool isOpen() const { return m_fd >= 0; }
    [[nodiscard]] int fd() const { return m_fd; }

    bool write(const std::string& bytes, int limit = 5000)
    {
        for (std::size_t at = 0; at < bytes.size();) {
            auto n = ::send(m_fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (n > 0)
                at += static_cast<std::size_t>(n);
            else if ((errno != EAGAIN && errno != EINTR) || !wait(POLLOUT, limit))
                return false;
        }
        return true;
    }
    /// Reads what is there, waiting for at most `limit`. \returns the number of bytes; 0: the connection ended; -1: nothing came.
    int read(int limit)
    {
        if (!wait(POLLIN, limit))
            return -1;
        char buf[65536];
        auto n = ::recv(m_fd, buf, sizeof buf, MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
            return -1;
        if (n <= 0)
            return 0;
        m_input.append(buf, static_cast<std::size_t>(n));
        return static_cast<int>(n);
    }
    /// The next message with a length or in chunks. \returns nothing if the connection ended first or the time was over.
    std::optional<Message> readMessage(int limit)
    {
        auto end = Clock::now() + Milliseconds(limit);
        for (;;) {
            if (auto message = take())
                return message;
            auto left = std::chrono::duration_cast<Milliseconds>(end - Clock::now()).count();
            if (left <= 0)
                return std::nullopt;
            if (read(static_cast<int>(left)) == 0) {
                m_hasEnded = true;
                return std::nullopt;
            }
        }
    }
    /// Whether the last readMessage() failed because the other side closed or reset the connection.
    [[nodiscard]] bool hasEnded() const { return m_hasEnded; }
    /// Whether a part of a message has been read that is not whole yet.
    [[nodiscard]] bool hasPart() const { return !m_input.empty(); }

private:
    bool wait(short events, int limit) const
    {
        pollfd item { m_fd, events, 0 };
        return ::poll(&item, 1, limit) > 0;
    }
    std::optional<Message> take()
    {
        auto headEnd = m_input.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            return std::nullopt;
        Message message;
        std::istringstream head(m_input.substr(0, headEnd));
        std::getline(head, message.start);
        if (!message.start.empty() && message.start.back() == '\r')
            message.start.pop_back();
        for (std::string line; std::getline(head, line);) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            auto colon = line.find(':');
            auto name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            auto from = line.find_first_not_of(' ', colon + 1);
            message.headers[name] = from == std::string::npos ? "" : line.substr(from);
        }
        auto at = headEnd + 4;
        if (message.header("transfer-encoding") == "chunked") {
            for (;;) {
                auto lineEnd = m_input.find("\r\n", at);
                if (lineEnd == std::string::npos)
                    return std::nullopt;
                auto n = std::strtoul(m_input.c_str() + at, nullptr, 16);
                if (m_input.size() < lineEnd + 2 + n + 2)
                    return std::nullopt;
                message.body += m_input.substr(lineEnd + 2, n);
                at = lineEnd + 2 + n + 2;
                if (!n)
                    break;
            }
        } else {
            auto n = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
            if (m_input.size() < at + n)
                return std::nullopt;
            message.body = m_input.substr(at, n);
            at += n;
        }
        m_input.erase(0, at);
        return message;
    }

    int m_fd;
    std::string m_input;
    bool m_hasEnded = false;
};

inline std::string requestText(
    const std::string& method, const std::string& path, const std::string& host, const std::string& headers, const std::string& body)
{
    auto text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + headers;
    if (!body.empty() || method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

/// One call on a connection of its own. \returns the status; 0: no answer.
inline int callOnce(const std::string& address, const std::string& method, const std::string& path, const std::string& body,
    int limit = 1000, std::string* answerBody = nullptr)
{
    Connection connection;
    if (!connection.connect(address, limit))
        return 0;
    if (!connection.write(requestText(method, path, "x", "Content-Type: application/json\r\n", body)))
        return 0;
    auto answer = connection.readMessage(limit);
    if (answer && answerBody)
        *answerBody = answer->body;
    return answer ? answer->status() : 0;
}

/// One of the project's programs, started as the deploy file says, with the settings file in place of the platform's.
class Program {
public:
    Program(std::string program, std::string folder, std::string name, const std::string& settings)
        : m_program(std::move(program))
        , m_folder(std::move(folder))
        , m_name(std::move(name))
    {
        std::ofstream(m_folder + "/" + m_name + ".yaml") << settings;
    }
    ~Program() { kill(); }
    Program(const Program&) = delete;
    Program& operator=(const Program&) = delete;

    void start()
    {
        auto settings = m_folder + "/" + m_name + ".yaml";
        auto log = m_folder + "/" + m_name + ".log";
        m_id = ::fork();
        if (m_id == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            ::execl(m_program.c_str(), m_program.c_str(), "--settings", settings.c_str(), nullptr);
            ::_exit(127);
        }
    }
    void signal(int number) const
    {
        if (m_id > 0)
            ::kill(m_id, number);
    }
    void kill()
    {
        if (m_id <= 0)
            return;
        ::kill(m_id, SIGCONT);
        ::kill(m_id, SIGKILL);
        ::waitpid(m_id, nullptr, 0);
        m_id = -1;
    }
    /// \returns whether the process has ended by itself.
    bool hasEnded()
    {
        if (m_id <= 0 || ::waitpid(m_id, nullptr, WNOHANG) != m_id)
            return false;
        m_id = -1;
        return true;
    }
    [[nodiscard]] const std::string& name() const { return m_name; }
    /// Memory of its own in use, without the files of its program and libraries, in kB.
    [[nodiscard]] long ownKb() const
    {
        std::ifstream in("/proc/" + std::to_string(m_id) + "/status");
        for (std::string line; std::getline(in, line);) {
            if (line.rfind("RssAnon:", 0) == 0)
                return std::atol(line.c_str() + 8);
        }
        return 0;
    }

private:
    std::string m_program;
    std::string m_folder;
    std::string m_name;
    pid_t m_id = -1;
};

/// A stand-in for a replica: announces itself, answers health checks, and passes each request to a handler on a thread of its connection.
class Replica {
public:
    /// \returns whether the connection stays open.
    using Handler = std::function<bool(Connection&, const Message&)>;

    /// \param stage of an engine; empty: a replica of a plain service.
    Replica(std::string id, std::string service, std::string door, Handler handler, std::string stage = "")
        : m_id(std::move(id))
        , m_service(std::move(service))
        , m_door(std::move(door))
        , m_handler(std::move(handler))
        , m_stage(std::move(stage))
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ::bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof address);
        ::listen(m_listener, 1024);
        socklen_t n = sizeof address;
        ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &n);
        m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        std::thread([this] { accept(); }).detach();
        std::thread([this] { announce(); }).detach();
    }

private:
    void accept()
    {
        for (;;) {
            int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }
    void serve(int fd)
    {
        Connection connection(fd);
        constexpr int idleLimit = 30000;
        while (auto request = connection.readMessage(idleLimit)) {
            auto isFor = request->header("expect-instance");
            if (!isFor.empty() && isFor != m_id) {
                connection.write("HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nRequest-Id: " + request->header("request-id")
                    + "\r\nContent-Length: 0\r\n\r\n");
            } else if (request->start.rfind("GET /health ", 0) == 0) {
                connection.write("HTTP/1.1 200 OK\r\nInstance-Id: " + m_id + "\r\nContent-Length: 0\r\n\r\n");
            } else if (!m_handler(connection, *request)) {
                return;
            }
        }
    }
    void announce()
    {
        constexpr int interval = 1200;
        for (int sequence = 1;; ++sequence) {
            auto body = R"({"service":")" + m_service + R"(","addr":")" + m_address
                + R"(","zone":"z","version":"v1","slots":64,"state":"ready","cold_left_ms":0,"seq":)" + std::to_string(sequence);
            if (!m_stage.empty())
                body += R"(,"stage":")" + m_stage + R"(","models":[{"name":"m","version":1,"adapters":[]}])";
            body += "}";
            callOnce(m_door, "PUT", "/-/instances/" + m_id, body);
            pause(interval);
        }
    }

    std::string m_id;
    std::string m_service;
    std::string m_door;
    Handler m_handler;
    std::string m_stage;
    int m_listener = -1;
    std::string m_address;
};

/// Settings as deploy/controller.yaml and deploy/gateway.yaml give them, with loopback addresses.
inline std::string controllerSettings(const std::string& name, const std::string& listen, const std::string& door, const std::string& seeds,
    const std::string& data, int lossesToBear)
{
    return "role: controller\nname: " + name + "\nsite: s\nzone: z\nlisten: " + listen
        + "\nadmin: 127.0.0.1:0\nworkers: 1\nannouncement-interval: 1200ms\nlog: { level: info, to-standard-output: yes }\n"
          "controller:\n  data: \""
        + data + "\"\n  new-cluster: true\n  seeds: [" + seeds + "]\n  losses-to-bear: " + std::to_string(lossesToBear)
        + "\n  door: " + door + "\n  election-timeout: 500ms\n  heartbeat: 120ms\n  order-lease: 3000ms\n";
}

inline std::string gatewaySettings(const std::string& name, const std::string& listen, const std::string& controllers,
    const std::string& callers, const std::string& ready)
{
    return "role: gateway\nname: " + name + "\nsite: s\nzone: z\nlisten: " + listen
        + "\nadmin: 127.0.0.1:0\nworkers: 1\ndrain-limit: 7800ms\ncontrollers: [" + controllers
        + "]\nannouncement-interval: 1200ms\nlog: { level: debug, to-standard-output: yes }\n"
          "retries: { ratio: 0.2, slack: 60, window: 10s }\ncallers:\n  listen: "
        + callers + "\n  ready: " + ready + "\n  connection-limit: 3500\n";
}

/// Waits until the call has the status. \returns whether it came within `limit`.
inline bool await(
    const std::string& address, const std::string& method, const std::string& path, const std::string& body, int status, int limit)
{
    auto end = Clock::now() + Milliseconds(limit);
    while (Clock::now() < end) {
        if (callOnce(address, method, path, body) == status)
            return true;
        pause(50);
    }
    return false;
}

} // namespace review
