#include "config.h"
#include "core/demand_cache.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace pw;
using namespace std::chrono_literals;

const TimePoint start { 1h };

double priceOf(const DemandCache& board, TimePoint now)
{
    const auto demands = board.demandsOf("read", now);
    BOOST_TEST_REQUIRE(demands.size() == 1U);
    return demands.front().price;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DemandBoards)

/// Guards against an outdated price: while a service is overloaded, few requests (such as one in twenty) are admitted, so
/// there are few reports that it has recovered.
BOOST_AUTO_TEST_CASE(aPriceThatHasEndedIsForgottenThoughFewRequestsTellIt)
{
    DemandCache board;
    auto now = start;
    for (auto n = 0; n < 20; ++n, now += 500ms) {
        board.record("read", { { "deep", 1000, 15ms } }, now);
    }
    for (auto n = 0; n < 4; ++n, now += 500ms) {
        board.record("read", { { "deep", 0, 15ms } }, now);
    }
    BOOST_TEST(priceOf(board, now) < 1);
}

BOOST_AUTO_TEST_CASE(pricesOfSeveralServersAreAveraged)
{
    DemandCache board;
    auto now = start;
    for (auto n = 0; n < 200; ++n, now += 25ms) {
        board.record("read", { { "deep", n % 2 ? 0.0 : 10.0, 15ms } }, now);
    }
    BOOST_TEST(priceOf(board, now) > 3);
    BOOST_TEST(priceOf(board, now) < 7);
}

BOOST_AUTO_TEST_CASE(aPriceFadesWhenNothingIsHeard)
{
    DemandCache board;
    board.record("read", { { "deep", 8, 15ms } }, start);
    BOOST_TEST(priceOf(board, start + config::demandFadeTime) == 8);
    BOOST_TEST(priceOf(board, start + 2 * config::demandFadeTime) <= 4);
    BOOST_TEST(board.demandsOf("read", start + config::demandLifetime).empty());
}

BOOST_AUTO_TEST_SUITE_END()
