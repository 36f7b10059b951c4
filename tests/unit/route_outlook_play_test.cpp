#include "core/route_outlook.h"
#include "support/outlook_simulation.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

namespace {

using namespace pw::test;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

/// Chain whose calls each fail with a probability of 0.55 for 8.5 s.
struct ChainCase {
    const char* name;
    int calls;
    bool idempotent;
    double perSecond; ///< Requests per second and daemon.
};

std::ostream& operator<<(std::ostream& out, const ChainCase& it)
{
    return out << it.name;
}

const std::vector<ChainCase> chainCases {
    { "1 call", 1, false, 10 },
    { "1 call, idempotent", 1, true, 10 },
    { "2 calls", 2, false, 10 },
    { "2 calls, idempotent", 2, true, 10 },
    { "3 calls", 3, false, 10 },
    { "3 calls, idempotent", 3, true, 10 },
    { "4 calls", 4, false, 10 },
    { "4 calls, idempotent", 4, true, 10 },
    { "8 calls", 8, false, 10 },
    { "8 calls, idempotent", 8, true, 10 },
    { "8 calls, few requests", 8, false, 4 },
    { "8 calls, idempotent, few requests", 8, true, 4 },
    { "4 calls, few requests", 4, false, 4 },
    { "4 calls, many requests", 4, false, 50 },
};

OutlookLoad loadOf(const ChainCase& it)
{
    OutlookLoad load;
    load.calls = it.calls;
    load.idempotent = it.idempotent;
    load.perSecond = it.perSecond;
    load.troubleFailure = 0.55;
    return load;
}

/// Largest share of the requests by which `on` may serve less than `off`.
constexpr double tolerance = 0.005;

constexpr int lastSeed = 3;

/// A route that fails now and then, or that gets few requests.
struct HealthyCase {
    const char* name;
    double failure; ///< Probability that a request fails.
    double troubleFailure; ///< The same for 8.5 s.
    double perSecond;
    bool idempotent;
};

std::ostream& operator<<(std::ostream& out, const HealthyCase& it)
{
    return out << it.name;
}

const std::vector<HealthyCase> healthyCases {
    { "application errors of one in a thousand", 0.001, 0, 10, false },
    { "application errors of one in a hundred", 0.01, 0, 10, false },
    { "a single bad server out of ten", 0.1, 0, 10, false },
    { "a single bad server out of ten, few requests", 0.1, 0, 4, false },
    { "a single bad server out of ten, idempotent", 0.1, 0, 10, true },
    { "a quiet route whose requests all fail", 0, 1, 0.2, false },
    { "a quiet route whose requests all fail, idempotent", 0, 1, 0.2, true },
};

/// Responses that take five times as long for 5 s.
struct SlowCase {
    const char* name;
    std::vector<pw::Duration> deadlines; ///< Of the callers, in equal shares.
    bool idempotent;
    double perSecond;
    bool lateCallers; ///< Some of the callers do not wait as long as a slow response takes.
};

std::ostream& operator<<(std::ostream& out, const SlowCase& it)
{
    return out << it.name;
}

const std::vector<SlowCase> slowCases {
    { "patient callers", { 5s }, false, 10, false },
    { "patient callers, idempotent", { 5s }, true, 10, false },
    { "deadlines of 0.3 s and 5 s", { 300ms, 5s }, false, 10, true },
    { "deadlines of 0.3 s and 5 s, idempotent", { 300ms, 5s }, true, 10, true },
    { "deadlines of 0.3 s, 0.7 s and 5 s", { 300ms, 700ms, 5s }, false, 10, true },
    { "deadlines of 0.3 s and 5 s, many requests", { 300ms, 5s }, false, 50, true },
    { "all deadlines are too short", { 300ms }, false, 10, false },
};

/// Prints the figures of docs/design/outlook.md.
void printFigures(const char* name, int seed, const OutlookResult& off, const OutlookResult& on)
{
    const auto millis = [](pw::Duration time) { return std::chrono::duration_cast<std::chrono::milliseconds>(time).count(); };
    BOOST_TEST_MESSAGE(name << ", seed " << seed << ": served " << off.served << " -> " << on.served << ", failed " << off.failed << " -> "
                            << on.failed << ", refused " << on.refused << ", refused attempts " << on.refusedAttempts << ", last refusal after "
                            << millis(on.lastRefusal) << " ms, share restored after " << millis(on.averageShareRestored) << " ms");
}

} // namespace

BOOST_AUTO_TEST_SUITE(RouteOutlookPlays)

/// Guards against refusals that cost callers more than they save, and against a share that stays low after the trouble.
BOOST_DATA_TEST_CASE(callersOfAFailingChainAreServedBetter, data::make(chainCases) * data::xrange(1, lastSeed + 1), it, seed)
{
    const auto off = simulateOutlook(loadOf(it), false, static_cast<std::uint64_t>(seed));
    const auto on = simulateOutlook(loadOf(it), true, static_cast<std::uint64_t>(seed));
    printFigures(it.name, seed, off, on);
    BOOST_TEST(on.served >= off.served - tolerance);
    // Idempotent requests are refused from a failure share of 0.8: a chain of two calls fails with a probability of 0.7975.
    if (it.calls > 2 || !it.idempotent) {
        BOOST_TEST(on.failed < off.failed);
    }
    BOOST_TEST(on.averageShareRestored <= 1s);
}

/// Guards against a daemon that goes on refusing for longer than a second after the trouble, also where it gets few requests
/// that can serve as a test.
BOOST_DATA_TEST_CASE(refusalsEndWithinASecondOfTheTrouble, data::make(chainCases) * data::xrange(1, lastSeed + 1), it, seed)
{
    const auto on = simulateOutlook(loadOf(it), true, static_cast<std::uint64_t>(seed));
    BOOST_TEST(on.lastRefusal <= 1s);
}

/// Failures that have nothing to do with the chain, below half of the requests, must not cause any refusal.
BOOST_DATA_TEST_CASE(nothingIsRefusedWhereMostRequestsSucceedOrFewAreMade, data::make(healthyCases) * data::xrange(1, lastSeed + 1), it, seed)
{
    OutlookLoad load;
    load.calls = 1;
    load.failure = it.failure;
    load.troubleFailure = it.troubleFailure;
    load.perSecond = it.perSecond;
    load.idempotent = it.idempotent;
    const auto off = simulateOutlook(load, false, static_cast<std::uint64_t>(seed));
    const auto on = simulateOutlook(load, true, static_cast<std::uint64_t>(seed));
    printFigures(it.name, seed, off, on);
    BOOST_TEST(on.refusedAttempts == 0);
    BOOST_TEST(on.served == off.served);
}

/// With three failures in ten, most of eight results fail now and then by chance.
BOOST_DATA_TEST_CASE(chanceFailuresCostNothing, data::make({ 4.0, 10.0, 50.0 }) * data::xrange(1, lastSeed + 1), perSecond, seed)
{
    OutlookLoad load;
    load.calls = 1;
    load.failure = 0.3;
    load.perSecond = perSecond;
    const auto off = simulateOutlook(load, false, static_cast<std::uint64_t>(seed));
    const auto on = simulateOutlook(load, true, static_cast<std::uint64_t>(seed));
    printFigures("error rate 0.3", seed, off, on);
    BOOST_TEST(on.served >= off.served - tolerance);
    BOOST_TEST(on.refusedAttempts <= tolerance);
}

/// Guards against refusals of requests that could still complete, also after the responses have become fast again.
BOOST_DATA_TEST_CASE(onlyRequestsWithoutEnoughTimeAreRefused, data::make(slowCases) * data::xrange(1, lastSeed + 1), it, seed)
{
    OutlookLoad load;
    load.trouble = 5s;
    load.slowness = 5;
    load.deadlines = it.deadlines;
    load.idempotent = it.idempotent;
    load.perSecond = it.perSecond;
    const auto off = simulateOutlook(load, false, static_cast<std::uint64_t>(seed));
    const auto on = simulateOutlook(load, true, static_cast<std::uint64_t>(seed));
    printFigures(it.name, seed, off, on);
    BOOST_TEST(on.served >= off.served - tolerance);
    if (it.lateCallers) {
        BOOST_TEST(on.failed < off.failed);
        BOOST_TEST(on.lastRefusal <= 1s);
    } else {
        BOOST_TEST(on.refusedAttempts == 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()
