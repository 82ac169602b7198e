#include "connection/HttpText.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <set>
#include <sys/socket.h>

namespace wrenhinge {

std::optional<std::string_view> headerValue(const HeaderList& headers, std::string_view name)
{
    for (const auto& [field, value] : headers) {
        if (isSameName(field, name))
            return value;
    }
    return std::nullopt;
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    auto first = std::min(text.find_first_not_of(blanks), text.size());
    auto last = text.find_last_not_of(blanks);
    return text.substr(first, last == std::string_view::npos ? 0 : last + 1 - first);
}

namespace {

    constexpr std::array<std::string_view, 11> connectionNames { "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
        "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect" };

    struct NameOrder {
        using is_transparent = void;
        bool operator()(std::string_view a, std::string_view b) const
        {
            return std::lexicographical_compare(
                a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) { return lowerCase(x) < lowerCase(y); });
        }
    };

    /// The names of headers that concern one connection only: the fixed ones and those that `Connection` names.
    class ConnectionNames {
    public:
        template <typename Headers> explicit ConnectionNames(const Headers& headers)
        {
            for (const auto& [field, value] : headers) {
                if (isSameName(field, "Connection"))
                    addAll(value);
            }
        }

        [[nodiscard]] bool contains(std::string_view name) const
        {
            auto isName = [name](std::string_view fixed) { return isSameName(fixed, name); };
            return std::any_of(connectionNames.begin(), connectionNames.end(), isName) || (!m_named.empty() && m_named.contains(name));
        }

    private:
        void addAll(std::string_view list)
        {
            while (!list.empty()) {
                auto word = list.substr(0, list.find(','));
                list.remove_prefix(std::min(list.size(), word.size() + 1));
                word = trimmed(word);
                // A sender may not have the host or the length removed by naming them here.
                if (!word.empty() && !isSameName(word, "Host"))
                    m_named.emplace(word);
            }
        }

        std::set<std::string, NameOrder> m_named; ///< Sorted: a sender may name thousands.
    };

} // namespace

void removeConnectionHeaders(HeaderList& headers)
{
    ConnectionNames names(headers);
    std::erase_if(headers, [&names](const auto& header) { return names.contains(header.first); });
}

HeaderFields withoutConnectionHeaders(const HeaderFields& fields)
{
    ConnectionNames names(fields);
    HeaderFields kept;
    kept.reserve(fields.bytes());
    for (const auto& [name, value] : fields) {
        if (!names.contains(name))
            kept.add(name, value);
    }
    return kept;
}

void appendHeaders(std::string& text, const HeaderList& headers)
{
    for (const auto& [field, value] : headers)
        text.append(field).append(": ").append(value).append("\r\n");
}

std::string_view reasonOf(int status)
{
    auto text = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return { text.data(), text.size() };
}

void failWhenSilent(int socket, int milliseconds)
{
    unsigned int userTimeout = static_cast<unsigned int>(milliseconds);
    int on = 1;
    int probeAfter = std::max(1, milliseconds / 3000);
    int probes = 3;
    ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeout, sizeof userTimeout);
    ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &probeAfter, sizeof probeAfter);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &probeAfter, sizeof probeAfter);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

} // namespace wrenhinge
