#include "config.h"
#include "support/control_fleet.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace std::chrono_literals;
using pw::ChangeOutcome;
using pw::test::ControlFleet;

pw::KeyDigest digestOf(int n)
{
    pw::KeyDigest digest {};
    digest.front() = static_cast<std::byte>(n);
    return digest;
}

pw::Change issueKey(int n)
{
    const auto text = std::to_string(n);
    return { "issue" + text, pw::IssueKey { "key" + text, "workspace", "label", digestOf(n) } };
}

pw::Change withdrawKey(int n)
{
    const auto text = std::to_string(n);
    return { "withdraw" + text, pw::WithdrawKey { "key" + text } };
}

/// \returns whether the daemon of \p vm accepts key \p n now.
bool acceptsKey(const ControlFleet::Vm& vm, const ControlFleet& fleet, int n)
{
    return vm.session->keysValid(fleet.timers.now()) && vm.session->workspaceOfKey(digestOf(n)).has_value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(Control)

BOOST_AUTO_TEST_CASE(changesReachEveryDaemonAndAreConfirmed)
{
    ControlFleet fleet(3, 12, 1);
    BOOST_REQUIRE(fleet.form());
    fleet.timers.run(3s);
    const auto result = fleet.configure(fleet.follower(), "c1", 0, "one");
    BOOST_TEST((result.outcome == ChangeOutcome::Accepted));
    BOOST_TEST(result.version == 1);
    const auto took = fleet.awaitInForce(fleet.follower(), result.index);
    BOOST_REQUIRE(took.has_value());
    BOOST_TEST((*took < 1s));
    for (const auto& it : fleet.vms()) {
        BOOST_TEST(it->session->version() == 1);
    }
}

BOOST_AUTO_TEST_CASE(racingOperatorsGetOneWinnerAndResendsTheirFirstAnswer)
{
    ControlFleet fleet(3, 1, 2);
    BOOST_REQUIRE(fleet.form());
    BOOST_TEST((fleet.configure(fleet.follower(), "a", 0, "from a").outcome == ChangeOutcome::Accepted));
    const auto loser = fleet.configure(*fleet.leader(), "b", 0, "from b");
    BOOST_TEST((loser.outcome == ChangeOutcome::Conflict));
    BOOST_TEST(loser.version == 1);
    fleet.crash(*fleet.leader());
    BOOST_REQUIRE(fleet.awaitLeader());
    const auto again = fleet.configure(*fleet.leader(), "a", 0, "from a");
    BOOST_TEST((again.outcome == ChangeOutcome::Accepted));
    BOOST_TEST(again.version == 1);
    BOOST_TEST((fleet.configure(*fleet.leader(), "a", 1, "other").outcome == ChangeOutcome::Invalid));
    BOOST_TEST((fleet.configure(*fleet.leader(), "u", 1, "unreadable").outcome == ChangeOutcome::Invalid));
    BOOST_TEST(fleet.leader()->log->image().configuration().text == "from a");
}

BOOST_AUTO_TEST_CASE(outcomeIsUnknownOrUnavailableWhenItIs)
{
    ControlFleet fleet(3, 0, 3);
    BOOST_REQUIRE(fleet.form());
    auto* old = fleet.leader();
    for (auto* it : fleet.controls()) {
        if (it != old) {
            fleet.network.cutOneWay(it->settings.peerAddress, old->settings.peerAddress);
        }
    }
    // The followers receive the change, but the leader gets no acknowledgement: the change may be applied later, and is.
    const auto unknown = fleet.configure(*old, "c1", 0, "one");
    BOOST_TEST((unknown.outcome == ChangeOutcome::Unknown));
    const auto unavailable = fleet.configure(*old, "c2", 0, "two");
    BOOST_TEST((unavailable.outcome == ChangeOutcome::Unavailable));
    fleet.network.healAll();
    BOOST_REQUIRE(fleet.awaitLeader());
    BOOST_TEST((fleet.configure(*old, "c1", 0, "one").outcome == ChangeOutcome::Accepted));
    BOOST_TEST(old->log->image().configuration().text == "one");
}

BOOST_AUTO_TEST_CASE(withdrawnKeyIsRefusedEverywhereWithinThreeSecondsAlsoBehindAPartition)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        ControlFleet fleet(3, 8, seed);
        BOOST_REQUIRE(fleet.form());
        fleet.submit(fleet.follower(), issueKey(1));
        fleet.timers.run(1s);
        auto& partitioned = *fleet.daemons().front();
        BOOST_TEST(acceptsKey(partitioned, fleet, 1));
        fleet.network.isolate(partitioned.settings.peerAddress);
        const auto result = fleet.submit(fleet.follower(), withdrawKey(1));
        const auto took = fleet.awaitInForce(fleet.follower(), result.index);
        BOOST_REQUIRE(took.has_value());
        BOOST_TEST((*took <= 3s));
        for (const auto& it : fleet.vms()) {
            BOOST_TEST(!acceptsKey(*it, fleet, 1));
        }
        fleet.timers.run(5s);
        BOOST_TEST(!partitioned.session->keysValid(fleet.timers.now()));
        fleet.network.healAll();
        fleet.timers.run(3s);
        BOOST_TEST(partitioned.session->keysValid(fleet.timers.now()));
        BOOST_TEST(!acceptsKey(partitioned, fleet, 1));
    }
}

BOOST_AUTO_TEST_CASE(inForceIsNeverSaidBeforeItHolds)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        ControlFleet fleet(3, 6, seed);
        BOOST_REQUIRE(fleet.form());
        pw::Random random(seed);
        for (auto n = 1; n <= 8; ++n) {
            BOOST_REQUIRE(fleet.awaitLeader(20s));
            fleet.submit(*fleet.leader(), issueKey(n));
            fleet.timers.run(std::chrono::milliseconds(random() % 3000));
            BOOST_REQUIRE(fleet.awaitLeader(20s));
            auto& asked = *fleet.leader();
            fleet.network.isolate(fleet.vms()[random() % fleet.vms().size()]->settings.peerAddress);
            const auto result = fleet.submit(asked, withdrawKey(n));
            if (result.outcome == ChangeOutcome::Accepted && fleet.awaitInForce(asked, result.index)) {
                for (const auto& it : fleet.vms()) {
                    BOOST_TEST(!acceptsKey(*it, fleet, n), it->settings.name << " seed " << seed << " key " << n);
                }
            }
            fleet.network.healAll();
        }
    }
}

BOOST_AUTO_TEST_CASE(changedConfigurationGoesAsTheDifference)
{
    ControlFleet fleet(3, 12, 21);
    BOOST_REQUIRE(fleet.form());
    std::string text;
    for (int n = 0; n < 2000; ++n) {
        text += "route-" + std::to_string(n * 7919) + "\n";
    }
    const auto first = fleet.configure(fleet.follower(), "c0", 0, text);
    BOOST_REQUIRE(fleet.awaitInForce(fleet.follower(), first.index).has_value());
    const auto before = fleet.network.bytesSent(pw::MessageKind::SessionReply);
    constexpr std::uint64_t changes = 20;
    pw::ChangeResult last;
    for (std::uint64_t n = 1; n <= changes; ++n) {
        text += "added-" + std::to_string(n) + "\n";
        last = fleet.configure(fleet.follower(), "c" + std::to_string(n), n, text);
    }
    BOOST_REQUIRE(fleet.awaitInForce(fleet.follower(), last.index).has_value());
    for (const auto& it : fleet.vms()) {
        BOOST_TEST(it->session->version() == changes + 1);
    }
    const auto sent = fleet.network.bytesSent(pw::MessageKind::SessionReply) - before;
    BOOST_TEST(sent < changes * fleet.vms().size() * text.size() / 10);
}

BOOST_AUTO_TEST_CASE(daemonsThatMissedChangesCatchUpInOneMessage)
{
    ControlFleet fleet(3, 4, 22);
    BOOST_REQUIRE(fleet.form());
    auto& late = *fleet.daemons().front();
    fleet.configure(fleet.follower(), "c0", 0, std::string(3000, 'a'));
    fleet.timers.run(1s);
    fleet.network.isolate(late.settings.peerAddress);
    for (std::uint64_t n = 1; n <= 40; ++n) {
        fleet.configure(*fleet.leader(), "c" + std::to_string(n), n, std::string(3000, 'a') + std::to_string(n));
    }
    BOOST_TEST(late.session->version() == 1);
    fleet.network.rejoin(late.settings.peerAddress);
    BOOST_TEST(fleet.timers.runUntil([&late] { return late.session->version() == 41; }, 2s));
}

/// Guards against a delta that is applied to a wrong base version when messages are lost, duplicated and reordered.
BOOST_AUTO_TEST_CASE(differencesSurviveADisorderlyNetwork)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ControlFleet fleet(3, 6, seed);
        BOOST_REQUIRE(fleet.form());
        fleet.network.faults.loss = 0.1;
        fleet.network.faults.duplication = 0.2;
        fleet.network.faults.ordered = false;
        fleet.network.faults.maxDelay = 60ms;
        std::string text(2000, 'x');
        std::uint64_t version = 0;
        for (int n = 0; n < 15; ++n) {
            text += "line " + std::to_string(n) + "\n";
            const auto result = fleet.configure(fleet.follower(), "c" + std::to_string(n), version, text);
            version = result.outcome == ChangeOutcome::Accepted ? result.version : version;
        }
        fleet.network.faults = {};
        const auto& image = fleet.leader()->log->image().configuration();
        const auto followed = [&image](const auto& it) { return it->session->version() == image.version; };
        BOOST_TEST(fleet.timers.runUntil([&] { return std::ranges::all_of(fleet.vms(), followed); }, 5s));
        BOOST_TEST((image.text == text));
    }
}

BOOST_AUTO_TEST_CASE(leaderLossLapsesNoLease)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        ControlFleet fleet(3, 10, seed);
        BOOST_REQUIRE(fleet.form());
        fleet.timers.run(std::chrono::milliseconds(1000 + seed * 37));
        fleet.crash(*fleet.leader());
        const auto lapsed = fleet.timers.runUntil(
            [&] {
                return !std::ranges::all_of(fleet.daemons(), [&](const auto* it) { return it->session->keysValid(fleet.timers.now()); });
            },
            5s);
        BOOST_TEST(!lapsed, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(restartedDaemonServesNothingOlderThanBefore)
{
    ControlFleet fleet(3, 1, 5);
    BOOST_REQUIRE(fleet.form());
    fleet.configure(*fleet.leader(), "c1", 0, "one");
    fleet.timers.run(1s);
    // One member is partitioned from the others but still replies to daemons; it does not receive version 2.
    auto& stale = fleet.follower();
    for (auto* it : fleet.controls()) {
        if (it != &stale) {
            fleet.network.cut(it->settings.peerAddress, stale.settings.peerAddress);
        }
    }
    auto& daemon = *fleet.daemons().front();
    fleet.configure(*fleet.leader(), "c2", 1, "two");
    BOOST_REQUIRE(fleet.timers.runUntil([&] { return daemon.session->version() == 2; }, 5s));
    for (auto* it : fleet.controls()) {
        if (it != &stale) {
            fleet.network.cut(it->settings.peerAddress, daemon.settings.peerAddress);
        }
    }
    fleet.crash(daemon);
    fleet.start(daemon);
    fleet.timers.run(10s);
    BOOST_TEST(stale.log->status().version == 1U);
    BOOST_TEST(daemon.session->version() == 0); // Serves no configuration at all rather than an old one.
    BOOST_TEST(!daemon.session->keysValid(fleet.timers.now()));
    fleet.network.healAll();
    BOOST_TEST(fleet.timers.runUntil([&] { return daemon.session->version() == 2; }, 5s));
}

BOOST_AUTO_TEST_CASE(plannedStopHandsOverAndDaemonsMove)
{
    ControlFleet fleet(3, 6, 6);
    BOOST_REQUIRE(fleet.form());
    auto* old = fleet.leader();
    bool done = false;
    old->log->transferLeadership([&done] { done = true; });
    BOOST_TEST(fleet.timers.runUntil([&] { return done && fleet.leader() && fleet.leader() != old; }, 500ms));
    fleet.crash(*old);
    const auto onOthers = [&](const auto* it) { return it->session->controlMember() != old->settings.peerAddress; };
    BOOST_TEST(fleet.timers.runUntil([&] { return std::ranges::all_of(fleet.daemons(), onOthers); }, 1s));
    const auto lapsed = fleet.timers.runUntil(
        [&] {
            return !std::ranges::all_of(fleet.daemons(), [&](const auto* it) { return it->session->keysValid(fleet.timers.now()); });
        },
        5s);
    BOOST_TEST(!lapsed);
}

BOOST_AUTO_TEST_CASE(bootstrapIsRefusedWhileAnyMemberIsNotKnownToBeEmpty)
{
    ControlFleet fleet(3, 0, 7);
    std::string reason;
    fleet.network.isolate("control2");
    fleet.timers.run(3s);
    BOOST_TEST(!fleet.controls()[0]->log->bootstrap(reason));
    BOOST_TEST(reason.find("control2") != std::string::npos);
    fleet.network.healAll();
    BOOST_REQUIRE(fleet.form());
    fleet.crash(*fleet.controls()[1]);
    fleet.controls()[1]->disk.wipe();
    fleet.start(*fleet.controls()[1]);
    BOOST_TEST(!fleet.controls()[1]->log->bootstrap(reason));
    BOOST_TEST(fleet.timers.runUntil([&] { return fleet.leader() && fleet.isComplete(); }, 5s));
}

BOOST_AUTO_TEST_CASE(stateAndFirstAnswersSurviveSnapshotsAndRestarts)
{
    ControlFleet fleet(3, 1, 8);
    BOOST_REQUIRE(fleet.form());
    const auto first = fleet.submit(*fleet.leader(), issueKey(0));
    for (std::uint64_t n = 0; n < pw::config::raftSnapshotEntries + 100; ++n) {
        fleet.configure(*fleet.leader(), "c" + std::to_string(n), n, "text " + std::to_string(n));
    }
    for (auto* it : fleet.controls()) {
        BOOST_TEST(it->disk.durable.snapshot.index > 0);
        fleet.crash(*it);
    }
    for (auto* it : fleet.controls()) {
        fleet.start(*it);
    }
    BOOST_REQUIRE(fleet.awaitLeader());
    BOOST_TEST((fleet.submit(*fleet.leader(), issueKey(0)) == first));
    BOOST_TEST(fleet.leader()->log->image().configuration().version == pw::config::raftSnapshotEntries + 100);
    BOOST_TEST((fleet.configure(*fleet.leader(), "late", 3, "late").outcome == ChangeOutcome::Conflict));
    BOOST_TEST(fleet.leader()->log->history().size() == pw::config::maxConfigurationHistory);
}

/// Guards against a cluster without a quorum after more than half of the disks were full, one after the other.
BOOST_AUTO_TEST_CASE(disksThatWereFullInTurnLeaveAQuorum)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        ControlFleet fleet(5, 3, seed, 2);
        BOOST_REQUIRE(fleet.form());
        std::uint64_t version = 0;
        for (auto* it : fleet.controls()) {
            it->disk.full = true;
            const auto id = it->settings.name;
            pw::ChangeResult result;
            BOOST_TEST(fleet.timers.runUntil([&] {
                result = fleet.configure(fleet.follower(), id, version, "while the disk of " + id + " is full");
                return result.outcome == ChangeOutcome::Accepted;
            },
                           4s),
                result.reason);
            version = result.version;
            it->disk.full = false;
            fleet.timers.run(4s);
            BOOST_TEST(pw::controlRoleName(it->log->status().role) != "stopped");
        }
        BOOST_TEST(fleet.allValid());
        BOOST_TEST((fleet.configure(fleet.follower(), "last", version, "last").outcome == ChangeOutcome::Accepted));
    }
}

/// Guards against a member without a log, and operators left to wait at it, after a start on a full disk.
BOOST_AUTO_TEST_CASE(memberThatStartsOnAFullDiskJoinsOnceThereIsRoom)
{
    ControlFleet fleet(3, 1, 9);
    BOOST_REQUIRE(fleet.form());
    auto& replaced = fleet.follower();
    fleet.crash(replaced);
    replaced.disk.wipe();
    replaced.disk.full = true;
    fleet.start(replaced);
    fleet.timers.run(2s);
    const auto refused = fleet.submit(replaced, issueKey(1), 100ms);
    BOOST_TEST((refused.outcome == ChangeOutcome::Unavailable));
    BOOST_TEST(refused.reason == "No space left on device");
    replaced.disk.full = false;
    BOOST_TEST(fleet.timers.runUntil([&] { return fleet.leader() && fleet.isComplete() && replaced.log->status().role == pw::ControlRole::Follower; }, 10s));
    BOOST_TEST((fleet.submit(replaced, issueKey(1)).outcome == ChangeOutcome::Accepted));
}

/// Guards against operators that wait for the whole time limit at a member that has stopped.
BOOST_AUTO_TEST_CASE(stoppedMemberAnswersAtOnceWithItsReason)
{
    ControlFleet fleet(3, 1, 10);
    BOOST_REQUIRE(fleet.form());
    auto& full = fleet.follower();
    full.disk.full = true;
    BOOST_TEST((fleet.configure(*fleet.leader(), "c1", 0, "one").outcome == ChangeOutcome::Accepted));
    BOOST_REQUIRE(fleet.timers.runUntil([&] { return full.log->status().role == pw::ControlRole::Stopped; }, 1s));
    const auto refused = fleet.submit(full, issueKey(1), 100ms);
    BOOST_TEST((refused.outcome == ChangeOutcome::Unavailable));
    BOOST_TEST(refused.reason.find("No space left on device") != std::string::npos, refused.reason);
    std::optional<bool> isKnown;
    full.log->readLatest([&isKnown](const auto* record) { isKnown = record != nullptr; });
    fleet.timers.run(100ms);
    BOOST_TEST((isKnown == false));
}

BOOST_AUTO_TEST_SUITE_END()
