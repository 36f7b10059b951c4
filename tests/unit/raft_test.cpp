#include "support/raft_cluster.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

namespace data = boost::unit_test::data;
using namespace std::chrono_literals;
using pw::test::RaftCluster;

void checkInvariants(const RaftCluster& cluster)
{
    BOOST_TEST(cluster.violations.empty(), cluster.firstViolation() << " (" << cluster.violations.size() << " in all)");
}

/// A write that fails at a member with a full disk.
struct FailedWrite {
    const char* name;
    bool atLeader;
    bool takesEffect; ///< The write replaces the file although it is reported as failed.
    void (*provoke)(RaftCluster& cluster, RaftCluster::Node& full);
};

std::ostream& operator<<(std::ostream& stream, const FailedWrite& write)
{
    return stream << write.name << (write.atLeader ? " at the leader" : " at a follower") << (write.takesEffect ? ", in effect" : "");
}

void provokeAppend(RaftCluster& cluster, RaftCluster::Node&)
{
    cluster.propose("proposed");
}

void provokeVote(RaftCluster& cluster, RaftCluster::Node& full)
{
    cluster.crash(cluster.other(full));
    cluster.crash(cluster.leader() && cluster.leader() != &full ? *cluster.leader() : cluster.other(full));
}

void provokeSnapshot(RaftCluster& cluster, RaftCluster::Node& full)
{
    cluster.compact(full);
}

const FailedWrite failedWrites[] {
    { "append", true, false, provokeAppend },
    { "append", false, false, provokeAppend },
    { "vote", false, false, provokeVote },
    { "vote", false, true, provokeVote },
    { "snapshot", true, false, provokeSnapshot },
    { "snapshot", true, true, provokeSnapshot },
    { "snapshot", false, false, provokeSnapshot },
    { "snapshot", false, true, provokeSnapshot },
};

} // namespace

BOOST_AUTO_TEST_SUITE(RaftMembers)

BOOST_AUTO_TEST_CASE(formsAClusterFromOneFounder)
{
    RaftCluster cluster(3, 1);
    cluster.run(3s);
    BOOST_TEST(cluster.leader() == nullptr); // Empty members do not bootstrap a cluster on their own.
    BOOST_TEST(cluster.form());
    cluster.propose("x");
    cluster.run(100ms);
    BOOST_TEST(cluster.accepted.contains("x"));
    checkInvariants(cluster);
}

BOOST_AUTO_TEST_CASE(cutOffLeaderStopsBeforeAnotherActsAndReturnsQuietly)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        RaftCluster cluster(3, seed, true);
        BOOST_REQUIRE(cluster.form());
        auto* old = cluster.leader();
        cluster.network.isolate(old->name);
        cluster.run(320ms); // Leader lease of 300 ms on a clock that may be 2% slow.
        BOOST_TEST(!old->raft->leading(cluster.localNow(*old)));
        BOOST_REQUIRE(cluster.awaitLeader(3s));
        const auto epoch = cluster.leader()->raft->term();
        cluster.run(20s);
        cluster.network.healAll();
        cluster.run(3s);
        BOOST_TEST(cluster.leader()->raft->term() == epoch); // The returning member does not depose the leader.
        BOOST_TEST(cluster.allAreCurrentVoters());
        checkInvariants(cluster);
    }
}

BOOST_AUTO_TEST_CASE(followerThatHearsNobodyUnseatsNoHealthyLeader)
{
    for (const auto oneWay : { true, false }) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            RaftCluster cluster(3, seed);
            BOOST_REQUIRE(cluster.form());
            auto* lead = cluster.leader();
            const auto epoch = lead->raft->term();
            auto& unreachable = cluster.other(*lead);
            for (const auto& it : cluster.nodes) {
                cluster.network.cutOneWay(it->name, unreachable.name);
                if (!oneWay) {
                    cluster.network.cutOneWay(unreachable.name, it->name);
                }
            }
            cluster.run(std::chrono::milliseconds(3000 + 37 * seed));
            cluster.network.healAll();
            cluster.run(2s);
            BOOST_TEST(cluster.leader() == lead);
            BOOST_TEST(lead->raft->term() == epoch);
        }
    }
}

BOOST_AUTO_TEST_CASE(entriesOfEarlierTermsCommitOnlyWithOneOfTheOwn)
{
    pw::test::FakeDisk disk;
    const std::vector<pw::ControlMemberRecord> members { { 1, "a", "a", true }, { 2, "b", "b", true }, { 3, "c", "c", true } };
    disk.durable.vote = { 1, 9, 3, 0 };
    disk.durable.entries = { { 1, 1, pw::EntryKind::Members, {}, members }, { 2, 2, pw::EntryKind::Change, "old", {} } };
    pw::test::FakeLogStorage storage(disk);
    pw::Random random(1);
    auto now = pw::TimePoint(1h);
    pw::Raft raft({}, storage, *storage.open(random), "a", "a", 1, now);
    now += 1s;
    raft.tick(now);
    raft.receive("b", { 9, 2, 1, 3, pw::VoteReply { 1, true, true, false } }, now);
    raft.receive("b", { 9, 2, 1, 4, pw::VoteReply { 2, false, true, false } }, now);
    BOOST_REQUIRE((raft.role() == pw::RaftRole::Leader));
    raft.receive("b", { 9, 2, 1, 4, pw::AppendReply { true, 2, now.time_since_epoch() } }, now);
    BOOST_TEST(raft.commitIndex() == 0U);
    BOOST_TEST(!raft.leading(now));
    raft.receive("b", { 9, 2, 1, 4, pw::AppendReply { true, 3, now.time_since_epoch() } }, now);
    BOOST_TEST(raft.commitIndex() == 3U);
    BOOST_TEST(raft.leading(now));
}

BOOST_AUTO_TEST_CASE(votesOnlyAsAMemberAndNeverRightAfterARestart)
{
    const std::vector<pw::ControlMemberRecord> members { { 1, "a", "a", true }, { 2, "b", "b", true }, { 3, "c", "c", true } };
    const pw::RaftMessage ask { 9, 2, 1, 4, pw::VoteRequest { 1, 4, 5, 3, false, false } };
    for (const auto isMember : { true, false }) {
        pw::test::FakeDisk disk;
        disk.durable.vote = { 1, isMember ? 9U : 0U, 3, 0 };
        if (isMember) {
            disk.durable.entries = { { 1, 1, pw::EntryKind::Members, {}, members } };
        }
        pw::test::FakeLogStorage storage(disk);
        pw::Random random(1);
        const auto start = pw::TimePoint(1h);
        pw::Raft raft({}, storage, *storage.open(random), "a", "a", 1, start);
        raft.receive("b", ask, start + 399ms); // It may have had contact with a leader just before its restart.
        BOOST_TEST(raft.takeMessages().empty());
        raft.receive("b", ask, start + 401ms);
        BOOST_TEST(raft.takeMessages().size() == (isMember ? 1U : 0U));
        BOOST_TEST(disk.durable.vote.votedFor == (isMember ? 2U : 0U));
    }
}

BOOST_AUTO_TEST_CASE(membersChangeOneAtATime)
{
    RaftCluster cluster(5, 9);
    BOOST_REQUIRE(cluster.form());
    auto* lead = cluster.leader();
    const auto now = cluster.localNow(*lead);
    const auto isOther = [&](const auto& it) { return it.get() != lead; };
    const auto first = std::ranges::find_if(cluster.nodes, isOther);
    const auto second = std::find_if(std::next(first), cluster.nodes.end(), isOther);
    BOOST_TEST(lead->raft->removeMember((*first)->name, now));
    BOOST_TEST(!lead->raft->removeMember((*second)->name, now)); // The first removal is not committed yet.
    cluster.run(100ms);
    BOOST_TEST(lead->raft->removeMember((*second)->name, cluster.localNow(*lead)));
}

BOOST_AUTO_TEST_CASE(minorityNeverAccepts)
{
    RaftCluster cluster(3, 3);
    BOOST_REQUIRE(cluster.form());
    auto* lead = cluster.leader();
    for (const auto& it : cluster.nodes) {
        if (it.get() != lead) {
            cluster.crash(*it);
        }
    }
    cluster.propose("late");
    cluster.run(5s);
    BOOST_TEST(cluster.accepted.empty());
    BOOST_TEST(!cluster.propose("later").has_value());
}

BOOST_AUTO_TEST_CASE(handsTheLeadershipOverWithoutAnElectionTimeout)
{
    RaftCluster cluster(3, 4);
    BOOST_REQUIRE(cluster.form());
    auto* old = cluster.leader();
    old->raft->transferLeadership(cluster.localNow(*old));
    BOOST_TEST(!old->raft->leading(cluster.localNow(*old)));
    BOOST_TEST(cluster.runUntil([&] { return cluster.leader() && cluster.leader() != old; }, 200ms));
    checkInvariants(cluster);
}

BOOST_AUTO_TEST_CASE(catchesUpFromTheLogAndFromASnapshot)
{
    for (const auto compacts : { false, true }) {
        RaftCluster cluster(3, 5);
        BOOST_REQUIRE(cluster.form());
        auto& lagging = cluster.other(*cluster.leader());
        cluster.crash(lagging);
        for (auto n = 0; n < 700; ++n) {
            BOOST_REQUIRE(cluster.propose("change " + std::to_string(n)).has_value());
            cluster.run(2ms);
        }
        if (compacts) {
            cluster.compact(*cluster.leader());
            BOOST_TEST(cluster.leader()->raft->entriesSinceSnapshot() == 0);
        }
        cluster.start(lagging);
        BOOST_TEST(cluster.runUntil([&] { return cluster.allAreCurrentVoters(); }, 3s));
        BOOST_TEST(cluster.accepted.size() == 700);
        checkInvariants(cluster);
    }
}

BOOST_AUTO_TEST_CASE(emptyFolderIsANewMemberAndASecondLossAfterTheRepairIsSurvived)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        RaftCluster cluster(3, seed);
        BOOST_REQUIRE(cluster.form());
        cluster.propose("before");
        cluster.run(100ms);
        auto& first = cluster.other(*cluster.leader());
        const auto oldIdentity = first.raft->identity();
        cluster.crash(first);
        first.disk.wipe();
        cluster.start(first);
        BOOST_TEST(first.raft->identity() != oldIdentity);
        BOOST_REQUIRE(cluster.runUntil([&] { return cluster.allAreCurrentVoters(); }, 5s));
        cluster.crash(*cluster.leader());
        BOOST_REQUIRE(cluster.awaitLeader(3s));
        cluster.propose("after");
        cluster.run(200ms);
        BOOST_TEST(cluster.accepted.size() == 2);
        checkInvariants(cluster);
    }
}

BOOST_AUTO_TEST_CASE(twoEmptyFoldersDoNotMakeAQuorum)
{
    RaftCluster cluster(3, 6);
    BOOST_REQUIRE(cluster.form());
    for (auto n = 0; n < 2; ++n) {
        auto& node = *cluster.nodes[static_cast<std::size_t>(n)];
        cluster.crash(node);
        node.disk.wipe();
        cluster.start(node);
    }
    cluster.run(20s);
    BOOST_TEST(cluster.leader() == nullptr);
    BOOST_TEST(cluster.nodes[0]->raft->members().empty());
}

BOOST_AUTO_TEST_CASE(removedMemberLearnsThatItIsOut)
{
    RaftCluster cluster(3, 7);
    BOOST_REQUIRE(cluster.form());
    auto* lead = cluster.leader();
    auto& gone = cluster.other(*lead);
    cluster.network.isolate(gone.name);
    BOOST_TEST(lead->raft->removeMember(gone.name, cluster.localNow(*lead)));
    cluster.run(2s);
    cluster.network.healAll();
    cluster.run(3s);
    BOOST_TEST(gone.raft->removed());
    BOOST_TEST(cluster.leader() == lead);
}

BOOST_AUTO_TEST_CASE(fullDiskHaltsTheMemberAndTheOthersGoOn)
{
    RaftCluster cluster(3, 8);
    BOOST_REQUIRE(cluster.form());
    auto* old = cluster.leader();
    old->disk.full = true;
    cluster.propose("lost");
    BOOST_TEST(old->raft->halted());
    BOOST_TEST(old->raft->haltReason() == "No space left on device");
    BOOST_REQUIRE(cluster.awaitLeader(3s));
    cluster.propose("kept");
    cluster.run(200ms);
    BOOST_TEST(cluster.accepted == std::set<std::string> { "kept" }, boost::test_tools::per_element());
    checkInvariants(cluster);
}

/// Guards against a member that stays halted after its disk has room again.
BOOST_DATA_TEST_CASE(memberTakesPartAgainAfterAFailedWrite, data::make(failedWrites))
{
    RaftCluster cluster(5, 9);
    BOOST_REQUIRE(cluster.form());
    cluster.propose("before");
    cluster.run(200ms);
    auto& full = sample.atLeader ? *cluster.leader() : cluster.other(*cluster.leader());
    full.disk.full = true;
    full.disk.keepsFailedWrite = sample.takesEffect;
    sample.provoke(cluster, full);
    BOOST_TEST(cluster.runUntil([&full] { return full.raft->halted(); }, 5s));
    cluster.run(1s);
    full.disk.full = false;
    for (const auto& it : cluster.nodes) {
        if (!it->raft) {
            cluster.start(*it);
        }
    }
    BOOST_TEST(cluster.runUntil([&] { return cluster.allAreCurrentVoters(); }, 5s));
    cluster.propose("after");
    cluster.run(500ms);
    BOOST_TEST(cluster.accepted.contains("before"));
    BOOST_TEST(cluster.accepted.contains("after"));
    // The other members commit an entry that a follower has not stored.
    const auto othersStored = sample.provoke == provokeAppend && !sample.atLeader;
    BOOST_TEST(cluster.accepted.contains("proposed") == othersStored);
    BOOST_TEST(full.raft->appliedIndex() == cluster.leader()->raft->lastIndex());
    checkInvariants(cluster);
}

/// Guards against a member that continues on a data folder which lost entries that it has acknowledged.
BOOST_AUTO_TEST_CASE(memberDoesNotResumeWithoutItsCommittedEntries)
{
    RaftCluster cluster(3, 10);
    BOOST_REQUIRE(cluster.form());
    cluster.propose("kept");
    cluster.run(200ms);
    auto& full = cluster.other(*cluster.leader());
    const auto before = full.disk.durable;
    full.disk.full = true;
    cluster.propose("also kept");
    BOOST_REQUIRE(cluster.runUntil([&full] { return full.raft->halted(); }, 1s));
    auto shorter = before;
    shorter.entries.pop_back();
    BOOST_TEST(full.raft->mayResume());
    BOOST_TEST(!full.raft->resume(shorter, cluster.localNow(full)));
    BOOST_TEST(!full.raft->mayResume());
    BOOST_TEST(full.raft->halted());
}

BOOST_AUTO_TEST_SUITE_END()
