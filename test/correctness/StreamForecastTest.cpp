/** \file
 * How long streams are taken to last, and which of them a gateway that stops refuses.
 */
#include "request/forward/StreamForecast.h"

#include <doctest/doctest.h>
#include <random>

using namespace wrenhinge;

namespace {

constexpr std::uint32_t expected = 500;

} // namespace

TEST_CASE("nothing is forecast from a few streams, nor for another service")
{
    StreamForecast forecast;
    for (std::size_t i = 0; i + 1 < StreamForecast::minSamples; ++i)
        forecast.note("engine", expected, 200ms, 2s);
    CHECK(!forecast.longest("engine", expected));
    forecast.note("engine", expected, 200ms, 2s);
    CHECK(forecast.longest("engine", expected) == 2200ms);
    CHECK(!forecast.longest("other", expected));
}

TEST_CASE("a forecast grows with what the caller expects, also beyond the longest stream")
{
    StreamForecast forecast;
    for (std::size_t i = 0; i < StreamForecast::minSamples; ++i)
        forecast.note("engine", expected, 200ms, 2s);
    forecast.note("engine", expected, 600ms, 8s);
    CHECK(forecast.longest("engine", 100) == 600ms + 1600ms);
    CHECK(forecast.longest("engine", expected) == 600ms + 8s);
    CHECK(forecast.longest("engine", 10 * expected) == 600ms + 80s);
    CHECK(forecast.longest("engine", 0).has_value());
}

TEST_CASE("what was long ago is forgotten")
{
    StreamForecast forecast;
    forecast.note("engine", expected, 200ms, 60s);
    for (std::size_t i = 0; i < StreamForecast::maxSamples; ++i)
        forecast.note("engine", expected, 200ms, 2s);
    CHECK(forecast.longest("engine", expected) == 2200ms);
}

TEST_CASE("about one stream in a hundred outlives its forecast when callers' estimates are off by a factor")
{
    // Estimates that are right at the median and off by a factor of 1.65 for a third of the streams on each side, as callers' are.
    std::mt19937_64 random(1);
    std::lognormal_distribution<double> tokens(6.3, 0.7);
    std::lognormal_distribution<double> error(0, 0.5);
    constexpr double secondsPerToken = 0.005;
    constexpr int streams = 20000;
    StreamForecast forecast;
    int longer = 0;
    for (int i = 0; i < streams; ++i) {
        auto hint = static_cast<std::uint32_t>(tokens(random)) + 1;
        auto afterFirst = fromSeconds(hint * error(random) * secondsPerToken);
        if (auto longest = forecast.longest("engine", hint)) {
            longer += 200ms + afterFirst > *longest ? 1 : 0;
        }
        forecast.note("engine", hint, 200ms, afterFirst);
    }
    CHECK(longer < streams * 2 / 100);
}
