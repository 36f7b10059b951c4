#include "slot_price_simulation.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

namespace pw::play {

std::ostream& operator<<(std::ostream& out, const PricePlay& it)
{
    return out << it.name;
}

} // namespace pw::play

namespace {

using namespace pw;
using namespace pw::play;
using namespace std::chrono_literals;

constexpr std::uint64_t seed = 1;

// Multiples of the usual demand, at which the deepest service is used by 0.64. A wave of 13 s.
const std::vector<PricePlay> plays {
    { .name = "a step to 1.7 for 3 s", .demand = 1.1, .step = 1.7, .stepBegin = 6s, .length = 14s },
    { .name = "a wave", .demand = 1.1, .amplitude = 0.55, .length = 17s },
    { .name = "a wave of the worst day", .demand = 1.875, .amplitude = 0.5, .length = 17s },
    { .name = "half of the deepest servers crash", .demand = 1.1, .crashAt = 6s, .length = 14s },
    { .name = "a partition during a step", .demand = 1.1, .step = 1.7, .stepBegin = 6s, .cutAt = 7s, .length = 14s },
    { .name = "reports are lost during a step", .demand = 1.1, .step = 1.7, .stepBegin = 6s, .dropAt = 7s, .length = 14s },
};

void print(const char* mode, const PriceResult& it)
{
    BOOST_TEST_MESSAGE(mode << ": sent " << it.sent << ", in time " << it.inTime << ", late " << it.late << ", refused " << it.refused << ", failed "
                            << it.failed << ", wasted " << it.wastedWork << " s, worst second " << it.worstSecond << ", prices in an answer "
                            << it.largestReport);
}

} // namespace

BOOST_AUTO_TEST_SUITE(SlotPricePlays)

/// Guards against prices that serve callers worse when daemons pass them on directly than when they come along the chain:
/// the same load must be served at least as well, with no more wasted work and no worse second.
BOOST_DATA_TEST_CASE(directPricesServeAtLeastAsManyAndWasteNoMore, boost::unit_test::data::make(plays), it)
{
    const auto chain = playPrices(it, PriceMode::Chain, seed);
    const auto direct = playPrices(it, PriceMode::Direct, seed);
    print("chain", chain);
    print("direct", direct);
    BOOST_TEST_REQUIRE(direct.sent == chain.sent);
    BOOST_TEST(direct.inTime >= chain.inTime);
    BOOST_TEST(direct.wastedWork <= chain.wastedWork);
    BOOST_TEST(direct.worstSecond >= chain.worstSecond);
}

BOOST_AUTO_TEST_SUITE_END()
