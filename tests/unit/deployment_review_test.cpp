#include "core/deployment_review.h"
#include "core/route_table.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>
#include <vector>

namespace {

using namespace pw;
using namespace std::chrono_literals;

namespace data = boost::unit_test::data;

/// A deployment without findings.
Deployment sound()
{
    Deployment deployment;
    deployment.services = { { .name = "guide" }, { .name = "ledger" } };
    deployment.routes = {
        { .name = "lookup", .pathPrefix = "/guide", .service = "guide" },
        { .name = "record", .method = "POST", .pathPrefix = "/sales", .service = "ledger", .idempotent = false },
    };
    deployment.workspaces = { { .name = "shop" } };
    return deployment;
}

/// A change that an operator did not intend, and the finding that it must lead to.
struct Row {
    std::string name;
    void (*change)(Deployment&);
    std::string expected;
};

std::ostream& operator<<(std::ostream& out, const Row& row)
{
    return out << row.name;
}

const std::vector<Row> rows {
    { "route behind one for any method", [](Deployment& it) { it.routes.insert(it.routes.begin(), { .name = "all", .method = "", .pathPrefix = "/guide", .service = "guide" }); },
        "routes[1].pathPrefix: never matches, route \"all\" takes all its requests; suggested: list it before that route, or remove it" },
    { "host in other case", [](Deployment& it) {
         it.routes[0].host = "shop.example";
         it.routes.push_back({ .name = "again", .host = "Shop.Example", .pathPrefix = "/guide", .service = "guide" });
     },
        "routes[2].pathPrefix: never matches, route \"lookup\" takes all its requests; suggested: list it before that route, or remove it" },
    { "service without a route", [](Deployment& it) { it.services.push_back({ .name = "archive" }); }, "services[2].name: no route leads to it; suggested: a route, or remove it" },
    { "fewer connections than slots", [](Deployment& it) { it.services[0].connectionsPerServer = 16; }, "services[0].connectionsPerServer: fewer than slotsPerServer, so slots stay unused; suggested: at least slotsPerServer" },
    { "warm-up time without rate", [](Deployment& it) { it.services[0].warmUpTime = 3s; }, "services[0].warmUpTime: has no effect without warmUpRate; suggested: warmUpRate as well, or neither" },
    { "target beyond the deadline", [](Deployment& it) { it.routes[0].targetLatency = 3s; }, "routes[0].targetLatency: longer than the deadline, at which the request ends; suggested: at most the deadline" },
    { "attempts below servers", [](Deployment& it) { it.routes[0].attempts = 2; }, "routes[0].attempts: fewer than maxServers, so that number of servers is never tried; suggested: at least maxServers" },
    { "service listed twice", [](Deployment& it) {
         it.routes[0].service.clear();
         it.routes[0].services = { { "guide", 1 }, { "guide", 2 } };
     },
        "routes[0].services: service \"guide\" is listed twice, so its weights add up; suggested: one entry with the sum" },
    { "no bodies", [](Deployment& it) { it.limits.bodyBytes = 0; }, "limits[0].bodyBytes: allows no bodies, but route \"record\" takes POST requests; suggested: at least the longest body" },
};

} // namespace

BOOST_AUTO_TEST_SUITE(DeploymentReview)

/// Guards against a finding that is missed, doubled or reported for another entry, and against one in an invalid deployment.
BOOST_DATA_TEST_CASE(unintendedSettingsAreFound, data::make(rows), row)
{
    auto deployment = sound();
    row.change(deployment);
    BOOST_TEST(deploymentProblems(deployment).empty());
    const auto found = deploymentWarnings(deployment);
    BOOST_TEST_REQUIRE(found.size() == 1U);
    BOOST_TEST(problemText(found.front(), "suggested") == row.expected);
}

BOOST_AUTO_TEST_CASE(soundDeploymentHasNoFindings)
{
    BOOST_TEST(deploymentWarnings(sound()).empty());
}

/// Without a workspace nobody can hold a key; an open route and one for nested calls need none.
BOOST_AUTO_TEST_CASE(routesThatNobodyCanUseAreFound)
{
    auto deployment = sound();
    deployment.workspaces.clear();
    BOOST_TEST(deploymentWarnings(deployment).size() == 2U);
    deployment.routes[0].open = true;
    deployment.routes[1].nestedOnly = true;
    BOOST_TEST(deploymentWarnings(deployment).empty());
}

/// A route with a longer prefix, a host of its own or another method takes only a part of the requests, and RouteTable still
/// finds the other one.
BOOST_AUTO_TEST_CASE(routesThatStillMatchAreNotFound)
{
    auto deployment = sound();
    deployment.routes.insert(deployment.routes.begin(),
        { { .name = "longer", .pathPrefix = "/guide/map", .service = "guide" }, { .name = "hosted", .host = "a.example", .pathPrefix = "/guide", .service = "guide" },
            { .name = "posted", .method = "POST", .pathPrefix = "/guide", .service = "guide" } });
    BOOST_TEST(deploymentWarnings(deployment).empty());
    const RouteTable table(deployment.routes);
    const auto* route = table.match("b.example", "GET", "/guide/list");
    BOOST_TEST_REQUIRE(route);
    BOOST_TEST(route->name == "lookup");
}

/// The route that is reported as never matching is indeed not the one that RouteTable uses.
BOOST_AUTO_TEST_CASE(coveredRouteIsNotUsed)
{
    auto deployment = sound();
    deployment.routes.insert(deployment.routes.begin(), { .name = "all", .method = "", .pathPrefix = "/guide", .service = "guide" });
    const RouteTable table(deployment.routes);
    for (const std::string method : { "GET", "POST", "PUT" }) {
        const auto* route = table.match("any.example", method, "/guide/1");
        BOOST_TEST_REQUIRE(route);
        BOOST_TEST(route->name == "all");
    }
}

BOOST_AUTO_TEST_SUITE_END()
