#include "config.h"
#include "core/root_throttle.h"
#include "core/slot_price_controller.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <ostream>
#include <vector>

namespace {

using namespace pw;
using namespace std::chrono_literals;

const Rank normal = Importance::Normal;

/// Deployment with routes of three importances and two workspaces with the given rates.
Deployment deploymentWith(double rateOfA, double rateOfB)
{
    Deployment deployment;
    deployment.routes = { { .name = "critical", .importance = Importance::Critical, .open = true },
        { .name = "read", .importance = Importance::Normal, .open = true }, { .name = "low", .importance = Importance::Low, .open = true } };
    deployment.workspaces = { { .name = "a", .rate = rateOfA }, { .name = "b", .rate = rateOfB } };
    return deployment;
}

std::vector<ServiceDemand> costing(double price)
{
    return { { "deep", price, config::referenceWork } };
}

/// Requests of two workspaces, each sent at a constant rate.
struct FairCase {
    const char* name;
    double rateOfA; ///< Weight.
    double rateOfB;
    int sentByA; ///< Requests per second.
    int sentByB;
    double price; ///< Reciprocal of the total share that is admitted.
    double minAdmittedOfA; ///< Requests per second that must be admitted.
    double minAdmittedOfB;
};

std::ostream& operator<<(std::ostream& out, const FairCase& it)
{
    return out << it.name;
}

// Tolerates 10% below the fair share for whole requests and averaging.
const std::vector<FairCase> fairCases {
    { "greedy beside modest: modest gets all", 1, 1, 400, 80, 2, 0.9 * 160, 0.9 * 80 },
    { "equal asks, equal weights", 1, 1, 200, 200, 4, 0.9 * 50, 0.9 * 50 },
    { "equal asks, weights of three to one", 3, 1, 200, 200, 4, 0.9 * 75, 0.9 * 25 },
    { "greedy with the smaller weight", 1, 3, 800, 100, 4.5, 0.9 * 100, 0.9 * 100 },
};

} // namespace

BOOST_AUTO_TEST_SUITE(RootGates)

/// A route leads to a saturated service, and one workspace sends more than its share.
BOOST_DATA_TEST_CASE(workspacesShareWhatIsLetThroughByTheirWeights, boost::unit_test::data::make(fairCases), it)
{
    RootThrottle gate;
    gate.configure(deploymentWith(it.rateOfA, it.rateOfB));
    std::map<std::string, int> passed;
    const TimePoint begin(1h);
    constexpr auto warmUp = 10s;
    constexpr auto measured = 20s;
    const auto ask = [&](const char* workspace, int perSecond, int millisecond) {
        if ((millisecond * perSecond) / 1000 == ((millisecond + 1) * perSecond) / 1000) {
            return;
        }
        const auto now = begin + std::chrono::milliseconds(millisecond);
        const auto lets = gate.admit("read", workspace, normal, costing(it.price), now);
        passed[workspace] += lets && now >= begin + warmUp ? 1 : 0;
    };
    for (auto millisecond = 0; millisecond < std::chrono::milliseconds(warmUp + measured).count(); ++millisecond) {
        ask("a", it.sentByA, millisecond);
        ask("b", it.sentByB, millisecond);
    }
    BOOST_TEST(passed["a"] >= it.minAdmittedOfA * measured.count());
    BOOST_TEST(passed["b"] >= it.minAdmittedOfB * measured.count());
    BOOST_TEST(passed["a"] + passed["b"] <= 1.1 * (it.sentByA + it.sentByB) / it.price * measured.count());
}

/// Guards against slow reaction of the price: requests of only one rank lead to a scarce service.
BOOST_AUTO_TEST_CASE(aPriceCountsAtOnceWhereNoLowerRankLeadsToTheService)
{
    RootThrottle gate;
    gate.configure(deploymentWith(1, 1));
    const TimePoint now(1h);
    gate.admit("read", "a", normal, costing(2), now);
    BOOST_TEST(gate.admittedShare(normal, costing(2)) == 0.5, boost::test_tools::tolerance(0.01));
    // Requests of a lower rank that lead to the service are refused first.
    gate.admit("low", "a", Importance::Low, costing(2), now);
    BOOST_TEST(gate.admittedShare(normal, costing(2)) == 1.0);
    BOOST_TEST(gate.admittedShare(Importance::Low, costing(2)) == 0.5, boost::test_tools::tolerance(0.01));
}

/// A lower rank without recent requests must not cause everything of a higher one to be admitted.
BOOST_AUTO_TEST_CASE(aLowerRankIsForgotten)
{
    RootThrottle gate;
    gate.configure(deploymentWith(1, 1));
    const TimePoint now(1h);
    gate.admit("low", "a", Importance::Low, costing(2), now);
    gate.admit("read", "a", normal, costing(2), now + config::lowestRankTimeout / 2);
    BOOST_TEST(gate.admittedShare(normal, costing(2)) == 1.0);
    gate.admit("read", "a", normal, costing(2), now + config::lowestRankTimeout);
    BOOST_TEST(gate.admittedShare(normal, costing(2)) == 0.5, boost::test_tools::tolerance(0.01));
}

/// Requests offered 1 ms apart.
struct SteadyCase {
    const char* name;
    double price;
    Rank rank;
    int maxAdmitted; ///< Of 1000 requests.
    int minAdmitted;
};

std::ostream& operator<<(std::ostream& out, const SteadyCase& it)
{
    return out << it.name;
}

const std::vector<SteadyCase> steadyCases {
    { "nothing is scarce", 0, normal, 1000, 1000 },
    { "scarce, but worth it", 0.9, normal, 1000, 1000 },
    { "a fifth fits", 5, normal, 210, 190 },
    { "at any price some pass as probes", 1e9, normal, 12, 8 },
    { "a higher rank goes on where a fifth of the lower one fits", 5, Importance::Critical, 1000, 1000 },
};

BOOST_DATA_TEST_CASE(theShareFollowsThePrice, boost::unit_test::data::make(steadyCases), it)
{
    RootThrottle gate;
    gate.configure(deploymentWith(1, 1));
    const TimePoint begin(1h);
    gate.admit("read", "b", normal, costing(it.price), begin);
    auto passed = 0;
    constexpr auto warmUp = 10'000;
    constexpr auto asked = 1000;
    for (auto n = 1; n <= warmUp + asked; ++n) {
        const auto lets = gate.admit("read", "a", it.rank, costing(it.price), begin + std::chrono::milliseconds(n));
        passed += lets && n > warmUp ? 1 : 0;
    }
    BOOST_TEST(passed <= it.maxAdmitted);
    BOOST_TEST(passed >= it.minAdmitted);
}

/// The offered load is about 1.5 times what a scarce service can serve, from many short and few long requests of equal
/// rank. Nearly the maximum number of callers is served, and the long requests are not starved.
BOOST_AUTO_TEST_CASE(scarceSlotsServeAsManyCallersAsTheyCan)
{
    struct Kind {
        const char* route;
        std::chrono::microseconds work;
        int everyMillis;
        int asked = 0;
        int passed = 0;
    };
    std::vector<Kind> kinds { { "short", 50ms, 3 }, { "long", 350ms, 10 } };
    constexpr double slots = 30;
    constexpr int warmUp = 10'000;
    constexpr int measured = 20'000;
    RootThrottle gate;
    SlotPriceController priceController;
    gate.configure(deploymentWith(1, 1));
    const TimePoint begin(1h);
    for (int millis = 0; millis < warmUp + measured; ++millis) {
        const auto now = begin + std::chrono::milliseconds(millis);
        for (auto& it : kinds) {
            if (millis % it.everyMillis) {
                continue;
            }
            const auto lets = gate.admit(it.route, "a", normal, { { "deep", priceController.price(), it.work } }, now);
            if (lets) {
                priceController.callArrived(it.work, now);
            }
            it.asked += millis >= warmUp ? 1 : 0;
            it.passed += lets && millis >= warmUp ? 1 : 0;
        }
        priceController.update(slots, {}, now);
    }
    const auto workOf = [](const Kind& it, int count) { return std::chrono::duration<double, std::milli>(it.work).count() * count; };
    const auto capacity = config::targetUtilization * slots * measured;
    // Maximum that can be served: all short requests, and long ones with the remaining capacity.
    const auto best = kinds[0].asked + (capacity - workOf(kinds[0], kinds[0].asked)) / workOf(kinds[1], 1);
    BOOST_TEST(kinds[0].passed + kinds[1].passed >= 0.95 * best);
    BOOST_TEST(kinds[1].passed >= 0.1 * kinds[1].asked);
    BOOST_TEST(workOf(kinds[0], kinds[0].passed) + workOf(kinds[1], kinds[1].passed) <= 1.05 * capacity);
}

/// A service recovers after a long overload; no request may be refused because of the earlier price.
BOOST_AUTO_TEST_CASE(theGateOpensAtOnceWhenThePriceEnds)
{
    RootThrottle gate;
    gate.configure(deploymentWith(1, 1));
    const TimePoint begin(1h);
    for (auto n = 0; n < 10'000; ++n) {
        gate.admit("read", "a", normal, costing(1000), begin + std::chrono::milliseconds(n));
    }
    BOOST_TEST(gate.admit("read", "a", normal, costing(0), begin + 10s));
    BOOST_TEST(gate.admit("read", "a", normal, costing(0), begin + 10s));
}

/// State of routes and workspaces that a new configuration does not contain must be removed.
BOOST_AUTO_TEST_CASE(whatTheConfigurationLacksIsForgotten)
{
    RootThrottle gate;
    gate.configure(deploymentWith(1, 1));
    const TimePoint now(1h);
    gate.admit("read", "a", normal, costing(2), now);
    gate.admit("read", "withdrawn", normal, costing(2), now);
    gate.admit("gone", "a", normal, costing(2), now);
    BOOST_TEST(gate.trackedFlowCount() == 3U);
    gate.configure(deploymentWith(1, 1));
    BOOST_TEST(gate.trackedFlowCount() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
