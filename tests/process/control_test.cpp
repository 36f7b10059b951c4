#include "invariants.h"

#include "support/http_names.h"
#include "support/mesh.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <memory>
#include <sys/resource.h>
#include <thread>

using namespace pw::test;
namespace http = pw::support::http;

namespace {

constexpr milliseconds electionBound { 10000 };
constexpr milliseconds withdrawBound { 3000 };
constexpr milliseconds commandBound { 20000 };

/// \returns the mesh's configuration with another rate of the small workspace, so that versions differ in content.
std::string configurationWithRate(int rate)
{
    std::string text = meshConfiguration;
    const std::string before = "name: menai, rate: 20,";
    return text.replace(text.find(before), before.size(), "name: menai, rate: " + std::to_string(rate) + ",");
}

std::string loadMix(const Mesh& mesh)
{
    return "name=tides;path=/tides;rate=100;workspace=anglesey;key=" + mesh.key.key;
}

constexpr pid_t ownProcess = 0;

/// Makes all writes of a process to files fail, as on a full disk.
class FullDisk {
public:
    explicit FullDisk(pid_t process)
        : m_process(process)
    {
        limitFiles(0);
    }
    ~FullDisk() { limitFiles(RLIM_INFINITY); }
    FullDisk(const FullDisk&) = delete;
    FullDisk& operator=(const FullDisk&) = delete;

private:
    void limitFiles(rlim_t bytes) const
    {
        const rlimit limit { bytes, RLIM_INFINITY };
        BOOST_TEST(prlimit(m_process, RLIMIT_FSIZE, &limit, nullptr) == 0);
    }

    pid_t m_process;
};

/// Waits for a leader other than \p before. \returns null when there is none within electionBound.
Daemon* awaitNewLeader(Fleet& fleet, const Daemon* before)
{
    Daemon* leader = nullptr;
    (void)eventually(electionBound, [&] {
        leader = fleet.leader();
        return leader && leader != before;
    });
    return leader == before ? nullptr : leader;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Control)

BOOST_AUTO_TEST_CASE(killingTheLeaderLosesNoChangeAndNoRequest)
{
    Mesh mesh;
    const auto version = mesh.fleet.operators().version();
    LoadRun run(mesh.fleet.folder(), "kill-leader", { mesh.entry.spec().caller }, { loadMix(mesh) }, milliseconds(5000));
    std::this_thread::sleep_for(milliseconds(1000));
    Daemon* leader = mesh.fleet.leader();
    BOOST_REQUIRE(leader);
    leader->crash();
    BOOST_TEST(awaitNewLeader(mesh.fleet, leader));
    run.finish();
    checkInvariants(run, mesh.fleet.standins());
    BOOST_TEST(run.number({ "all", "whole" }) == run.number({ "all", "requests" }), run.text());
    mesh.fleet.configure(configurationWithRate(21));
    BOOST_TEST(mesh.fleet.operators().version() == version + 1);
    leader->start();
    mesh.fleet.configure(configurationWithRate(22));
    BOOST_TEST(mesh.fleet.operators().version() == version + 2);
}

BOOST_AUTO_TEST_CASE(aMinorityNeverAcceptsAndKeyedRequestsStopWhileOpenOnesGoOn)
{
    Mesh mesh;
    const auto version = mesh.fleet.operators().version();
    mesh.fleet.controls()[0].crash();
    mesh.fleet.controls()[1].crash();
    const auto submitted = mesh.fleet.operators().submitWithBase(configurationWithRate(30), version, "minority");
    BOOST_TEST(submitted.status != 0, submitted.output);
    pw::support::HttpResult result;
    BOOST_TEST(eventually(withdrawBound, [&] {
        result = mesh.fleet.get(mesh.entry, "/tides?marker=lapsed", mesh.key.key);
        return result.status == 503;
    }));
    BOOST_TEST(result.header(http::reasonHeader) == "keys-not-valid");
    BOOST_TEST(result.header(http::verdictHeader) == "not-run");
    BOOST_TEST(mesh.fleet.get(mesh.entry, "/notices?marker=open").status == 200);
    mesh.fleet.controls()[0].start();
    mesh.fleet.controls()[1].start();
    mesh.fleet.waitForRoute(mesh.entry, "/tides?marker=back", mesh.key.key);
    // The outcome was unknown to the operator: the change re-sent with the same id is applied exactly once.
    BOOST_TEST(mesh.fleet.operators().submitWithBase(configurationWithRate(30), version, "minority").status == 0);
    BOOST_TEST(mesh.fleet.operators().submitWithBase(configurationWithRate(30), version, "minority").status == 0);
    BOOST_TEST(mesh.fleet.operators().version() == version + 1);
}

BOOST_AUTO_TEST_CASE(racingOperatorsWithEqualNumbersAreToldWhoWon)
{
    Mesh mesh;
    const auto version = mesh.fleet.operators().version();
    Ran other;
    std::thread racer([&] { other = mesh.fleet.operators().submitWithBase(configurationWithRate(40), version, "racer-1"); });
    const Ran own = mesh.fleet.operators().submitWithBase(configurationWithRate(41), version, "racer-2");
    racer.join();
    BOOST_TEST(((own.status == 0) != (other.status == 0)), own.output << other.output);
    BOOST_TEST(mesh.fleet.operators().version() == version + 1);
    const Ran& lost = own.status == 0 ? other : own;
    BOOST_TEST(lost.output.find(std::to_string(version + 1)) != std::string::npos, lost.output);
}

BOOST_AUTO_TEST_CASE(aChangeSentAgainGetsItsFirstAnswerAlsoAfterARestart)
{
    Mesh mesh;
    const auto version = mesh.fleet.operators().version();
    BOOST_TEST(mesh.fleet.operators().submitWithBase(configurationWithRate(50), version, "again").status == 0);
    BOOST_TEST(mesh.fleet.operators().submitWithBase(configurationWithRate(50), version, "again").status == 0);
    for (auto& it : mesh.fleet.controls()) {
        it.crash();
    }
    for (auto& it : mesh.fleet.controls()) {
        it.start();
    }
    Ran again;
    BOOST_TEST(eventually(commandBound, [&] {
        again = mesh.fleet.operators().submitWithBase(configurationWithRate(50), version, "again");
        return again.status == 0;
    }),
        again.output);
    BOOST_TEST(mesh.fleet.operators().version() == version + 1);
}

BOOST_AUTO_TEST_CASE(aSilentlyPartitionedLeaderIsReplacedAndNothingReverts)
{
    Mesh mesh({ 3, true });
    const auto version = mesh.fleet.operators().version();
    Daemon* before = mesh.fleet.leader();
    BOOST_REQUIRE(before);
    LoadRun run(mesh.fleet.folder(), "partition", { mesh.entry.spec().caller }, { loadMix(mesh) }, milliseconds(8000));
    mesh.fleet.cutOff(*before);
    BOOST_TEST(awaitNewLeader(mesh.fleet, before));
    mesh.fleet.configure(configurationWithRate(60));
    BOOST_TEST(mesh.fleet.operators().version() == version + 1);
    mesh.fleet.proxy().heal();
    mesh.fleet.configure(configurationWithRate(61));
    BOOST_TEST(mesh.fleet.operators().version() == version + 2);
    run.finish();
    checkInvariants(run, mesh.fleet.standins());
    BOOST_TEST(run.number({ "all", "whole" }) == run.number({ "all", "requests" }), run.text());
}

BOOST_AUTO_TEST_CASE(aWithdrawnKeyIsRefusedWithinSecondsBehindASilentPartition)
{
    Mesh mesh({ 3, true });
    const IssuedKey key = mesh.fleet.operators().issueKey(meshWorkspace);
    mesh.fleet.waitForRoute(mesh.entry, "/tides?marker=ready", key.key);
    mesh.fleet.cutOff(mesh.entry);
    const auto startedAt = std::chrono::steady_clock::now();
    (void)mesh.fleet.operators().withdrawKey(key.id);
    const auto refused = [&] {
        const auto result = mesh.fleet.get(mesh.entry, "/tides?marker=withdrawn", key.key);
        const auto reason = result.header(http::reasonHeader);
        return reason == "unknown-key" || reason == "keys-not-valid";
    };
    BOOST_TEST(eventually(withdrawBound, refused));
    BOOST_TEST((std::chrono::steady_clock::now() - startedAt < withdrawBound + milliseconds(1000)));
    BOOST_TEST(mesh.fleet.get(mesh.shares.front()->daemon, "/tides?marker=withdrawn", key.key).status == 401);
    mesh.fleet.proxy().heal();
    mesh.fleet.waitForRoute(mesh.entry, "/tides?marker=back", mesh.key.key);
    BOOST_TEST(mesh.fleet.get(mesh.entry, "/tides?marker=withdrawn", key.key).status == 401);
}

/// Guards against control daemons that answer "no leader could be reached" for good after their disks were full in turn.
BOOST_AUTO_TEST_CASE(changesAreAcceptedAfterEachDiskWasFullInTurn)
{
    Mesh mesh;
    auto rate = 70;
    for (auto& it : mesh.fleet.controls()) {
        {
            const FullDisk full(it.process().id());
            mesh.fleet.configure(configurationWithRate(++rate));
        }
        const auto version = mesh.fleet.operators().version();
        BOOST_TEST(eventually(electionBound, [&] { return mesh.fleet.operators().roleAt(it.spec().operators) != "stopped"; }), mesh.fleet.operators().roleAt(it.spec().operators));
        mesh.fleet.configure(configurationWithRate(++rate));
        BOOST_TEST(mesh.fleet.operators().version() == version + 1);
        mesh.fleet.waitForRoute(mesh.entry, "/tides?marker=" + it.spec().name, mesh.key.key);
    }
}

/// Guards against a control daemon that ends, or stays without a log, when it starts while its disk is full.
BOOST_AUTO_TEST_CASE(aDaemonThatStartsOnAFullDiskTakesPartOnceThereIsRoom)
{
    Mesh mesh;
    auto& daemon = mesh.fleet.controls().back();
    const auto role = [&] { return mesh.fleet.operators().roleAt(daemon.spec().operators); };
    daemon.crash();
    std::filesystem::remove_all(daemon.dataFolder());
    {
        auto inherited = std::make_unique<FullDisk>(ownProcess);
        daemon.start();
        inherited.reset();
        const FullDisk full(daemon.process().id());
        std::this_thread::sleep_for(milliseconds(2000));
        BOOST_TEST(role() == "stopped");
        BOOST_TEST(daemon.process().running());
    }
    BOOST_TEST(eventually(electionBound, [&] { return role() == "follower"; }), role());
    mesh.fleet.configure(configurationWithRate(80));
}

BOOST_AUTO_TEST_SUITE_END()
