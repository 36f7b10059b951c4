#include "invariants.h"

#include "support/mesh.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <thread>

using namespace pw::test;

namespace {

constexpr milliseconds stopBound { 20000 };
/// After this time, a server that states that it leaves receives no new requests.
constexpr milliseconds leaveBound { 2000 };
/// The stated target: in any window no more than 1.5 times what the limit allows, and 5 requests.
constexpr milliseconds window { 4000 };
constexpr int limit = 5;
constexpr std::size_t allowedInWindow = limit * 4 * 3 / 2 + 5;

std::vector<std::string> tidesMix(const Mesh& mesh)
{
    return { "name=tides;path=/tides;rate=100;workspace=anglesey;key=" + mesh.key.key };
}

std::size_t arrivals(const Standin& standin)
{
    return standin.records().size();
}

} // namespace

BOOST_AUTO_TEST_SUITE(BackendStatement)

/// Guards against a backend server getting more requests than the rate that it states.
BOOST_AUTO_TEST_CASE(aServerGetsNoMoreThanTheRateThatItStates)
{
    Mesh mesh;
    const auto& standin = mesh.tides.front()->standin;
    standin.command("/statement?rate-limit=" + std::to_string(limit));
    LoadRun run(mesh.fleet.folder(), "rate", { mesh.entry.spec().caller }, tidesMix(mesh), milliseconds(6000));
    std::this_thread::sleep_for(milliseconds(1000));
    const auto before = arrivals(standin);
    std::this_thread::sleep_for(window);
    const auto after = arrivals(standin);
    run.finish();
    checkInvariants(run, mesh.fleet.standins(), {});
    BOOST_TEST(after - before <= allowedInWindow);
    BOOST_TEST(after - before > 0U);
    BOOST_TEST(run.number({ "all", "whole" }) == run.number({ "all", "requests" }), run.text());
}

/// Guards against the daemon beside the server forgetting the rate when it restarts.
BOOST_AUTO_TEST_CASE(theStatedRateHoldsAfterARestartOfTheDaemonBesideTheServer)
{
    Mesh mesh;
    auto& server = *mesh.tides.front();
    server.standin.command("/statement?rate-limit=" + std::to_string(limit));
    LoadRun run(mesh.fleet.folder(), "rate-restart", { mesh.entry.spec().caller }, tidesMix(mesh), milliseconds(14000));
    std::this_thread::sleep_for(milliseconds(1000));
    BOOST_TEST((server.daemon.stop(stopBound) == 0));
    const auto before = arrivals(server.standin);
    server.daemon.start();
    BOOST_TEST(eventually(milliseconds(6000), [&] { return arrivals(server.standin) > before; }));
    std::this_thread::sleep_for(window);
    const auto after = arrivals(server.standin);
    run.finish();
    checkInvariants(run, mesh.fleet.standins(), {});
    BOOST_TEST(after - before <= allowedInWindow);
}

const char* const leavingStatements[] = { "/statement?leaving=1", "/statement?leaving=1&rate-limit=many" };

/// Guards against new requests for a backend server that says only in its answers that it is leaving.
BOOST_DATA_TEST_CASE(aServerThatStatesThatItLeavesGetsNoNewRequests, boost::unit_test::data::make(leavingStatements), statement)
{
    Mesh mesh;
    const auto& standin = mesh.tides.front()->standin;
    LoadRun run(mesh.fleet.folder(), "stated-leaving", { mesh.entry.spec().caller }, tidesMix(mesh), milliseconds(7000));
    std::this_thread::sleep_for(milliseconds(1000));
    standin.command(statement);
    std::this_thread::sleep_for(leaveBound);
    const auto before = arrivals(standin);
    run.finish();
    checkInvariants(run, mesh.fleet.standins(), {});
    BOOST_TEST(arrivals(standin) == before);
    BOOST_TEST(run.number({ "all", "whole" }) == run.number({ "all", "requests" }), run.text());
}

BOOST_AUTO_TEST_SUITE_END()
