#include "adapters/codec_control.h"
#include "config.h"
#include "core/fleet_state.h"
#include "support/control_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

namespace data = boost::unit_test::data;
using namespace std::chrono_literals;
using pw::ChangeOutcome;
using pw::test::ControlFleet;

pw::Change orderOf(const std::string& id, const std::string& domain, bool evacuated, std::optional<std::uint64_t> base = {})
{
    return { id, pw::SetEvacuation { domain, evacuated, base } };
}

/// \returns a state in which "a" was evacuated at index 2, "b" evacuated at index 3 and finished at index 4.
pw::FleetState startState()
{
    pw::FleetState state;
    state.apply(1, { "c1", pw::SubmitConfiguration { 0, "one" } });
    state.apply(2, orderOf("a1", "a", true));
    state.apply(3, orderOf("b1", "b", true));
    state.apply(4, orderOf("b2", "b", false));
    return state;
}

/// An order in startState().
struct Row {
    std::string name;
    pw::SetEvacuation order;
    ChangeOutcome outcome;
};

std::ostream& operator<<(std::ostream& stream, const Row& row)
{
    return stream << row.name;
}

const std::vector<Row> rows {
    { "new domain without base", { "c", true, {} }, ChangeOutcome::Accepted },
    { "new domain on base 0", { "c", true, 0 }, ChangeOutcome::Accepted },
    { "new domain on another base", { "c", true, 2 }, ChangeOutcome::Conflict },
    { "finish of a new domain", { "c", false, 0 }, ChangeOutcome::Accepted },
    { "finish on the current base", { "a", false, 2 }, ChangeOutcome::Accepted },
    { "finish on an older base", { "a", false, 0 }, ChangeOutcome::Conflict },
    { "finish on a later base", { "a", false, 3 }, ChangeOutcome::Conflict },
    { "start again on the base of the start", { "b", true, 3 }, ChangeOutcome::Conflict },
    { "start again on the base of the finish", { "b", true, 4 }, ChangeOutcome::Accepted },
    { "requested state on an older base", { "a", true, 0 }, ChangeOutcome::Accepted },
    { "requested state on the current base", { "b", false, 4 }, ChangeOutcome::Accepted },
    { "longest name", { std::string(64, 'x'), true, 0 }, ChangeOutcome::Accepted },
    { "name too long", { std::string(65, 'x'), true, 0 }, ChangeOutcome::Invalid },
    { "no name", { "", true, 0 }, ChangeOutcome::Invalid },
    { "not a name", { "a/b", true, 0 }, ChangeOutcome::Invalid },
};

/// Fleet with one daemon in each of three failure domains beside the control members.
struct Fleet : ControlFleet {
    explicit Fleet(std::uint64_t seed, std::size_t members = 3, std::uint32_t toleratedLosses = 1)
        : ControlFleet(members, 3, seed, toleratedLosses)
    {
        BOOST_REQUIRE(form());
    }

    pw::ChangeResult order(Vm& vm, const std::string& id, bool evacuated, const std::string& domain = "domain1")
    {
        return submit(vm, orderOf(id, domain, evacuated));
    }

    /// \returns whether all running daemons agree that \p domain is evacuated, or that it is not.
    bool allKnow(bool evacuated, const std::string& domain = "domain1") const
    {
        return std::ranges::all_of(vms(), [&](const auto& it) { return !it->session || it->session->isEvacuated(domain) == evacuated; });
    }

    bool awaitAllKnow(bool evacuated, pw::Duration limit, const std::string& domain = "domain1")
    {
        return timers.runUntil([&] { return allKnow(evacuated, domain); }, limit);
    }

    /// Cuts \p vm off from the other control members; daemons still reach it.
    void cutFromControls(const Vm& vm)
    {
        for (const auto* it : controls()) {
            if (it != &vm) {
                network.cut(it->settings.peerAddress, vm.settings.peerAddress);
            }
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Evacuation)

BOOST_DATA_TEST_CASE(ordersAreAcceptedOrRefused, data::make(rows), row)
{
    auto state = startState();
    const auto before = state.image();
    const auto applied = state.apply(5, { "x", row.order });
    BOOST_TEST((applied.result.outcome == row.outcome));
    BOOST_TEST(applied.delta.has_value() == (row.outcome == ChangeOutcome::Accepted));
    BOOST_TEST(state.image().index() == 5U);
    auto daemon = before;
    if (applied.delta) {
        daemon.apply(*applied.delta);
        BOOST_TEST(state.image().evacuationRevision(row.order.failureDomain) == 5U);
        BOOST_TEST(state.image().isEvacuated(row.order.failureDomain) == row.order.evacuated);
        BOOST_TEST((state.apply(6, { "x", row.order }).result == applied.result)); // Re-sent.
        daemon.advance(6);
    }
    daemon.advance(state.image().index());
    BOOST_TEST((daemon == state.image()));
}

/// Guards against an order that was delayed undoing a later one, also where the later one changed nothing.
BOOST_AUTO_TEST_CASE(orderThatChangesNothingOutdatesEarlierOrders)
{
    for (const auto base : { 0U, 4U }) {
        auto state = startState();
        const std::string domain = base == 0 ? "c" : "b";
        BOOST_TEST((state.apply(5, orderOf("finish", domain, false, base)).result.outcome == ChangeOutcome::Accepted));
        BOOST_TEST((state.apply(6, orderOf("delayed", domain, true, base)).result.outcome == ChangeOutcome::Conflict));
        BOOST_TEST(!state.image().isEvacuated(domain));
    }
}

/// The base differs when an order is sent again to another member, which must not make it another change; and a conflict
/// with a base that the member filled in must not be the answer for good.
BOOST_AUTO_TEST_CASE(resentOrderWithAnotherBaseIsTheSameChange)
{
    auto state = startState();
    BOOST_TEST((state.apply(5, orderOf("x", "a", false, 0)).result.outcome == ChangeOutcome::Conflict));
    const auto accepted = state.apply(6, orderOf("x", "a", false, 2)).result;
    BOOST_TEST((accepted.outcome == ChangeOutcome::Accepted));
    state.apply(7, orderOf("y", "a", true, 6));
    BOOST_TEST((state.apply(8, orderOf("x", "a", false, 7)).result == accepted));
    BOOST_TEST((state.apply(9, orderOf("x", "a", true, 7)).result.outcome == ChangeOutcome::Invalid));
    BOOST_TEST(state.image().isEvacuated("a"));
}

BOOST_AUTO_TEST_CASE(numberOfDomainsIsBounded)
{
    pw::FleetState state;
    for (std::uint64_t n = 1; n <= pw::config::maxEvacuations; ++n) {
        BOOST_TEST((state.apply(n, orderOf("c" + std::to_string(n), "domain" + std::to_string(n), n % 2 == 0)).result.outcome == ChangeOutcome::Accepted));
    }
    BOOST_TEST((state.apply(100, orderOf("more", "another", true)).result.outcome == ChangeOutcome::Invalid));
    BOOST_TEST((state.apply(101, orderOf("known", "domain1", true)).result.outcome == ChangeOutcome::Accepted));
}

BOOST_AUTO_TEST_CASE(snapshotsImagesAndDeltasKeepEvacuations)
{
    auto state = startState();
    const auto read = pw::decodeFleetState(pw::encodeFleetState(state));
    BOOST_REQUIRE(read);
    BOOST_TEST((read->image() == state.image()));
    BOOST_TEST(read->image().isEvacuated("a"));
    BOOST_TEST(!read->image().isEvacuated("b"));
    BOOST_TEST(read->image().evacuationRevision("b") == 4U);
    const auto applied = state.apply(5, orderOf("new", "c", true));
    BOOST_REQUIRE(applied.delta.has_value());
    const pw::SessionReply reply { 1, true, {}, {}, 4, 5, state.image(), { *applied.delta }, {} };
    const auto received = pw::decodeSessionReply(pw::encodeSessionReply(reply));
    BOOST_REQUIRE(received);
    BOOST_TEST((received->image == reply.image));
    BOOST_TEST((std::get<pw::EvacuationRecord>(received->deltas.at(0).change) == pw::EvacuationRecord { "c", true, 5 }));
}

BOOST_AUTO_TEST_CASE(ordersKeepWhetherTheyHaveABase)
{
    for (const auto base : { std::optional<std::uint64_t>(), std::optional<std::uint64_t>(0), std::optional<std::uint64_t>(7) }) {
        const auto read = pw::decodeOperatorAsk(pw::encodeOperatorAsk({ 1, orderOf("x", "a", false, base) }));
        BOOST_REQUIRE(read);
        const auto& order = std::get<pw::SetEvacuation>(std::get<pw::Change>(read->operation).operation);
        BOOST_TEST(order.failureDomain == "a");
        BOOST_TEST(!order.evacuated);
        BOOST_TEST((order.baseRevision == base));
    }
}

BOOST_AUTO_TEST_CASE(damagedMessagesAreRefused)
{
    const auto bytes = pw::encodeFleetState(startState());
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        auto damaged = bytes;
        damaged[n] ^= std::byte { 0xff };
        pw::decodeFleetState(damaged); // Must not crash, whatever the result.
        pw::decodeSessionReply(damaged);
        pw::decodeChange(damaged);
    }
    BOOST_TEST(!pw::decodeFleetState(std::span(bytes).first(bytes.size() / 2)).has_value());
}

BOOST_AUTO_TEST_CASE(ordersReachEveryDaemonWithinASecond)
{
    Fleet fleet(1);
    std::size_t notified = 0;
    fleet.daemons().front()->session->onChanged([&notified] { ++notified; });
    BOOST_TEST((fleet.order(fleet.follower(), "o1", true).outcome == ChangeOutcome::Accepted));
    BOOST_TEST(fleet.awaitAllKnow(true, 1s));
    BOOST_TEST(!fleet.daemons().front()->session->isEvacuated("domain2"));
    BOOST_TEST((fleet.order(fleet.follower(), "o2", true).outcome == ChangeOutcome::Accepted));
    fleet.timers.run(1s);
    BOOST_TEST(notified == 1U); // The second order changed nothing.
    BOOST_TEST((fleet.order(fleet.follower(), "o3", false).outcome == ChangeOutcome::Accepted));
    BOOST_TEST(fleet.awaitAllKnow(false, 1s));
    BOOST_TEST(notified == 2U);
}

/// A member that has acknowledged an order knows its revision before the log entry is applied there.
BOOST_AUTO_TEST_CASE(ordersInSuccessionAtOneMemberDoNotConflict)
{
    Fleet fleet(2);
    for (auto n = 0; n < 20; ++n) {
        const auto result = fleet.order(fleet.follower(), "o" + std::to_string(n), n % 2 == 0);
        BOOST_TEST((result.outcome == ChangeOutcome::Accepted), result.reason);
    }
}

/// Guards against a start that a member held while it had lost the leader undoing a finish acknowledged meanwhile. The state
/// before is: never changed, finished, and evacuated, so that the finish changes the state or changes nothing.
BOOST_AUTO_TEST_CASE(delayedOrderDoesNotUndoALaterOne)
{
    for (const std::string before : { "", "f", "sf", "s" }) {
        for (const auto delay : { 100ms, 300ms, 600ms, 900ms, 1500ms, 5000ms }) {
            BOOST_TEST_CONTEXT("before " << before << " delay " << delay.count())
            {
                Fleet fleet(3);
                for (std::size_t n = 0; n < before.size(); ++n) {
                    fleet.order(*fleet.leader(), "before" + std::to_string(n), before[n] == 's');
                }
                fleet.timers.run(1s);
                auto& cutOff = fleet.follower();
                fleet.cutFromControls(cutOff);
                std::optional<pw::ChangeResult> delayed;
                cutOff.log->submit(orderOf("delayed", "domain1", true), [&delayed](const auto& it) { delayed = it; });
                BOOST_TEST((fleet.order(*fleet.leader(), "finish", false).outcome == ChangeOutcome::Accepted));
                fleet.timers.run(delay);
                fleet.network.healAll();
                fleet.timers.run(8s);
                BOOST_REQUIRE(delayed.has_value());
                BOOST_TEST((delayed->outcome != ChangeOutcome::Accepted));
                BOOST_TEST((delayed->outcome != ChangeOutcome::Invalid));
                BOOST_TEST(fleet.allKnow(false));
            }
        }
    }
}

/// Guards against an operator who waits longer for a member without the leader than it resends the order.
BOOST_AUTO_TEST_CASE(memberWithoutLeaderAnswersWithinASecondAndAHalf)
{
    Fleet fleet(4);
    auto& cutOff = fleet.follower();
    fleet.network.isolate(cutOff.settings.peerAddress);
    fleet.timers.run(2s);
    const auto began = fleet.timers.now();
    const auto result = fleet.order(cutOff, "o1", true);
    BOOST_TEST((result.outcome == ChangeOutcome::Unknown || result.outcome == ChangeOutcome::Unavailable));
    BOOST_TEST((fleet.timers.now() - began <= 1500ms));
}

/// The platform's operator resends an order for 4 s, to any member, after no answer or a refusal.
BOOST_AUTO_TEST_CASE(ordersAreAcknowledgedWithinFourSecondsWhenTheLeaderIsLost)
{
    pw::Duration longest {};
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Fleet fleet(seed);
        fleet.crash(*fleet.leader());
        const auto began = fleet.timers.now();
        auto outcome = ChangeOutcome::Unknown;
        for (std::uint64_t n = 0; outcome != ChangeOutcome::Accepted && fleet.timers.now() - began < 4s; ++n) {
            if (auto& asked = *fleet.controls()[(seed + n) % fleet.controls().size()]; asked.log) {
                outcome = fleet.order(asked, "o" + std::to_string(n), true).outcome;
            }
            fleet.timers.run(50ms);
        }
        BOOST_TEST((outcome == ChangeOutcome::Accepted), "seed " << seed);
        longest = std::max(longest, fleet.timers.now() - began);
    }
    BOOST_TEST_MESSAGE("longest time to the acknowledgement: " << std::chrono::duration_cast<std::chrono::milliseconds>(longest).count() << " ms");
    BOOST_TEST((longest <= 4s));
}

/// Counts the refusals of orders that alternate between members, as those lag behind an acknowledgement.
BOOST_AUTO_TEST_CASE(ordersInSuccessionAtOtherMembersAreAcknowledgedWithinASecond)
{
    Fleet fleet(7);
    std::size_t refused = 0;
    for (std::size_t n = 0; n < 30; ++n) {
        const auto began = fleet.timers.now();
        auto outcome = ChangeOutcome::Unknown;
        for (auto copy = 0; outcome != ChangeOutcome::Accepted && copy < 20; ++copy) {
            outcome = fleet.order(*fleet.controls()[n % 3], "o" + std::to_string(n) + "-" + std::to_string(copy), n % 2 == 0).outcome;
            refused += outcome == ChangeOutcome::Accepted ? 0 : 1;
            fleet.timers.run(20ms);
        }
        BOOST_TEST((outcome == ChangeOutcome::Accepted));
        BOOST_TEST((fleet.timers.now() - began <= 1s));
    }
    BOOST_TEST_MESSAGE("refused copies: " << refused);
}

BOOST_AUTO_TEST_CASE(acknowledgedOrderSurvivesTwoWipedDisksAndARestartOfAll)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            Fleet fleet(seed, 5, 2);
            BOOST_REQUIRE((fleet.order(fleet.follower(), "o1", true).outcome == ChangeOutcome::Accepted));
            // Wiped at once, before the acknowledged order has reached the followers that had not synced it.
            auto controls = fleet.controls();
            std::ranges::rotate(controls, controls.begin() + static_cast<std::ptrdiff_t>(seed % controls.size()));
            for (auto* it : { controls[0], controls[1] }) {
                fleet.crash(*it);
                it->disk.wipe();
            }
            for (auto* it : { controls[2], controls[3], controls[4] }) {
                fleet.crash(*it);
            }
            for (auto* it : controls) {
                fleet.start(*it);
            }
            BOOST_REQUIRE(fleet.awaitLeader(20s));
            BOOST_TEST(fleet.awaitAllKnow(true, 10s));
            BOOST_TEST(fleet.leader()->log->image().isEvacuated("domain1"));
        }
    }
}

BOOST_AUTO_TEST_CASE(evacuationsSurviveCompactionOfTheLog)
{
    Fleet fleet(5);
    fleet.order(*fleet.leader(), "o1", true);
    for (std::uint64_t n = 0; n < pw::config::raftSnapshotEntries + 10; ++n) {
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
    BOOST_TEST(fleet.leader()->log->image().isEvacuated("domain1"));
}

BOOST_AUTO_TEST_CASE(restartedDaemonKnowsEvacuationsBeforeItChecksKeys)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Fleet fleet(seed);
        fleet.configure(*fleet.leader(), "c1", 0, "one");
        fleet.order(*fleet.leader(), "o1", true);
        fleet.timers.run(1s);
        auto& daemon = *fleet.daemons().front();
        fleet.crash(daemon);
        fleet.start(daemon);
        BOOST_TEST(!daemon.session->isEvacuated("domain1"));
        BOOST_REQUIRE(fleet.timers.runUntil([&] { return daemon.session->keysValid(fleet.timers.now()) || daemon.session->version() > 0; }, 5s));
        BOOST_TEST(daemon.session->isEvacuated("domain1"));
    }
}

BOOST_AUTO_TEST_CASE(daemonWithoutContactKeepsWhatItKnew)
{
    Fleet fleet(6);
    fleet.order(*fleet.leader(), "o1", true);
    BOOST_REQUIRE(fleet.awaitAllKnow(true, 1s));
    auto& daemon = *fleet.daemons().front();
    fleet.network.isolate(daemon.settings.peerAddress);
    fleet.order(*fleet.leader(), "o2", false);
    fleet.timers.run(20s);
    BOOST_TEST(daemon.session->isEvacuated("domain1"));
    fleet.network.healAll();
    BOOST_TEST(fleet.awaitAllKnow(false, 3s));
}

BOOST_AUTO_TEST_SUITE_END()
