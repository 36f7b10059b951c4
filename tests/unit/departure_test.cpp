#include "adapters/codec_control.h"
#include "app/departure_log.h"
#include "config.h"
#include "support/control_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <ostream>
#include <ranges>
#include <vector>

namespace {

using namespace pw;
using namespace pw::test;
using namespace std::chrono_literals;

constexpr std::uint64_t departed = 7;
constexpr std::size_t members = 5;
constexpr std::uint32_t toleratedLosses = 2;
constexpr Duration bound = 20s;

/// Real control members and a daemon that records departures, on a simulated network.
class Fleet {
public:
    explicit Fleet(std::uint64_t seed)
        : fleet(members, 1, seed, toleratedLosses)
        , daemon(*fleet.daemons().front())
    {
        BOOST_REQUIRE(fleet.form());
        openLog();
    }

    /// Records a departure and waits for the answer.
    bool record(std::uint64_t start)
    {
        std::optional<bool> result;
        log->record(start, [&result](bool it) { result = it; });
        BOOST_REQUIRE(fleet.timers.runUntil([&result] { return result.has_value(); }, bound));
        return *result;
    }

    /// Starts \p vms again \p downTime after they have crashed.
    void restart(const std::vector<ControlFleet::Vm*>& vms, Duration downTime)
    {
        fleet.timers.run(downTime);
        for (auto* it : vms) {
            fleet.start(*it);
        }
        if (std::ranges::find(vms, &daemon) != vms.end()) {
            openLog();
        }
    }

    void crash(ControlFleet::Vm& vm)
    {
        if (&vm == &daemon) {
            log.reset();
            changes.reset();
        }
        fleet.crash(vm);
    }

    /// \returns the control members and the daemon.
    std::vector<ControlFleet::Vm*> all() const
    {
        auto result = fleet.controls();
        result.push_back(&daemon);
        return result;
    }

    ControlFleet fleet;
    ControlFleet::Vm& daemon;
    test::NullEventLog events;
    std::unique_ptr<ChangeSubmitter> changes;
    std::unique_ptr<DepartureLog> log;

private:
    void openLog()
    {
        changes = std::make_unique<ChangeSubmitter>(daemon.settings, *daemon.session, *daemon.peer, fleet.timers);
        log = std::make_unique<DepartureLog>(*daemon.session, *changes, fleet.timers, events);
    }
};

/// What is restarted right after a departure was confirmed.
struct RestartRow {
    const char* name;
    std::vector<ControlFleet::Vm*> (*restarted)(const Fleet&);
    std::size_t wiped; ///< Control members that lose their disk.
    Duration downTime;
};

std::ostream& operator<<(std::ostream& out, const RestartRow& row)
{
    return out << row.name;
}

const std::vector<RestartRow> restartRows {
    { "everything, at once", [](const Fleet& it) { return it.all(); }, 0, 0s },
    { "everything, for a second", [](const Fleet& it) { return it.all(); }, 0, 1s },
    { "everything, two disks lost", [](const Fleet& it) { return it.all(); }, toleratedLosses, 0s },
    { "control", [](const Fleet& it) { return it.fleet.controls(); }, 0, 0s },
    { "control, two disks lost", [](const Fleet& it) { return it.fleet.controls(); }, toleratedLosses, 1s },
    { "the daemon", [](const Fleet& it) { return std::vector { &it.daemon }; }, 0, 0s },
    { "the leader", [](const Fleet& it) { return std::vector { it.fleet.leader() }; }, 1, 1s },
};

constexpr std::uint64_t seeds = 3;

} // namespace

BOOST_AUTO_TEST_SUITE(Departures)

/// Guards against a leave that was confirmed and is not known any more when announcements are trusted again.
BOOST_DATA_TEST_CASE(aConfirmedDepartureOutlivesRestarts, boost::unit_test::data::make(restartRows), row)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Fleet fleet(seed);
        BOOST_REQUIRE(fleet.record(departed));
        // The leader has the entry for certain, others only because it was confirmed: its disk is lost first.
        auto controls = fleet.fleet.controls();
        std::ranges::stable_partition(controls, [leader = fleet.fleet.leader()](const auto* it) { return it == leader; });
        const auto restarted = row.restarted(fleet);
        std::ranges::for_each(restarted, [&](auto* it) { fleet.crash(*it); });
        std::ranges::for_each(controls | std::views::take(row.wiped), [](auto* it) { it->disk.wipe(); });
        fleet.restart(restarted, row.downTime);
        BOOST_TEST(fleet.fleet.timers.runUntil([&] { return fleet.log->canTrustAnnouncements(); }, bound));
        BOOST_TEST(fleet.log->hasDeparted(departed), "seed " << seed);
        BOOST_TEST(!fleet.log->hasDeparted(departed + 1));
    }
}

/// Guards against an acknowledgement that no quorum has recorded.
BOOST_AUTO_TEST_CASE(aDepartureIsNotConfirmedWithoutAQuorum)
{
    Fleet fleet(1);
    const auto controls = fleet.fleet.controls();
    for (std::size_t n = 0; n < 3; ++n) {
        fleet.crash(*controls[n]);
    }
    const auto began = fleet.fleet.timers.now();
    BOOST_TEST(!fleet.record(departed));
    BOOST_TEST((fleet.fleet.timers.now() - began <= config::leaveConfirmTimeout));
    BOOST_TEST(!fleet.log->hasDeparted(departed));
    // Recording goes on, so that a later notice is confirmed.
    for (std::size_t n = 0; n < 3; ++n) {
        fleet.fleet.start(*controls[n]);
    }
    BOOST_TEST(fleet.fleet.timers.runUntil([&] { return fleet.log->hasDeparted(departed); }, bound));
    BOOST_TEST(fleet.record(departed));
}

/// Guards against a late announcement that a new process trusts before it knows what an earlier one has confirmed, and against a
/// server that stays out of use while control is out of reach.
BOOST_AUTO_TEST_CASE(aNewProcessTrustsAnnouncementsOnceTheyCannotBeLate)
{
    Fleet fleet(1);
    for (auto* it : fleet.fleet.controls()) {
        fleet.crash(*it);
    }
    fleet.crash(fleet.daemon);
    fleet.restart({ &fleet.daemon }, 0s);
    BOOST_TEST(!fleet.log->canTrustAnnouncements());
    fleet.fleet.timers.run(config::maxAnnouncementDelay - 1ms);
    BOOST_TEST(!fleet.log->canTrustAnnouncements());
    fleet.fleet.timers.run(1ms);
    BOOST_TEST(fleet.log->canTrustAnnouncements());
}

/// Guards against departures that fill the state, and against losing them in a snapshot.
BOOST_AUTO_TEST_CASE(theLastDeparturesAreKept)
{
    FleetState state;
    (void)state.apply(1, { "an operator's", WithdrawKey { "none" } });
    const auto applied = config::maxRecordedDepartures + 1;
    for (std::uint64_t n = 1; n <= applied; ++n) {
        const Change change { "c" + std::to_string(n), RecordDeparture { n } };
        const auto copy = decodeChange(encodeChange(change));
        BOOST_REQUIRE(copy.has_value());
        BOOST_REQUIRE((state.apply(n + 1, *copy).result.outcome == ChangeOutcome::Accepted));
    }
    BOOST_TEST((state.apply(applied + 2, { "again", RecordDeparture { applied } }).result.outcome == ChangeOutcome::Accepted));
    BOOST_TEST((state.apply(applied + 3, { "none", RecordDeparture { 0 } }).result.outcome == ChangeOutcome::Invalid));
    const auto& departures = state.image().departures();
    BOOST_TEST(departures.size() == config::maxRecordedDepartures);
    BOOST_TEST(departures.front() == 2U);
    BOOST_TEST(departures.back() == applied);
    // The answers to operators are kept.
    BOOST_TEST(state.storedAnswers().size() == 1U);
    const auto restored = decodeFleetState(encodeFleetState(state));
    BOOST_REQUIRE(restored.has_value());
    BOOST_TEST((restored->image() == state.image()));
}

BOOST_AUTO_TEST_SUITE_END()
