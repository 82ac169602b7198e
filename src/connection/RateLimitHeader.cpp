#include "connection/RateLimitHeader.h"

#include "connection/HttpText.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace wrenhinge {

namespace {

    /// More than any replica takes; a larger number is a mistake and is read as this one.
    constexpr double maxPerSecond = 1e6;

    std::optional<double> parseRate(std::string_view text)
    {
        double value = 0;
        auto end = text.data() + text.size();
        auto [parsedTo, ec] = std::from_chars(text.data(), end, value);
        bool isNumber = ec == std::errc() && parsedTo == end && std::isfinite(value) && value >= 0;
        return isNumber ? std::optional(std::min(value, maxPerSecond)) : std::nullopt;
    }

    void readList(std::string_view list, StatedRateLimit& stated)
    {
        while (!list.empty()) {
            auto comma = std::min(list.find(','), list.size());
            if (auto rate = parseRate(trimmed(list.substr(0, comma))))
                stated.perSecond = std::min(*rate, stated.perSecond.value_or(*rate));
            list.remove_prefix(std::min(comma + 1, list.size()));
        }
    }

} // namespace

StatedRateLimit readRateLimit(const HeaderList& headers, std::string_view name)
{
    StatedRateLimit stated;
    for (const auto& [other, value] : headers) {
        if (!isSameName(other, name))
            continue;
        stated.isStated = true;
        readList(value, stated);
    }
    return stated;
}

} // namespace wrenhinge
