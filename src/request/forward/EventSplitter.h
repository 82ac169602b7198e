/** \file
 * Splits a `text/event-stream` into complete events, so that a stream that is cut inside an event never passes on part of it.
 *
 * Example: `id: 7\ndata: a\n\nid: 8\nda` yields one event with id 7; the remaining bytes are kept for the next call.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wrenhinge {

/// One event, including the blank line that ends it.
struct StreamEvent {
    std::string bytes;
    std::optional<std::uint64_t> id;
};

class EventSplitter {
public:
    /// Appends the next bytes of the stream. \returns the events that are now complete.
    std::vector<StreamEvent> push(std::string_view bytes);
    /// The bytes after the last complete event.
    [[nodiscard]] const std::string& rest() const { return m_rest; }
    void clear()
    {
        m_rest = {};
        m_searched = 0;
    }

private:
    std::string m_rest;
    std::size_t m_searched = 0; ///< The end of the first event of m_rest is not before this.
};

} // namespace wrenhinge
