/** \file
 * Routing documents: validation, selection of the route of a request, and precedence by version.
 */
#include "version/ControllerState.h"
#include "version/RoutingDocument.h"

#include <doctest/doctest.h>

using namespace wrenhinge;

namespace {

Route route(const std::string& host, const std::string& prefix)
{
    Route route;
    route.name = host + prefix;
    route.host = host;
    route.prefix = prefix;
    route.timeout = 1s;
    route.targets = { { "s", 1 } };
    return route;
}

RoutingDocument document()
{
    RoutingDocument document;
    document.version = 1;
    document.routes = { route("a", "/"), route("a", "/x/"), route("a", "/x/y/"), route("b", "/x/") };
    document.services.resize(1);
    document.services[0].name = "s";
    return document;
}

} // namespace

TEST_CASE("the longest matching prefix of the host is selected")
{
    RouteTable table(document());
    CHECK(table.find("a", "/x/y/z")->prefix == "/x/y/");
    CHECK(table.find("a", "/x/y")->prefix == "/x/");
    CHECK(table.find("a", "/xy")->prefix == "/");
    CHECK(table.find("b", "/x/")->host == "b");
    CHECK(table.find("b", "/y/") == nullptr);
    CHECK(table.find("c", "/x/") == nullptr);
    CHECK(table.find("", "") == nullptr);
    constexpr std::size_t manySegments = 16000;
    CHECK(table.find("a", "/x/y/" + std::string(manySegments, '/'))->prefix == "/x/y/");
    CHECK(table.find("b", std::string(manySegments, '/')) == nullptr);
    CHECK(normalisedHost("Desk.Example:80") == "desk.example");
}

TEST_CASE("an invalid document is refused as a whole, with a remedy in the error")
{
    CHECK(validate(document()));
    auto broken = [](auto change) {
        auto d = document();
        change(d);
        auto valid = validate(d);
        REQUIRE(!valid);
        CHECK(valid.error().code == ResultCode::BadConfiguration);
        return valid.error().message;
    };
    CHECK(broken([](auto& d) { d.routes[0].targets[0].service = "t"; }).find("unknown service 't'") != std::string::npos);
    CHECK(broken([](auto& d) { d.routes[1].prefix = "/"; }).find("share a/") != std::string::npos);
    CHECK(broken([](auto& d) { d.routes[1].targets[0].weight = 0; }).find("weight above zero") != std::string::npos);
    CHECK(broken([](auto& d) { d.routes[1].timeout = 0s; }).find("no timeout") != std::string::npos);
    CHECK(broken([](auto& d) { d.routes[1].prefix = "/x"; }).find("begin and end with a slash") != std::string::npos);
    CHECK(broken([](auto& d) { d.services.push_back(d.services[0]); }).find("is defined twice") != std::string::npos);
}

TEST_CASE("the highest version takes effect; a lower or equal one is accepted without effect")
{
    // Guards against a superseded configuration that takes effect again, when an operator resends it after its reply was lost.
    ControllerState state;
    CHECK(state.apply({ 1, 1, DocumentCommand { 7, "seven" } }).code == ResultCode::Ok);
    CHECK(state.apply({ 1, 2, DocumentCommand { 5, "five" } }).code == ResultCode::Ok);
    CHECK(state.apply({ 1, 3, DocumentCommand { 7, "other" } }).code == ResultCode::Ok);
    CHECK(state.document().text() == "seven");
    ControllerState copy;
    REQUIRE(copy.load(state.save()));
    CHECK(copy.document().version() == 7);
    CHECK(copy.document().text() == "seven");
}
