/** \file
 * A blocking HTTP client for tests: whole calls, and streams that can be left in the middle.
 */
#pragma once

#include "connection/Asio.h"
#include "message/Messages.h"

#include <optional>
#include <string>

namespace wrenhinge::test {

struct HttpAnswer {
    int status = 0; ///< Zero: the connection broke.
    HeaderList headers;
    std::string body;
    bool isWhole = false; ///< The body came to its proper end.
    [[nodiscard]] std::string header(const std::string& name) const;
};

class HttpClient {
public:
    /// \param from the local address to call from; empty: any.
    explicit HttpClient(const std::string& address, const std::string& from = "");

    HttpAnswer call(const std::string& method, const std::string& target, const std::string& body = "", const HeaderList& headers = {});
    /// Sends bytes as they are and reads to the end of the connection.
    std::string raw(const std::string& bytes);

    // A call in steps.
    void send(const std::string& method, const std::string& target, const std::string& body, const HeaderList& headers);
    /// Reads until at least `n` bytes of answer have come. \returns all so far.
    std::string readSome(std::size_t n);
    HttpAnswer finish();
    void close();

private:
    void connect();
    IoContext m_io;
    Tcp::endpoint m_endpoint;
    Tcp::socket m_socket { m_io };
    std::string m_received;
};

} // namespace wrenhinge::test
