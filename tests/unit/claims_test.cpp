#include "app/control_claims.h"
#include "app/daemon_claims.h"
#include "config.h"
#include "core/claim_replica.h"
#include "core/claim_round.h"
#include "core/claim_table.h"
#include "core/local_claims.h"
#include "support/fake_network.h"
#include "support/fleet_fakes.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace pw;
using namespace pw::test;
using namespace std::chrono_literals;

class FakeMarker : public StartMarker {
public:
    bool isSet() const override { return m_set; }

    bool set() override
    {
        m_set = true;
        return true;
    }

    void clear() { m_set = false; }

private:
    bool m_set = false;
};

/// Control members and daemons that claim request ids on a fake network; counts the runs that they allow.
class ClaimsFleet {
public:
    using Outcomes = std::vector<ClaimOutcome>;

    ClaimsFleet(std::uint64_t seed, std::size_t members, std::size_t daemons)
        : network(timers, seed)
        , m_random(seed)
        , m_markers(members)
        , m_members(members)
        , m_daemons(daemons)
    {
        for (std::size_t n = 0; n < members; ++n) {
            m_addresses.push_back("c" + std::to_string(n));
        }
        for (std::size_t n = 0; n < members; ++n) {
            startMember(n);
        }
        for (std::size_t n = 0; n < daemons; ++n) {
            restartDaemon(n);
        }
    }

    void stopMember(std::size_t n) { m_members[n].reset(); }

    void startMember(std::size_t n)
    {
        m_members[n].reset();
        m_members[n] = std::make_unique<Member>(*this, m_addresses[n], m_markers[n], m_random());
    }

    /// Replaces the member's VM by one with an empty data folder.
    void replaceMember(std::size_t n)
    {
        m_markers[n].clear();
        startMember(n);
    }

    bool ready(std::size_t n) const { return m_members[n] && m_members[n]->claims.ready(); }

    bool othersReady(std::size_t except) const
    {
        for (std::size_t n = 0; n < m_members.size(); ++n) {
            if (n != except && !ready(n)) {
                return false;
            }
        }
        return true;
    }

    void restartDaemon(std::size_t n)
    {
        m_daemons[n].reset();
        m_daemons[n] = std::make_unique<Daemon>(*this, daemonAddress(n), m_random());
        ++m_starts[n];
    }

    static PeerAddress daemonAddress(std::size_t n) { return "d" + std::to_string(n); }

    /// Claims \p id at daemon \p n; if granted, the claim is finished after \p runTime with \p verdict.
    void request(std::size_t n, const std::string& id, Duration runTime = 20ms, Verdict verdict = Verdict::Ran, Duration timeout = 1s)
    {
        m_daemons[n]->claims.claim("w", id, timers.now() + timeout, [=, this](ClaimOutcome outcome, std::optional<StoredAnswer> answer) {
            outcomes[id].push_back(outcome);
            if (answer) {
                answers.push_back(*answer);
            }
            if (outcome == ClaimOutcome::Granted) {
                run(n, id, runTime, verdict);
            }
        });
    }

    /// \returns the outcome of a claim with no other claim in progress.
    ClaimOutcome outcomeAt(std::size_t n, const std::string& id)
    {
        request(n, id);
        timers.run(2s);
        return outcomes[id].back();
    }

    void waitReady()
    {
        for (std::size_t n = 0; n < m_members.size(); ++n) {
            timers.runUntil([&] { return ready(n); }, 10s);
            BOOST_TEST(ready(n));
        }
    }

    FakeTimers timers;
    FakeNetwork network;
    std::map<std::string, Outcomes> outcomes;
    std::vector<StoredAnswer> answers;
    std::size_t repeatedRuns = 0;
    std::size_t granted = 0;

private:
    struct Member {
        Member(ClaimsFleet& fleet, const PeerAddress& address, StartMarker& marker, std::uint64_t seed)
            : peer(fleet.network, address)
            , claims(daemonSettings(address, fleet.m_addresses), peer, fleet.timers, fleet.m_events, marker, seed)
        {
        }

        FakePeer peer;
        ControlClaims claims;
    };

    struct Daemon {
        Daemon(ClaimsFleet& fleet, const PeerAddress& address, std::uint64_t seed)
            : peer(fleet.network, address)
            , claims(daemonSettings(address, fleet.m_addresses), peer, fleet.timers, seed, fleet.m_events)
        {
        }

        FakePeer peer;
        DaemonClaims claims;
    };

    void run(std::size_t n, const std::string& id, Duration runTime, Verdict verdict)
    {
        ++granted;
        repeatedRuns += m_mayHaveRun[id] ? 1 : 0;
        m_mayHaveRun[id] = true;
        const auto start = m_starts[n];
        timers.after(runTime, [=, this] {
            if (m_starts[n] != start) {
                return; // The daemon was restarted while the request ran.
            }
            if (verdict == Verdict::NotRun) {
                m_mayHaveRun[id] = false;
            }
            m_daemons[n]->claims.finish("w", id, { 200, {}, "answer to " + id, { verdict, Reason::None, {} } });
        });
    }

    NullEventLog m_events;
    Random m_random;
    std::vector<PeerAddress> m_addresses;
    std::vector<FakeMarker> m_markers;
    std::vector<std::unique_ptr<Member>> m_members;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::map<std::size_t, int> m_starts;
    std::map<std::string, bool> m_mayHaveRun;
};

/// Injects a random fault: restarts, replaced members and cut links.
void injectRandomFault(ClaimsFleet& fleet, Random& random, std::size_t members, std::size_t daemons)
{
    const auto choice = uniform(random);
    const auto member = random() % members;
    const auto daemon = random() % daemons;
    if (choice < 0.01) {
        fleet.startMember(member);
    } else if (choice < 0.015) {
        fleet.stopMember(member);
    } else if (choice < 0.02 && members > 1 && fleet.othersReady(member)) { // Claims are lost for good if no complete replica is left.
        fleet.replaceMember(member);
    } else if (choice < 0.03) {
        fleet.restartDaemon(daemon);
    } else if (choice < 0.05) {
        fleet.network.cut(ClaimsFleet::daemonAddress(daemon), "c" + std::to_string(member));
    } else if (choice < 0.06) {
        fleet.network.cut(ClaimsFleet::daemonAddress(daemon), ClaimsFleet::daemonAddress(random() % daemons));
    } else if (choice < 0.09) {
        fleet.network.healAll();
    }
}

struct FleetSize {
    std::size_t members;
    std::size_t daemons;
};

std::ostream& operator<<(std::ostream& out, const FleetSize& size)
{
    return out << size.members << " members, " << size.daemons << " daemons";
}

const std::vector<FleetSize> sizes { { 1, 2 }, { 2, 3 }, { 3, 4 }, { 5, 4 }, { 7, 3 } };

} // namespace

BOOST_AUTO_TEST_SUITE(claims)

BOOST_DATA_TEST_CASE(nothingRunsTwice, boost::unit_test::data::xrange(1, 9) * boost::unit_test::data::make(sizes), seed, size)
{
    ClaimsFleet fleet(static_cast<std::uint64_t>(seed), size.members, size.daemons);
    fleet.waitReady();
    fleet.network.faults = { 1ms, 60ms, 0.08, 0.1, false };
    Random random(static_cast<std::uint64_t>(seed) * 104729);
    const auto end = fleet.timers.now() + config::claimRetention - 10s;
    while (fleet.timers.now() < end) {
        injectRandomFault(fleet, random, size.members, size.daemons);
        const auto id = "id" + std::to_string(random() % 3) + "/" + std::to_string(random() % 60);
        const auto verdict = uniform(random) < 0.5 ? Verdict::NotRun : Verdict::Ran;
        for (int n = 0; n < 3; ++n) {
            fleet.request(random() % size.daemons, id, std::chrono::milliseconds(random() % 300), verdict);
            fleet.timers.run(std::chrono::milliseconds(random() % 60));
        }
        fleet.timers.run(std::chrono::milliseconds(random() % 200));
    }
    BOOST_TEST(fleet.repeatedRuns == 0U);
    BOOST_TEST(fleet.granted > 0U);
}

BOOST_AUTO_TEST_CASE(roundsRestoredFromDifferentReplicasKeepTheKeyTakenUntilAllAreReleased)
{
    const TimePoint now { 1h };
    const ClaimKey key { 1, 2 };
    ClaimTable table(config::claimRetention);
    table.restore({ key, 11, "loser", 0ms }, now);
    table.restore({ key, 22, "winner", 5s }, now);
    const auto vote = table.claim("loser", { key, 11 }, now);
    BOOST_TEST((vote.kind == ClaimVoteKind::Taken));
    BOOST_TEST(vote.holderToken == 22U);
    table.release("loser", { key, 11 }, now);
    BOOST_TEST((table.claim("other", { key, 33 }, now).kind == ClaimVoteKind::Taken));
    table.release("stranger", { key, 22 }, now);
    BOOST_TEST((table.claim("other", { key, 33 }, now).kind == ClaimVoteKind::Taken));
    table.release("winner", { key, 22 }, now);
    BOOST_TEST((table.claim("other", { key, 33 }, now).kind == ClaimVoteKind::Granted));
}

BOOST_AUTO_TEST_CASE(lateRepetitionOfAReleasedClaimIsNotGranted)
{
    const TimePoint now { 1h };
    const ClaimRequest request { { 1, 2 }, 11 };
    ClaimTable table(config::claimRetention);
    BOOST_TEST((table.claim("d1", request, now).kind == ClaimVoteKind::Granted));
    BOOST_TEST((table.claim("d1", request, now).kind == ClaimVoteKind::Granted));
    table.release("d1", { request.key, request.token }, now);
    BOOST_TEST((table.claim("d1", request, now).kind == ClaimVoteKind::Taken));
    BOOST_TEST((table.claim("d2", { request.key, 22 }, now).kind == ClaimVoteKind::Granted));
}

BOOST_AUTO_TEST_CASE(refillCountsOnlyAfterRoundsOfTheEarlierProcessAreDecided)
{
    const TimePoint start { 1h };
    ClaimReplica replica({ "c1" }, 7, false, { config::claimRetention, config::claimRoundLimit }, start);
    ClaimRefillPage page;
    page.requesterIncarnation = 7;
    page.incarnation = 8;
    page.ready = true;
    page.done = true;
    const auto settled = start + config::claimRoundLimit;
    page.settled = replica.refillRequests(settled - 1ms).front().second.settled;
    replica.addPage("c1", page, settled); // Requested before the limit, received after it.
    BOOST_TEST(!replica.complete(settled));
    page.settled = replica.refillRequests(settled).front().second.settled;
    page.ready = false;
    replica.addPage("c1", page, settled);
    BOOST_TEST(!replica.complete(settled));
    page.ready = true;
    replica.addPage("c1", page, settled);
    BOOST_TEST(replica.complete(settled));
}

BOOST_AUTO_TEST_CASE(membersFoundTheReplicasOnlyWhenAllAreAtTheirFirstStart)
{
    const TimePoint start { 1h };
    const ClaimReplicaTimes times { config::claimRetention, config::claimRoundLimit };
    ClaimReplica replica({ "c1", "c2" }, 7, true, times, start);
    ClaimRefillPage page;
    page.requesterIncarnation = 7;
    page.incarnation = 8;
    page.firstStart = true;
    replica.addPage("c1", page, start);
    BOOST_TEST(!replica.complete(start));
    page.incarnation = 9;
    page.firstStart = false; // Restarted, so it may have granted.
    replica.addPage("c2", page, start);
    BOOST_TEST(!replica.complete(start));
    page.initialIncarnations = { 8, 9, 6 }; // Lists an earlier process of this member instead of this one.
    replica.addPage("c2", page, start);
    BOOST_TEST(!replica.complete(start));
    page.initialIncarnations = { 8, 9, 7 };
    replica.addPage("c2", page, start);
    BOOST_TEST(replica.complete(start));
}

BOOST_AUTO_TEST_CASE(restartedMemberFoundsNothing)
{
    const TimePoint start { 1h };
    ClaimReplica replica({ "c1" }, 7, false, { config::claimRetention, config::claimRoundLimit }, start);
    ClaimRefillPage page;
    page.requesterIncarnation = 7;
    page.incarnation = 8;
    page.firstStart = true; // Replaced, so it has lost the claims that it and this member granted.
    replica.addPage("c1", page, start);
    BOOST_TEST(!replica.complete(start));
}

BOOST_AUTO_TEST_CASE(roundNeedsAMajorityInTime)
{
    const TimePoint start { 1h };
    const Duration limit = config::claimRoundLimit;
    ClaimRound round({ 1, 2 }, 11, { "c1", "c2", "c3" }, start);
    const ClaimVote granted { { 1, 2 }, 11, ClaimVoteKind::Granted, {}, 0 };
    round.vote("c1", granted);
    round.vote("c1", granted);
    round.vote("stranger", granted);
    round.vote("c2", { { 1, 2 }, 10, ClaimVoteKind::Granted, {}, 0 });
    BOOST_TEST((round.state(start, limit) == ClaimRoundState::Pending));
    round.vote("c2", granted);
    BOOST_TEST((round.state(start, limit) == ClaimRoundState::Won));
    BOOST_TEST((round.state(start + limit, limit) == ClaimRoundState::Unavailable));
}

BOOST_AUTO_TEST_CASE(keptAnswersAreBoundedInBytesAndNumber)
{
    const TimePoint now { 1h };
    LocalClaims claims({ config::claimRetention, 10, 1000 });
    for (std::uint64_t n = 1; n <= 100; ++n) {
        claims.beginRound({ n, n }, n, now);
        claims.markRunning({ n, n });
        if (n > 1) {
            claims.storeAnswer({ n, n }, { 200, {}, std::string(200, 'x'), {} }, now);
        }
    }
    BOOST_TEST(claims.answerBytes() <= 1000U);
    BOOST_TEST(claims.size() <= 11U);
    BOOST_TEST((claims.fetchReply({ 1, 1 }, 1).state == ClaimState::Running)); // Not evicted while it is running.
    BOOST_TEST((claims.fetchReply({ 50, 50 }, 50).state == ClaimState::Unknown));
    BOOST_TEST((claims.fetchReply({ 100, 100 }, 100).state == ClaimState::Answered));
}

BOOST_AUTO_TEST_CASE(resendGetsTheKeptAnswerAtAnyDaemon)
{
    ClaimsFleet fleet(1, 3, 3);
    fleet.waitReady();
    BOOST_TEST((fleet.outcomeAt(0, "a") == ClaimOutcome::Granted));
    BOOST_TEST((fleet.outcomeAt(0, "a") == ClaimOutcome::Answered));
    BOOST_TEST((fleet.outcomeAt(1, "a") == ClaimOutcome::Answered));
    BOOST_REQUIRE(fleet.answers.size() == 2U);
    BOOST_TEST(fleet.answers[1].body == "answer to a");
    BOOST_TEST(fleet.answers[1].status == 200);
}

BOOST_AUTO_TEST_CASE(resendWhileRunningIsToldSo)
{
    ClaimsFleet fleet(2, 3, 3);
    fleet.waitReady();
    fleet.request(0, "a", 10s);
    fleet.timers.run(100ms);
    BOOST_TEST((fleet.outcomeAt(1, "a") == ClaimOutcome::Running));
    BOOST_TEST((fleet.outcomeAt(0, "a") == ClaimOutcome::Running));
}

BOOST_AUTO_TEST_CASE(idThatDidNotRunIsFreeAgain)
{
    ClaimsFleet fleet(3, 3, 3);
    fleet.waitReady();
    fleet.request(0, "a", 10ms, Verdict::NotRun);
    fleet.timers.run(1s);
    BOOST_TEST((fleet.outcomeAt(1, "a") == ClaimOutcome::Granted));
    BOOST_TEST(fleet.repeatedRuns == 0U);
}

BOOST_AUTO_TEST_CASE(restartedClaimerMakesTheOutcomeUnknown)
{
    ClaimsFleet fleet(4, 3, 2);
    fleet.waitReady();
    fleet.request(0, "a", 1s);
    fleet.timers.run(100ms);
    fleet.restartDaemon(0);
    BOOST_TEST((fleet.outcomeAt(0, "a") == ClaimOutcome::Unknown));
    BOOST_TEST((fleet.outcomeAt(1, "a") == ClaimOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(cutOffDaemonClaimsNothing)
{
    ClaimsFleet fleet(5, 3, 2);
    fleet.waitReady();
    fleet.network.cut("d0", "c0");
    fleet.network.cut("d0", "c1");
    BOOST_TEST((fleet.outcomeAt(0, "a") == ClaimOutcome::Unavailable));
    BOOST_TEST((fleet.outcomeAt(1, "a") == ClaimOutcome::Granted));
    BOOST_TEST((fleet.outcomeAt(0, "b") == ClaimOutcome::Unavailable));
    fleet.network.healAll();
    fleet.timers.run(3s);
    BOOST_TEST((fleet.outcomeAt(0, "b") == ClaimOutcome::Granted));
}

BOOST_AUTO_TEST_CASE(claimerBehindAPartitionMakesTheOutcomeUnknown)
{
    ClaimsFleet fleet(6, 3, 2);
    fleet.waitReady();
    BOOST_TEST((fleet.outcomeAt(0, "a") == ClaimOutcome::Granted));
    fleet.network.isolate("d0");
    BOOST_TEST((fleet.outcomeAt(1, "a") == ClaimOutcome::Unknown));
    fleet.network.rejoin("d0");
    BOOST_TEST((fleet.outcomeAt(1, "a") == ClaimOutcome::Answered));
}

BOOST_AUTO_TEST_CASE(restartedMemberRefillsBeforeItGrants)
{
    ClaimsFleet fleet(7, 3, 2);
    fleet.waitReady();
    fleet.stopMember(2); // The majority is c0 and c1.
    BOOST_TEST((fleet.outcomeAt(0, "a") == ClaimOutcome::Granted));
    fleet.network.isolate("d0");
    fleet.startMember(2);
    fleet.startMember(0); // Two members have lost their claims: only c1 holds this one.
    BOOST_TEST((fleet.outcomeAt(1, "a") != ClaimOutcome::Granted));
    fleet.timers.run(20s);
    BOOST_TEST(!fleet.ready(0));
    BOOST_TEST(!fleet.ready(2));
    fleet.timers.run(config::claimRetention);
    BOOST_TEST(fleet.ready(0));
    BOOST_TEST(fleet.ready(2));
}

BOOST_AUTO_TEST_CASE(secondMemberLostRightAfterARepair)
{
    ClaimsFleet fleet(8, 3, 3);
    fleet.waitReady();
    fleet.stopMember(2);
    BOOST_TEST((fleet.outcomeAt(0, "a") == ClaimOutcome::Granted));
    fleet.replaceMember(2);
    fleet.timers.run(3s);
    BOOST_TEST(fleet.ready(2));
    fleet.stopMember(0);
    BOOST_TEST((fleet.outcomeAt(1, "a") == ClaimOutcome::Answered));
    fleet.replaceMember(0);
    fleet.timers.run(3s);
    BOOST_TEST(fleet.ready(0));
    BOOST_TEST((fleet.outcomeAt(2, "a") == ClaimOutcome::Answered));
    BOOST_TEST((fleet.outcomeAt(2, "b") == ClaimOutcome::Granted));
}

BOOST_AUTO_TEST_CASE(idIsNewAgainAfterTheRetentionTime)
{
    ClaimsFleet fleet(9, 3, 2);
    fleet.waitReady();
    BOOST_TEST((fleet.outcomeAt(0, "a") == ClaimOutcome::Granted));
    fleet.timers.run(config::claimRetention - 10s);
    BOOST_TEST((fleet.outcomeAt(1, "a") == ClaimOutcome::Answered));
    fleet.timers.run(10s);
    BOOST_TEST((fleet.outcomeAt(1, "a") == ClaimOutcome::Granted));
}

BOOST_AUTO_TEST_SUITE_END()
