/** \file
 * A part of prompts that crashes engines, before a fleet of gateways on virtual time: how many requests with it reach engines, and what
 * becomes of sound ones.
 */
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "CrashFleet.h"

#include <cstdlib>
#include <doctest/doctest.h>

using namespace wrenhinge;
using namespace wrenhinge::test;

namespace {

using Settings = CrashFleet::Settings;
using Outcome = CrashFleet::Outcome;

constexpr int mostLaterArrivals = 3;

/// Seeds of each case: a few from 1, or as many from WRENHINGE_FIRST_SEED as WRENHINGE_SEEDS says.
std::pair<std::uint64_t, std::uint64_t> seeds()
{
    const char* first = std::getenv("WRENHINGE_FIRST_SEED");
    const char* count = std::getenv("WRENHINGE_SEEDS");
    auto from = first ? std::strtoull(first, nullptr, 10) : 1;
    return { from, from + (count ? std::strtoull(count, nullptr, 10) : 20) };
}

void play(Settings settings, const std::function<void(const Outcome&)>& check)
{
    auto [from, to] = seeds();
    for (auto seed = from; seed < to; ++seed) {
        CAPTURE(seed);
        settings.seed = seed;
        check(CrashFleet(settings).play());
    }
}

/// Sound requests begin at least half as often as before, and at most 1 in 100 is taken for one that crashes engines.
void checkSound(const Outcome& outcome)
{
    CHECK(2 * outcome.served * outcome.soundBefore >= outcome.sound * outcome.servedBefore);
    CHECK(100 * outcome.soundRefused <= outcome.soundInAll);
}

void check(const Outcome& outcome)
{
    CHECK(outcome.crashes >= static_cast<int>(CrashTracker::crashesUntilConvicted));
    CHECK(outcome.laterArrivals <= mostLaterArrivals);
    checkSound(outcome);
}

void checkArrivalsAndRefusals(const Outcome& outcome)
{
    CHECK(outcome.laterArrivals <= mostLaterArrivals);
    CHECK(100 * outcome.soundRefused <= outcome.soundInAll);
}

} // namespace

TEST_CASE("requests with one part that crashes engines soon reach none, and sound ones with the same first part are served")
{
    // Guards against a part of prompts that crashes one engine after another, since no two requests with it are alike.
    Settings settings;
    SUBCASE("behind the part that all prompts begin with") { }
    SUBCASE("at the beginning") { settings.isCrashingPartFirst = true; }
    SUBCASE("many a second") { settings.crashingPerSecond = 40; }
    SUBCASE("few a second")
    {
        settings.crashingPerSecond = 0.7;
        settings.playFor = 40s;
    }
    SUBCASE("at one of many gateways") { settings.gateways = 30; }
    SUBCASE("two such parts") { settings.crashingParts = 2; }
    SUBCASE("beside few sound requests, each with a document of its own")
    {
        settings.soundPerSecond = 4;
        settings.documents = 1000;
    }
    SUBCASE("beside many sound requests")
    {
        settings.soundPerSecond = 80;
        settings.decodeEngines = 4;
        settings.documents = 200;
    }
    play(settings, check);
}

TEST_CASE("a part that crashes engines from the first request on is told from the part that all prompts begin with")
{
    // Guards against refusing all requests of a route since nothing is known yet of the part that they share.
    Settings settings;
    settings.calmBefore = 0s;
    play(settings, [](const Outcome& outcome) {
        CHECK(outcome.laterArrivals <= mostLaterArrivals);
        // Without time before the crashes there is nothing to compare with; all sound requests are served in a calm fleet.
        CHECK(2 * outcome.served >= outcome.sound);
        CHECK(10 * outcome.soundRefused <= outcome.soundInAll);
    });
}

TEST_CASE("while processes restart and links are cut, requests with one part that crashes engines soon reach none")
{
    // Guards against gateways that forget, or never hear, which part crashes engines.
    Settings settings;
    settings.playFor = 20s;
    SUBCASE("gateways restart") { settings.gatewayRestarts = 0.5; }
    SUBCASE("controllers restart") { settings.controllerRestarts = 0.2; }
    SUBCASE("gateways are cut off") { settings.cuts = 0.5; }
    play(settings, checkArrivalsAndRefusals);
}

TEST_CASE("while everything fails at once requests with one part that crashes engines soon reach none")
{
    // Guards against refusing a document whose few requests ran at engines that crashed for other reasons.
    Settings settings;
    settings.playFor = 20s;
    settings.gatewayRestarts = 0.2;
    settings.controllerRestarts = 0.1;
    settings.cuts = 0.2;
    settings.racks = 0.2;
    settings.resets = 0.5;
    play(settings, checkArrivalsAndRefusals);
}

TEST_CASE("a request that had just been sent to one of the engines of a rack that loses power is no separate crash")
{
    // Guards against refusing a document after two losses of power.
    Settings settings;
    settings.seed = 2022;
    settings.crashingPerSecond = 0;
    settings.soundPerSecond = 40;
    settings.racks = 0.5;
    CHECK(CrashFleet(settings).play().soundRefused == 0);
}

TEST_CASE("where engines crash for other reasons, no sound request is refused for its parts")
{
    // Guards against refusing sound requests for what they share with others that ran at the same engines.
    Settings settings;
    settings.crashingPerSecond = 0;
    settings.soundPerSecond = 40;
    SUBCASE("racks lose power") { settings.racks = 0.5; }
    SUBCASE("connections are reset") { settings.resets = 2; }
    SUBCASE("few documents")
    {
        settings.documents = 3;
        settings.racks = 1;
    }
    play(settings, [](const Outcome& outcome) { CHECK(outcome.soundRefused == 0); });
}
