#include "request/forward/EventSplitter.h"

#include <charconv>

namespace wrenhinge {

namespace {

    std::optional<std::uint64_t> idOf(std::string_view event)
    {
        for (std::size_t at = 0; at < event.size();) {
            auto end = event.find('\n', at);
            auto line = event.substr(at, end == std::string_view::npos ? end : end - at);
            if (line.starts_with("id:")) {
                line.remove_prefix(3);
                while (!line.empty() && line.front() == ' ')
                    line.remove_prefix(1);
                std::uint64_t id = 0;
                auto [last, ec] = std::from_chars(line.data(), line.data() + line.size(), id);
                if (ec == std::errc() && last != line.data())
                    return id;
            }
            if (end == std::string_view::npos)
                break;
            at = end + 1;
        }
        return std::nullopt;
    }

    /// Length of `\r\n\r\n`, in bytes.
    constexpr std::size_t longestEnd = 4;

    /// \param from where to search from. \returns the length of the event at the start of `text`, including its blank line, or npos if it
    /// is incomplete.
    std::size_t endOfEvent(std::string_view text, std::size_t from)
    {
        for (auto at = text.find('\n', from); at != std::string_view::npos; at = text.find('\n', at + 1)) {
            bool isBlank = at > 0 && text[at - 1] == '\n';
            bool isBlankCrLf = at > 2 && text.substr(at - 3, longestEnd) == "\r\n\r\n";
            if (isBlank || isBlankCrLf)
                return at + 1;
        }
        return std::string_view::npos;
    }

} // namespace

std::vector<StreamEvent> EventSplitter::push(std::string_view bytes)
{
    m_rest += bytes;
    std::vector<StreamEvent> events;
    std::string_view text = m_rest;
    for (auto n = endOfEvent(text, m_searched); n != std::string_view::npos; n = endOfEvent(text, 0)) {
        events.push_back({ std::string(text.substr(0, n)), idOf(text.substr(0, n)) });
        text.remove_prefix(n);
    }
    m_rest.erase(0, m_rest.size() - text.size());
    m_searched = m_rest.size();
    return events;
}

} // namespace wrenhinge
