#include "invariants.h"

#include "support/http_names.h"
#include "support/mesh.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <thread>

using namespace pw::test;

namespace {

constexpr milliseconds leaveBound { 2000 }; ///< After this time, a leaving server receives no new requests.
constexpr milliseconds stopBound { 20000 };

std::vector<std::string> mixes(const Mesh& mesh)
{
    const std::string tail = ";workspace=anglesey;key=" + mesh.key.key;
    return { "name=share;path=/share;rate=60" + tail, "name=order;path=/order;method=POST;rate=30;request-id=1" + tail };
}

/// Checks the invariants and that every request received a whole answer.
void checkAllWhole(const LoadRun& run, const Mesh& mesh)
{
    checkInvariants(run, mesh.fleet.standins(), { "r1-order-" });
    BOOST_TEST(run.number({ "all", "whole" }) == run.number({ "all", "requests" }), run.text());
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlannedStop)

BOOST_AUTO_TEST_CASE(aLeavingBackendServerGetsNoNewWorkAndNoRequestIsCut)
{
    Mesh mesh;
    LoadRun run(mesh.fleet.folder(), "leave", { mesh.entry.spec().caller }, mixes(mesh), milliseconds(7000));
    std::this_thread::sleep_for(milliseconds(1000));
    mesh.tides.front()->standin.command("/leave");
    std::this_thread::sleep_for(leaveBound);
    const auto records = mesh.tides.front()->standin.records().size();
    run.finish();
    BOOST_TEST(mesh.tides.front()->standin.records().size() == records);
    checkAllWhole(run, mesh);
}

BOOST_AUTO_TEST_CASE(aSilentBackendServerLapses)
{
    Mesh mesh;
    mesh.tides.front()->standin.command("/silence?on=1");
    // Announcement lease of 3 s plus 2 s for the membership view to reach every daemon.
    std::this_thread::sleep_for(milliseconds(3000) + leaveBound);
    const auto records = mesh.tides.front()->standin.records().size();
    for (int n = 0; n < 40; ++n) {
        BOOST_TEST(mesh.fleet.get(mesh.entry, "/tides?marker=lapsed", mesh.key.key).status == 200);
    }
    BOOST_TEST(mesh.tides.front()->standin.records().size() == records);
}

BOOST_AUTO_TEST_CASE(stoppingAServerDaemonUnderLoadCutsNoRequest)
{
    Mesh mesh;
    LoadRun run(mesh.fleet.folder(), "stop-server", { mesh.entry.spec().caller }, mixes(mesh), milliseconds(6000));
    std::this_thread::sleep_for(milliseconds(1000));
    BOOST_TEST((mesh.tides.front()->daemon.stop(stopBound) == 0));
    BOOST_TEST((mesh.orders.front()->daemon.stop(stopBound) == 0));
    run.finish();
    checkAllWhole(run, mesh);
}

BOOST_AUTO_TEST_CASE(stoppingAnEntryDaemonUnderLoadCutsNoRequest)
{
    Mesh mesh;
    LoadRun run(mesh.fleet.folder(), "stop-entry", { mesh.entry.spec().caller }, mixes(mesh), milliseconds(6000));
    std::this_thread::sleep_for(milliseconds(1000));
    BOOST_TEST((mesh.entry.stop(stopBound) == 0));
    run.finish();
    checkInvariants(run, mesh.fleet.standins(), { "r1-order-" });
    // Connections after the stop are refused, but every admitted request has to be answered.
    const auto failed = [](const Outcome& it) { return !it.whole && it.reason != "not" && it.verdict != "not-run"; };
    for (const auto& it : run.outcomes()) {
        BOOST_TEST(!failed(it), it.marker << " " << it.status << " " << it.verdict << " " << it.reason);
    }
    BOOST_TEST(run.number({ "all", "whole" }) > 0U);
}

BOOST_AUTO_TEST_CASE(stoppingTheControlLeaderUnderLoadCutsNoRequest)
{
    Mesh mesh;
    LoadRun run(mesh.fleet.folder(), "stop-leader", { mesh.entry.spec().caller }, mixes(mesh), milliseconds(6000));
    std::this_thread::sleep_for(milliseconds(1000));
    Daemon* leader = mesh.fleet.leader();
    BOOST_REQUIRE(leader);
    BOOST_TEST((leader->stop(stopBound) == 0));
    run.finish();
    checkAllWhole(run, mesh);
}

BOOST_AUTO_TEST_CASE(aServerThatAnnouncesAgainIsTakenBack)
{
    Mesh mesh;
    const auto& standin = mesh.tides.front()->standin;
    standin.command("/leave");
    std::this_thread::sleep_for(2 * leaveBound);
    const auto before = standin.records().size();
    standin.command("/join");
    const auto served = [&] {
        (void)mesh.fleet.get(mesh.entry, "/tides?marker=again", mesh.key.key);
        return standin.records().size() > before;
    };
    BOOST_TEST(eventually(milliseconds(8000), served));
}

BOOST_AUTO_TEST_SUITE_END()
