#include "config.h"
#include "core/retry_budget.h"
#include "ports/random.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

namespace {

using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

constexpr double ratio = 0.2;
constexpr double extra = 49;
constexpr pw::Duration window = 10s;

} // namespace

BOOST_AUTO_TEST_SUITE(RetryBudget)

/// Guards against losing requests in a crash: a daemon sends 40 requests per second, then a server crashes and 20 of its
/// requests fail at once.
BOOST_AUTO_TEST_CASE(aBurstOfFailuresIsRepeatedAfterCalmTraffic)
{
    pw::RetryBudget budget(ratio, extra, window);
    budget.setDaemons(13);
    pw::TimePoint now {};
    for (auto n = 0; n < 400; ++n, now += 25ms) {
        budget.recordFirstAttempt("s", now);
    }
    for (auto n = 0; n < 20; ++n) {
        BOOST_TEST(budget.tryTake("s", now));
    }
}

BOOST_AUTO_TEST_CASE(servicesHaveBudgetsOfTheirOwn)
{
    pw::RetryBudget budget(0, 2 / pw::config::retryBudgetUsableShare, window);
    BOOST_TEST(budget.tryTake("one", {}));
    BOOST_TEST(budget.tryTake("one", {}));
    BOOST_TEST(!budget.tryTake("one", {}));
    BOOST_TEST(budget.tryTake("two", {}));
}

BOOST_AUTO_TEST_CASE(whatWasTakenComesBackAfterAWindow)
{
    pw::RetryBudget budget(0, 1 / pw::config::retryBudgetUsableShare, window);
    pw::TimePoint now { 1h };
    BOOST_TEST(budget.tryTake("s", now));
    BOOST_TEST(!budget.tryTake("s", now + window));
    BOOST_TEST(budget.tryTake("s", now + window + window / 8));
}

/// For random arrivals, the repeats of all daemons in any window stay within the bound given by the requests of that window
/// and the preceding one.
BOOST_DATA_TEST_CASE(theFleetsBoundHoldsInEveryWindow, data::xrange(1, 6), seed)
{
    constexpr std::size_t daemons = 5;
    pw::Random random(static_cast<std::uint64_t>(seed));
    std::vector<pw::RetryBudget> budgets(daemons, pw::RetryBudget(ratio, extra, window));
    std::ranges::for_each(budgets, [](auto& it) { it.setDaemons(daemons); });
    std::vector<pw::TimePoint> firsts;
    std::vector<pw::TimePoint> repeats;
    pw::TimePoint now { 1h };
    const auto isIn = [](const std::vector<pw::TimePoint>& times, pw::TimePoint from, pw::TimePoint to) {
        return std::ranges::count_if(times, [&](pw::TimePoint it) { return it >= from && it < to; });
    };
    for (auto n = 0; n < 4000; ++n) {
        const auto isBusy = n / 400 % 2 == 0;
        now += std::chrono::milliseconds(static_cast<int>(pw::uniform(random) * (isBusy ? 10 : 100)));
        auto& budget = budgets[static_cast<std::size_t>(pw::uniform(random) * daemons)];
        if (pw::uniform(random) < 0.5) {
            budget.recordFirstAttempt("s", now);
            firsts.push_back(now);
        } else if (budget.tryTake("s", now)) {
            repeats.push_back(now);
        }
    }
    BOOST_TEST(!repeats.empty());
    for (const auto& from : repeats) {
        const auto seen = isIn(repeats, from, from + window);
        const auto earned = ratio * static_cast<double>(isIn(firsts, from - window, from + window)) + extra;
        BOOST_TEST(static_cast<double>(seen) <= earned);
    }
}

BOOST_AUTO_TEST_SUITE_END()
