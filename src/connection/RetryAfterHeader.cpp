#include "connection/RetryAfterHeader.h"

#include "connection/HttpText.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace wrenhinge {

namespace {

    std::optional<Duration> parseSeconds(std::string_view text)
    {
        double value = 0;
        auto end = text.data() + text.size();
        auto [parsedTo, ec] = std::from_chars(text.data(), end, value);
        bool isPositive = ec == std::errc() && parsedTo == end && std::isfinite(value) && value > 0;
        return isPositive ? std::optional(fromSeconds(std::min(value, toSeconds(longestRest)))) : std::nullopt;
    }

} // namespace

std::optional<Duration> readRetryAfter(const HeaderList& headers)
{
    std::optional<Duration> longest;
    for (const auto& [name, value] : headers) {
        if (isSameName(name, "Retry-After"))
            longest = std::max(longest, parseSeconds(trimmed(value)));
    }
    return longest;
}

} // namespace wrenhinge
