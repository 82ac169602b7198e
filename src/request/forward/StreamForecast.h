/** \file
 * Forecasts how long a stream will take, from the streams of the same service that this gateway has served.
 *
 * A gateway that shuts down has some seconds left. A stream that it accepts then and that takes longer is cut off: its caller has
 * waited for seconds and, if the route's streams can't be resumed, has nothing. A caller that is refused at once reaches another
 * gateway within 50 to 115 ms, at most an eighth of the target for the first event. So a stream is refused if it might be cut off,
 * not only if it probably is: the forecast is the longest time that streams of its expected length have taken, not the mean.
 *
 * A stream takes some time until its first event, and then some time per token that its caller expects. The latter varies by a
 * factor of three and more, since callers' estimates are right only at the median. Of `n` streams and a further one, each is equally
 * likely to have taken the longest time per token, so the further one exceeds the forecast about once in n + 1 cases, whatever the
 * distribution. The duration of the longest stream alone is no bound, since a stream of more tokens takes longer: when it was used,
 * three streams of 1,569 to 3,437 expected tokens were accepted in the second after the signal and cut off 7 s later.
 *
 * Example: the last hundred streams took up to 0.3 s until the first event, and up to 10 ms per expected token after it. A stream of
 * 400 tokens is expected to end within 4.3 s, one of 900 tokens within 9.3 s.
 */
#pragma once

#include "base/Time.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace wrenhinge {

class StreamForecast {
public:
    /// Number of streams kept per service: about 1 in 100 streams then exceeds its forecast. More would include outdated ones.
    static constexpr std::size_t maxSamples = 100;
    /// With fewer streams there is no forecast: more than 1 in 50 would exceed it, and the first ones to end after a start are short.
    static constexpr std::size_t minSamples = 50;

    /// Records a stream that ended completely.
    void note(const std::string& service, std::uint32_t expectedTokens, Duration timeToFirstByte, Duration afterFirst);
    /// \returns the time from arrival to end that hardly any such stream exceeds, or nothing if there are too few streams to tell.
    [[nodiscard]] std::optional<Duration> longest(const std::string& service, std::uint32_t expectedTokens) const;

private:
    struct Stream {
        Duration timeToFirstByte {};
        double secondsPerToken = 0;
    };
    using Streams = std::deque<Stream>; ///< The newest last.

    [[nodiscard]] const Streams* find(const std::string& service) const;

    std::map<std::string, Streams> m_services;
};

} // namespace wrenhinge
