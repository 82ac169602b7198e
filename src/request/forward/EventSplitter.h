/** \file
 * Cuts a `text/event-stream` into whole events, so that a stream which breaks inside one never shows half of it.
 *
 * Example: from `id: 7\ndata: a\n\nid: 8\nda` it gives one event with id 7 and keeps the rest for the next call.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wrenhinge {

/// One event with its blank line.
struct StreamEvent {
    std::string bytes;
    std::optional<std::uint64_t> id;
};

class EventSplitter {
public:
    /// Takes the next bytes of the stream. \returns the events that are whole now.
    std::vector<StreamEvent> push(std::string_view bytes);
    /// What came after the last whole event.
    [[nodiscard]] const std::string& rest() const { return m_rest; }
    void clear() { m_rest.clear(); }

private:
    std::string m_rest;
};

} // namespace wrenhinge
