#include "invariants.h"

#include "support/http_names.h"
#include "support/mesh.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <map>
#include <string>
#include <thread>
#include <vector>

using namespace pw::test;
namespace http = pw::support::http;

namespace {

constexpr std::size_t shareAttempts = 8; ///< Attempt budget of the share route.
constexpr milliseconds recoveryBound { 2000 };
constexpr double recoveredShare = 0.95;

std::string withKey(const Mesh& mesh, const std::string& text)
{
    return text + ";workspace=anglesey;key=" + mesh.key.key;
}

/// Checks that no root request made more nested attempts than its attempt budget allows.
void checkBudget(const Mesh& mesh)
{
    std::map<std::string, std::size_t> nested;
    for (const Server* server : mesh.tides) {
        for (const auto& it : server->standin.records()) {
            const auto slash = it.marker.find('/');
            if (slash != std::string::npos) {
                ++nested[it.marker.substr(0, slash)];
            }
        }
    }
    for (const auto& [root, attempts] : nested) {
        BOOST_TEST(attempts <= shareAttempts, root << " made " << attempts << " nested attempts");
    }
}

/// \returns the share of whole answers among the attempts that ended in [from, to).
double wholeShare(const LoadRun& run, milliseconds from, milliseconds to)
{
    const auto within = [&](const Outcome& it) { return it.at >= from && it.at < to; };
    const auto all = std::ranges::count_if(run.outcomes(), within);
    const auto whole = std::ranges::count_if(run.outcomes(), [&](const Outcome& it) { return within(it) && it.whole; });
    return all ? static_cast<double>(whole) / static_cast<double>(all) : 0;
}

void sleepFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

/// A failure mode of one of the two servers of the service "tides".
struct Failure {
    const char* mode;
};

constexpr Failure failures[] = {
    { "mode=silent" },
    { "mode=truncate" },
    { "mode=late&delay-ms=2500" },
    { "mode=close" },
    { "mode=duplicate" },
    { "mode=refuse" },
    { "mode=slow&factor=20" },
};

const std::string longDeadlineOrders = R"(services:
  - { name: orders, slotsPerServer: 40, connectionsPerServer: 330 }
routes:
  - { name: order, method: POST, pathPrefix: /order, service: orders, importance: critical, open: true, idempotent: false, deadline: 9000ms }
  - { name: notices, method: GET, pathPrefix: /notices, service: orders, importance: low, open: true, deadline: 1000ms }
workspaces:
  - { name: anglesey, rate: 2000, burst: 2000 }
)";

constexpr milliseconds orderDeadline { 9000 };
constexpr milliseconds beforeSuspension { 500 };
constexpr milliseconds suspension { 4500 }; ///< Longer than the time after which an unresponsive link is suspended.

} // namespace

BOOST_AUTO_TEST_SUITE(BackendFailures)

BOOST_AUTO_TEST_CASE(invariantsHoldWhateverOneServerDoesAndGoodputRecovers)
{
    Mesh mesh;
    std::uint64_t seed = 1;
    for (const auto& it : failures) {
        BOOST_TEST_CONTEXT(it.mode)
        {
            LoadRun run(mesh.fleet.folder(), "failing-" + std::to_string(seed), { mesh.entry.spec().caller },
                { withKey(mesh, "name=tides;path=/tides;rate=60"), withKey(mesh, "name=share;path=/share;rate=40") }, milliseconds(6000), seed);
            mesh.tides.front()->standin.mode(it.mode);
            sleepFor(milliseconds(2000));
            mesh.tides.front()->standin.mode("mode=normal");
            run.finish();
            checkInvariants(run, mesh.fleet.standins());
            checkBudget(mesh);
            const milliseconds last = run.outcomes().back().at;
            BOOST_TEST(wholeShare(run, last - milliseconds(1000), last) >= recoveredShare, run.text());
        }
        ++seed;
    }
}

BOOST_AUTO_TEST_CASE(anIdempotentRequestIsTriedElsewhereWhenItsServerDiesMidAnswer)
{
    Mesh mesh;
    // Whole answers add to the tokens that retries use up.
    for (int n = 0; n < 200; ++n) {
        BOOST_REQUIRE(mesh.fleet.get(mesh.entry, "/tides?marker=earlier", mesh.key.key).status == 200);
    }
    mesh.tides.front()->standin.mode("mode=truncate");
    for (int n = 0; n < 20; ++n) {
        const std::string marker = "cut-" + std::to_string(n);
        const auto result = mesh.fleet.get(mesh.entry, "/tides?marker=" + marker, mesh.key.key);
        BOOST_TEST(result.status == 200);
        BOOST_TEST(result.body.starts_with("marker=" + marker + "\n"));
    }
}

BOOST_AUTO_TEST_CASE(aServerThatNeverAnswersEndsInATruthfulTimeOut)
{
    Mesh mesh;
    for (const Server* it : mesh.orders) {
        it->standin.mode("mode=silent");
    }
    const auto result = mesh.fleet.post(mesh.entry, "/order?marker=silent", mesh.key.key);
    BOOST_TEST(result.status == 504);
    BOOST_TEST(result.header(http::verdictHeader) == "may-have-run");
    BOOST_TEST(result.header(http::reasonHeader) == "deadline-exceeded");
    std::size_t runs = 0;
    for (const Server* it : mesh.orders) {
        runs += it->standin.runs("silent");
    }
    BOOST_TEST(runs == 1U);
}

BOOST_DATA_TEST_CASE(lateAndRepeatedAnswersNeverReachAnotherRequest, boost::unit_test::data::make({ true, false }), echo)
{
    Mesh mesh;
    for (const Server* it : mesh.tides) {
        it->standin.command(echo ? "/echo?on=1" : "/echo?on=0");
    }
    mesh.tides[0]->standin.mode("mode=duplicate");
    mesh.tides[1]->standin.mode("mode=late&delay-ms=2100");
    LoadRun run(mesh.fleet.folder(), "crossed", { mesh.entry.spec().caller }, { withKey(mesh, "name=tides;path=/tides;rate=100;timeout-ms=4000") },
        milliseconds(4000));
    run.finish();
    checkInvariants(run, mesh.fleet.standins());
    BOOST_TEST(run.number({ "all", "whole" }) > 0U);
}

BOOST_AUTO_TEST_CASE(aSlowDeepServiceUnderASurgeOfHardRetriesRecovers)
{
    // Trigger: from second 2 to 4, the deep service is 5 times slower and demand is 4 times higher, with 5 retries that ignore
    // Retry-After.
    Mesh mesh({}, { "--nested-attempts", "3" });
    const std::vector<std::string> mixes {
        withKey(mesh, "name=base;path=/share;rate=100;timeout-ms=2500"),
        withKey(mesh, "name=surge;path=/share;rate=300;from-ms=2000;to-ms=4000;retries=5;obey-retry-after=0;timeout-ms=2500"),
        withKey(mesh, "name=order;path=/order;method=POST;rate=20;request-id=1;retries=2;timeout-ms=2500"),
    };
    LoadRun run(mesh.fleet.folder(), "surge", { mesh.entry.spec().caller }, mixes, milliseconds(8000));
    sleepFor(milliseconds(2000));
    for (const Server* it : mesh.tides) {
        it->standin.mode("mode=slow&factor=5");
    }
    sleepFor(milliseconds(2000));
    for (const Server* it : mesh.tides) {
        it->standin.mode("mode=normal");
    }
    run.finish();
    checkInvariants(run, mesh.fleet.standins(), { "r1-order-" });
    checkBudget(mesh);
    BOOST_TEST(wholeShare(run, milliseconds(4000) + recoveryBound, milliseconds(8000)) >= recoveredShare * wholeShare(run, milliseconds(0), milliseconds(2000)), run.text());
    for (const Standin* it : mesh.fleet.standins()) {
        BOOST_TEST(it->stat("slotViolations") == 0U);
        BOOST_TEST(it->stat("connectionViolations") == 0U);
    }
}

BOOST_AUTO_TEST_CASE(anOrderUnderWayAtASuspendedDaemonIsWaitedFor)
{
    Fleet fleet;
    const auto& entry = fleet.addEntry();
    auto& server = fleet.addServer("orders");
    fleet.configure(longDeadlineOrders);
    fleet.waitForRoute(entry, "/notices?marker=ready");
    server.standin.mode("mode=late&delay-ms=1500");
    std::thread suspending([&server] {
        std::this_thread::sleep_for(beforeSuspension);
        server.daemon.process().signal(SIGSTOP);
        std::this_thread::sleep_for(suspension);
        server.daemon.process().signal(SIGCONT);
    });
    pw::support::HttpRequest order;
    order.method = "POST";
    order.target = "/order?marker=suspended";
    const auto result = fleet.ask(entry, order, orderDeadline);
    suspending.join();
    BOOST_TEST(result.status == 200, result.status << " " << result.header(http::reasonHeader) << result.error);
    BOOST_TEST(server.standin.runs("suspended") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
