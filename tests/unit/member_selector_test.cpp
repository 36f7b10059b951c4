#include "core/member_selector.h"

#include "config.h"
#include "support/control_fleet.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace std::chrono_literals;
using pw::MemberLocation;
using pw::MemberSelector;
using pw::test::ControlFleet;

const std::vector<MemberLocation> places { { "a", "north" }, { "b", "north" }, { "c", "south" }, { "d", "" } };

struct Preference {
    const char* title;
    pw::DaemonLocation daemon;
    std::vector<std::string> expectedFirst; ///< Members that precede all others, in any order.
};

std::ostream& operator<<(std::ostream& out, const Preference& it)
{
    return out << it.title;
}

const Preference preferences[] {
    { "those of the own failure domain", { "daemon", "x", "north" }, { "a", "b" } },
    { "the only one there", { "daemon", "x", "south" }, { "c" } },
    { "a member itself, wherever the others are", { "control", "c", "north" }, { "c" } },
    { "an unknown place is not near to an unknown one", { "daemon", "x", "" }, {} },
};

/// \returns whether every daemon is attached to a member of its own failure domain.
bool allInOwnDomain(const ControlFleet& fleet)
{
    return std::ranges::all_of(fleet.daemons(), [&fleet](const ControlFleet::Vm* daemon) {
        return std::ranges::any_of(fleet.controls(), [daemon](const ControlFleet::Vm* it) {
            return it->settings.peerAddress == daemon->session->controlMember()
                && it->settings.failureDomain == daemon->settings.failureDomain;
        });
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(MemberChoices)

BOOST_DATA_TEST_CASE(nearMembersComeFirst, preferences)
{
    auto order = pw::orderByProximity(places, sample.daemon);
    BOOST_REQUIRE(order.size() == places.size());
    std::sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(sample.expectedFirst.size()));
    BOOST_TEST(std::equal(sample.expectedFirst.begin(), sample.expectedFirst.end(), order.begin()));
}

BOOST_AUTO_TEST_CASE(daemonsOfOneDomainSpreadOverItsMembers)
{
    std::set<std::string> used;
    for (int n = 0; n < 32; ++n) {
        used.insert(pw::orderByProximity(places, { "daemon" + std::to_string(n), "x", "north" }).front());
    }
    BOOST_TEST((used == std::set<std::string> { "a", "b" }));
}

BOOST_AUTO_TEST_CASE(memberInUseStaysAmongOthersUntilItIsReset)
{
    MemberSelector choice({ "a", "b", "c" });
    choice.next();
    choice.update({ "d", "c", "b" });
    BOOST_TEST(choice.current() == "b");
    BOOST_TEST(!choice.isPreferred());
    choice.reset();
    BOOST_TEST(choice.current() == "d");
    choice.update({ "a", "c" });
    BOOST_TEST(choice.current() == "a");
}

BOOST_AUTO_TEST_CASE(daemonsAttachInTheirOwnFailureDomainAndComeBackToIt)
{
    ControlFleet fleet(5, 20, 11);
    BOOST_REQUIRE(fleet.form());
    BOOST_TEST(fleet.timers.runUntil([&fleet] { return allInOwnDomain(fleet); }, pw::config::sessionRebalanceTime + 2s));
    auto& lost = fleet.follower();
    fleet.crash(lost);
    fleet.timers.run(3s);
    const auto isValid = [&fleet](const ControlFleet::Vm* it) { return it->session->keysValid(fleet.timers.now()); };
    BOOST_TEST(std::ranges::all_of(fleet.daemons(), isValid));
    BOOST_TEST(!allInOwnDomain(fleet));
    fleet.start(lost);
    BOOST_TEST(fleet.timers.runUntil([&fleet] { return allInOwnDomain(fleet); }, pw::config::sessionRebalanceTime + 2s));
}

BOOST_AUTO_TEST_SUITE_END()
