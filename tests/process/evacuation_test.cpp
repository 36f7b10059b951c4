#include "support/mesh.h"

#include <boost/test/unit_test.hpp>

using namespace pw::test;

namespace {

/// Time within which a daemon that reaches the control members must know an acknowledged order.
constexpr milliseconds evacuationBound { 5000 };
constexpr milliseconds electionBound { 10000 };

/// Three control daemons and a daemon with the entry role.
struct EvacuationFleet {
    EvacuationFleet()
        : entry(fleet.addEntry())
    {
        fleet.configure(meshConfiguration);
    }

    /// \returns whether the status of the daemon at \p address lists \p domain as evacuated.
    bool isListed(const std::string& address, const std::string& domain)
    {
        return fleet.operators().runAt(address, { "status" }).output.find("\"evacuatedDomains\":[\"" + domain + "\"]") != std::string::npos;
    }

    Fleet fleet;
    Daemon& entry;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Evacuation)

/// Guards against an acknowledged order that is lost with the processes, or unknown to a daemon.
BOOST_AUTO_TEST_CASE(evacuationIsInForceEverywhereAndSurvivesRestarts)
{
    EvacuationFleet test;
    auto& operators = test.fleet.operators();
    const auto ordered = operators.run({ "evacuate", "d1", "--wait" });
    BOOST_TEST(ordered.status == 0, ordered.output);
    BOOST_TEST(ordered.output.find("\"inForce\":true") != std::string::npos, ordered.output);
    BOOST_TEST(test.isListed(test.entry.spec().operators, "d1"));
    for (auto& it : test.fleet.controls()) {
        it.crash();
    }
    test.entry.crash();
    for (auto& it : test.fleet.controls()) {
        it.start();
    }
    test.entry.start();
    BOOST_TEST(eventually(electionBound, [&] { return test.isListed(test.entry.spec().operators, "d1"); }));
    const auto again = operators.run({ "evacuate", "d1" });
    BOOST_TEST(again.status == 0, again.output);
    const auto finished = operators.run({ "evacuate", "d1", "--finish" });
    BOOST_TEST(finished.status == 0, finished.output);
    BOOST_TEST(eventually(evacuationBound, [&] { return !test.isListed(test.entry.spec().operators, "d1"); }));
    const auto outdated = operators.run({ "evacuate", "d1", "--base", "0" });
    BOOST_TEST(outdated.status == 3, outdated.output);
    BOOST_TEST(outdated.output.find("revision is now") != std::string::npos, outdated.output);
}

BOOST_AUTO_TEST_SUITE_END()
