/** \file
 * How long streams take, learnt from those that have ended here, by service.
 *
 * A gateway that is told to stop has some seconds left, and a stream that it takes then and that outlives them is cut: its caller
 * has waited for seconds and, where the route does not let streams go on, has nothing. Refused at once, the caller is at another
 * gateway within 50 to 115 ms, an eighth of what it allows for the first event at most. So a stream is refused if it might be cut, not only
 * if it probably is: the forecast is the longest that streams of its expected length have taken, not the mean.
 *
 * A stream takes its time until the first event, and then a time for each token that its caller expects. The second varies by a
 * factor of three and more, since callers' estimates are right at the median only. Of `n` streams and a further one, each is equally
 * likely to have taken the longest for its tokens, so the further one outlives the forecast about once in n + 1, whatever the
 * distribution is. The longest stream as such is no bound, since one of many tokens is not like the others: where it was used as
 * one, three streams of 1,569 to 3,437 expected tokens were taken in the second after the signal, and cut 7 s later.
 *
 * Example: the last hundred streams took up to 0.3 s until the first event, and up to 10 ms for each token expected after it. One of
 * 400 tokens is taken to end within 4.3 s, one of 900 within 9.3 s.
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
    /// Streams remembered for each service: about 1 in 100 then outlives its forecast. More would count what was long ago.
    static constexpr std::size_t maxSamples = 100;
    /// With fewer nothing is forecast: more than 1 in 50 would outlive it, and the first to end after a start are the short ones.
    static constexpr std::size_t minSamples = 50;

    /// A stream has ended whole.
    void note(const std::string& service, std::uint32_t expectedTokens, Duration timeToFirstByte, Duration afterFirst);
    /// What hardly any stream exceeds, from its arrival to its end. Nothing: too little is known.
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
