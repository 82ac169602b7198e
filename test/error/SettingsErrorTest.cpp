/** \file
 * Mistakes in settings and configuration files: each names file, line, key and mend.
 */
#include "process/Settings.h"
#include "version/ConfigFile.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace wrenhinge;

namespace {

const std::string gateway
    = "role: gateway\nname: g\nsite: s\nzone: z\nadmin: 127.0.0.1:0\nlisten: 127.0.0.1:0\ncallers:\n  listen: 127.0.0.1:0\n";
const std::string sidecar = "role: sidecar\nname: s\nsite: s\nzone: z\nadmin: 127.0.0.1:0\ngateways: [127.0.0.1:1]\nupstream:\n  service: "
                            "x\n  kind: decode\n  address: "
                            "127.0.0.1:9\n  slots: 20\n";
const std::string besideEngine = "role: sidecar\nname: s\nsite: s\nzone: z\nadmin: 127.0.0.1:0\nlisten: 127.0.0.1:0\nengine:\n  "
                                 "address: 127.0.0.1:9\n";
const std::string controller = "role: controller\nname: c\nsite: s\nzone: z\nadmin: 127.0.0.1:0\nlisten: 127.0.0.1:0\ncontroller:\n  data: "
                               "d\n  members:\n    - { name: c, "
                               "address: \"127.0.0.1:1\" }\n";

const std::string seeded = "role: controller\nname: c\nsite: s\nzone: z\nadmin: 127.0.0.1:0\nlisten: 127.0.0.1:0\ncontroller:\n  data: "
                           "d\n  seeds: [127.0.0.1:1]\n  losses-to-bear: 2\n";

struct Mistake {
    std::string text;
    std::string named; ///< What the message must name.
};

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

std::vector<Mistake> mistakes()
{
    std::vector<Mistake> list {
        { "", ":1" },
        { "[1, 2]", ":1" },
        { "role: [", "not YAML" },
        { "a: b: c", "not YAML" },
        { "role: gateway\n\tname: x\n", "not YAML" },
        { replaced(gateway, "role: gateway", "role: proxy"), "f:1: role" },
        { replaced(besideEngine, "  address: 127.0.0.1:9", "  spare-deviations: 2"), "engine.address" },
        { replaced(besideEngine, "127.0.0.1:9\n", "127.0.0.1:9\n  spare-deviations: many\n"), "engine.spare-deviations" },
        { replaced(besideEngine, "listen: 127.0.0.1:0\n", ""), "gateways" },
        { replaced(gateway, "role: gateway\n", ""), "role: is missing" },
        { replaced(gateway, "name: g\n", ""), "name: is missing" },
        { replaced(gateway, "site: s\n", ""), "site: is missing" },
        { replaced(gateway, "zone: z\n", ""), "zone: is missing" },
        { replaced(gateway, "admin: 127.0.0.1:0\n", ""), "admin: is missing" },
        { replaced(gateway, "listen: 127.0.0.1:0\ncallers", "callers"), "listen: is missing" },
        { replaced(gateway, "name: g", "name: 'a b'"), "f:2: name" },
        { replaced(gateway, "name: g", "name: a/b"), "f:2: name" },
        { replaced(gateway, "name: g", "name: " + std::string(65, 'x')), "f:2: name" },
        { replaced(gateway, "name: g", "name: [g]"), "name: write a single value" },
        { replaced(gateway, "name: g", "name: ''"), "f:2: name" },
        { replaced(gateway, "admin: 127.0.0.1:0", "admin: localhost:0"), "f:5: admin" },
        { replaced(gateway, "admin: 127.0.0.1:0", "admin: 127.0.0.1"), "f:5: admin" },
        { replaced(gateway, "admin: 127.0.0.1:0", "admin: 127.0.0.1:99999"), "f:5: admin" },
        { replaced(gateway, "admin: 127.0.0.1:0", "admin: 127.0.0.300:1"), "f:5: admin" },
        { replaced(gateway, "admin: 127.0.0.1:0", "admin: 127.0.1:1"), "f:5: admin" },
        { replaced(gateway, "admin: 127.0.0.1:0", "admin: 127.0.0.1:x"), "f:5: admin" },
        { gateway + "  acounts-file: x\n", "f:9: callers.acounts-file: unknown key" },
        { gateway + "colour: red\n", "f:9: colour: unknown key" },
        { gateway + "upstream: { service: x }\n", "upstream: unknown key" },
        { gateway + "controller: { data: x }\n", "controller: unknown key" },
        { gateway + "gateways: [127.0.0.1:1]\n", "gateways: unknown key" },
        { gateway + "workers: 0\n", "f:9: workers" },
        { gateway + "workers: two\n", "f:9: workers" },
        { gateway + "workers: -1\n", "f:9: workers" },
        { gateway + "workers: 1.5\n", "f:9: workers" },
        { gateway + "drain-limit: 30\n", "f:9: drain-limit" },
        { gateway + "drain-limit: 30 seconds\n", "f:9: drain-limit" },
        { gateway + "drain-limit: 0s\n", "f:9: drain-limit" },
        { gateway + "drain-limit: -1s\n", "f:9: drain-limit" },
        { gateway + "log: loud\n", "log: write a map" },
        { gateway + "log: { level: loud }\n", "log.level" },
        { gateway + "log: { file: '' }\n", "log.file" },
        { gateway + "log: { colour: red }\n", "log.colour: unknown key" },
        { gateway + "controllers: 127.0.0.1:1\n", "controllers: write a list" },
        { gateway + "controllers: [nowhere]\n", "f:9: controllers" },
        { gateway + "controllers: [[a]]\n", "controllers: write a list" },
        { gateway + "  header-limit: 16384\n", "callers.header-limit" },
        { gateway + "  header-limit: 16k\n", "callers.header-limit" },
        { gateway + "  body-limit: -1MB\n", "callers.body-limit" },
        { gateway + "  idle-time: 60\n", "callers.idle-time" },
        { gateway + "  header-time: 0ms\n", "callers.header-time" },
        { gateway + "  connection-limit: 0\n", "callers.connection-limit" },
        { gateway + "memory: 1MB\n", "memory: '1MB' is too little" },
        { gateway + "memory: 88\n", "memory" },
        { replaced(gateway, "callers:\n  listen: 127.0.0.1:0\n", ""), "callers.listen: is missing" },
        { replaced(gateway, "callers:\n  listen: 127.0.0.1:0\n", "callers: x\n"), "callers: write a map" },
        { replaced(sidecar, "kind: decode", "kind: both"), "f:9: upstream.kind" },
        { replaced(sidecar, "slots: 20", "slots: 0"), "f:11: upstream.slots" },
        { replaced(sidecar, "slots: 20", "slots: many"), "upstream.slots" },
        { replaced(sidecar, "  slots: 20\n", ""), "upstream.slots: is missing" },
        { replaced(sidecar, "  service: x\n", ""), "upstream.service: is missing" },
        { replaced(sidecar, "  address: 127.0.0.1:9\n", ""), "upstream.address: is missing" },
        { replaced(sidecar, "gateways: [127.0.0.1:1]\n", ""), "gateways: list at least one" },
        { sidecar + "  result-life: 800\n", "upstream.result-life" },
        { sidecar + "  lease: 1s\n  announce-every: 600ms\n", "upstream.announce-every: must be at most half" },
        { sidecar + "  model: a b\n", "upstream.model" },
        { sidecar + "callers: { listen: 127.0.0.1:0 }\n", "callers: unknown key" },
        { replaced(controller, "  data: d\n", ""), "controller.data: is missing" },
        { replaced(controller, "name: c, address", "name: d, address"), "members: must list this controller" },
        { replaced(controller, "127.0.0.1:1\"", "nowhere\""), "controller.members.address" },
        { controller + "    - { name: c, address: \"127.0.0.1:2\" }\n", "members: must list this controller" },
        { controller + "    - x\n", "controller.members: write a list of maps" },
        { controller + "    - { name: e, address: \"127.0.0.1:2\", weight: 3 }\n", "controller.members.weight: unknown key" },
        { controller + "  new-cluster: maybe\n", "controller.new-cluster" },
        { replaced(controller, "data: d", "data: ''"), "controller.data: is missing" },
        { controller + "  losses-to-bear: 1\n", "f:11: controller.losses-to-bear: needs `seeds`" },
        { replaced(seeded, "bear: 2", "bear: two"), "f:10: controller.losses-to-bear" },
        { replaced(seeded, "bear: 2", "bear: -1"), "f:10: controller.losses-to-bear" },
        { replaced(gateway, "zone: z\n", "zone: z\nannouncement-interval: 99ms\n"), "f:5: announcement-interval: '99ms' is out of range" },
        { replaced(controller, "zone: z\n", "zone: z\nannouncement-interval: 16s\n"), "announcement-interval: '16s' is out of range" },
        { replaced(gateway, "zone: z\n", "zone: z\nannouncement-interval: often\n"), "announcement-interval" },
        { replaced(seeded, "bear: 2", "bear: 11"), "controller.losses-to-bear: '11' is out of range: write a whole number from 0 to 10" },
    };
    return list;
}

} // namespace

TEST_CASE("good settings are taken")
{
    // A controller that finds its group by seeds may be without a disk.
    for (const auto& text : { gateway, sidecar, besideEngine, controller, seeded, replaced(seeded, "data: d", "data: ''") }) {
        auto settings = parseSettings(text, "f");
        CHECK_MESSAGE(settings, (settings ? "" : settings.error().message));
    }
}

TEST_CASE("every mistake names file, place and mend")
{
    auto list = mistakes();
    CHECK(list.size() >= 60);
    for (const auto& mistake : list) {
        auto settings = parseSettings(mistake.text, "f");
        REQUIRE_MESSAGE(!settings, mistake.text);
        CHECK(settings.error().code == ResultCode::BadSettings);
        CHECK_MESSAGE(
            settings.error().message.find(mistake.named) != std::string::npos, mistake.named << " not in: " << settings.error().message);
    }
}

TEST_CASE("all mistakes are reported at once")
{
    auto settings = parseSettings(gateway + "workers: 0\ndrain-limit: 30\ncolour: red\n", "f");
    REQUIRE(!settings);
    const auto& text = settings.error().message;
    CHECK(std::count(text.begin(), text.end(), '\n') == 2);
}

TEST_CASE("a configuration file's mistakes name the line")
{
    const std::vector<Mistake> list {
        { "servces: {}\n", "unknown section" },
        { "services:\n  x: { kind: both }\n", "f:2" },
        { "services:\n  x: { deadline: 5 }\n", "service/x/deadline" },
        { "services:\n  x: { colour: red }\n", "a service has no 'colour'" },
        { "services:\n  x: [a]\n", "f:2" },
        { "accounts:\n  a: { rate: 10 }\n", "account/a/rate" },
        { "accounts:\n  a: { concurrency: many }\n", "account/a/concurrency" },
        { "replicas:\n  x:\n    r: { state: gone }\n", "in-use or drain" },
        { "sites:\n  s: { places: [a] }\n", "zones" },
        { "services: [", "not YAML" },
        { "- a\n", "sections" },
    };
    for (const auto& mistake : list) {
        auto entries = parseConfigFile(mistake.text, "f");
        REQUIRE_MESSAGE(!entries, mistake.text);
        CHECK_MESSAGE(
            entries.error().message.find(mistake.named) != std::string::npos, mistake.named << " not in: " << entries.error().message);
    }
}

TEST_CASE("a configuration file becomes entries, and a difference turns one set into another")
{
    auto entries = parseConfigFile("sites:\n  u: { zones: [a, b] }\nservices:\n  x: { kind: plain, repeatable: no }\n", "f");
    REQUIRE(entries);
    CHECK(entries.value().size() == 4);
    auto difference = differenceOf({ { "a", "1" }, { "b", "2" } }, { { "b", "3" }, { "c", "4" } });
    CHECK(difference.puts == Configuration::Entries { { "b", "3" }, { "c", "4" } });
    CHECK(difference.removes == std::vector<std::string> { "a" });
}
