#include "adapters/codec_call.h"
#include "config.h"
#include "core/slot_price_table.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <limits>
#include <ostream>

namespace {

using namespace pw;
using namespace std::chrono_literals;

const TimePoint start { 1h };
constexpr auto interval = config::slotPriceInterval;
constexpr auto lifetime = config::slotPriceLifetime;

SlotPrice price(const char* server, std::uint32_t report, double value, std::chrono::milliseconds age = 0ms)
{
    return { "deep", slotPriceServerId(server), report, value, age };
}

/// Passes prices from one daemon to another. \returns how many were sent.
std::size_t pass(SlotPriceTable& from, SlotPriceTable& to, TimePoint now)
{
    const auto prices = from.pricesFor("receiver", now);
    to.record(prices, now);
    return prices.size();
}

/// Reports of one server that arrive one after another; the price that holds afterwards.
struct OrderCase {
    const char* name;
    std::vector<SlotPrice> reports;
    double expected;
};

std::ostream& operator<<(std::ostream& out, const OrderCase& it)
{
    return out << it.name;
}

const std::vector<OrderCase> orderCases {
    { "the newer report wins", { price("a", 1, 4), price("a", 2, 6) }, 6 },
    { "an older report that arrives later is ignored", { price("a", 2, 6), price("a", 1, 4) }, 6 },
    { "a report that comes back, seemingly younger, is ignored", { price("a", 2, 6, 100ms), price("a", 2, 4, 0ms) }, 6 },
    { "numbers wrap around", { price("a", std::numeric_limits<std::uint32_t>::max(), 4), price("a", 0, 6) }, 6 },
    { "a report that has expired on its way is ignored", { price("a", 1, 4), price("a", 2, 6, lifetime) }, 4 },
    { "servers are averaged", { price("a", 1, 4), price("b", 1, 6) }, 5 },
    { "a price that has ended counts as zero", { price("a", 1, 4), price("b", 1, 6), price("a", 2, 0) }, 3 },
};

} // namespace

BOOST_AUTO_TEST_SUITE(SlotPriceTables)

BOOST_DATA_TEST_CASE(theNewestReportOfEachServerHolds, boost::unit_test::data::make(orderCases), it)
{
    SlotPriceTable table;
    std::ranges::for_each(it.reports, [&](const SlotPrice& report) { table.record({ report }, start); });
    BOOST_TEST(table.priceOf("deep", start).value_or(-1) == it.expected);
}

/// Guards against one server whose price is above zero setting the price of the whole service.
BOOST_AUTO_TEST_CASE(serversWithoutAPriceCountAsZero)
{
    SlotPriceTable table;
    table.setServerCount("deep", 6);
    table.record({ price("a", 1, 12) }, start);
    BOOST_TEST(table.priceOf("deep", start).value_or(-1) == 2);
    BOOST_TEST(!table.priceOf("other", start).has_value());
}

/// Guards against the price of a server that has crashed: it is not renewed any more. The price from the chain holds then.
BOOST_AUTO_TEST_CASE(aPriceThatIsNotRenewedExpires)
{
    SlotPriceTable table;
    table.record({ price("a", 1, 12) }, start);
    std::vector<ServiceDemand> demands { { "deep", 3, 15ms }, { "other", 5, 15ms } };
    table.applyTo(demands, start + lifetime - 1ms);
    BOOST_TEST(demands[0].price == 12);
    BOOST_TEST(demands[1].price == 5);
    demands[0].price = 3;
    table.applyTo(demands, start + lifetime);
    BOOST_TEST(demands[0].price == 3);
    BOOST_TEST(table.pricesFor("peer", start + lifetime).empty());
    BOOST_TEST(table.pricedServers(start + lifetime) == 0U);
}

/// Guards against a price that outlives its server because daemons keep passing it on to each other.
BOOST_AUTO_TEST_CASE(agesAddUpOverDaemonsThatPassAPriceOn)
{
    SlotPriceTable first;
    SlotPriceTable second;
    first.recordOwn("deep", "a", 8, start);
    auto now = start;
    for (auto n = 0; n < 40; ++n, now += 100ms) {
        pass(first, second, now);
        pass(second, first, now);
    }
    BOOST_TEST(!first.priceOf("deep", start + lifetime).has_value());
    BOOST_TEST(!second.priceOf("deep", start + lifetime).has_value());
}

/// Guards against prices in every answer of a fleet in which nothing is scarce, and of one with a constant price.
BOOST_AUTO_TEST_CASE(onlyChangesAreSentAndZeroOnce)
{
    SlotPriceTable from;
    SlotPriceTable to;
    from.recordOwn("deep", "a", 0, start);
    BOOST_TEST(pass(from, to, start) == 0U);
    from.recordOwn("deep", "a", 8, start);
    BOOST_TEST(pass(from, to, start) == 1U);
    BOOST_TEST(pass(from, to, start + interval) == 0U);
    from.recordOwn("deep", "a", 9, start + interval);
    BOOST_TEST(pass(from, to, start + interval) == 1U);
    from.recordOwn("deep", "a", 10, start + interval + 10ms);
    BOOST_TEST(pass(from, to, start + 2 * interval - 1ms) == 0U);
    from.recordOwn("deep", "a", 0, start + 2 * interval);
    BOOST_TEST(pass(from, to, start + 2 * interval) == 1U);
    BOOST_TEST(to.priceOf("deep", start + 2 * interval).value_or(-1) == 0);
    from.recordOwn("deep", "a", 0, start + 4 * interval);
    BOOST_TEST(pass(from, to, start + 4 * interval) == 0U);
}

/// Guards against a price that stays unknown because the link was lost with the answer that carried it.
BOOST_AUTO_TEST_CASE(afterALostLinkPricesAreRepeated)
{
    SlotPriceTable from;
    SlotPriceTable to;
    from.recordOwn("deep", "a", 8, start);
    BOOST_TEST(from.pricesFor("receiver", start).size() == 1U);
    from.forgetPeer("receiver");
    BOOST_TEST(pass(from, to, start + 1ms) == 1U);
}

/// A restarted process knows no earlier report number; the clock of its VM goes on.
BOOST_AUTO_TEST_CASE(aReportOfARestartedDaemonReplacesAnEarlierOne)
{
    SlotPriceTable before;
    SlotPriceTable after;
    SlotPriceTable other;
    before.recordOwn("deep", "a", 8, start);
    pass(before, other, start);
    after.recordOwn("deep", "a", 2, start + 500ms);
    pass(after, other, start + 500ms);
    BOOST_TEST(other.priceOf("deep", start + 500ms).value_or(-1) == 2);
}

BOOST_AUTO_TEST_CASE(memoryAndMessagesAreBounded)
{
    SlotPriceTable table;
    const auto servers = static_cast<int>(config::maxSlotPrices) + 50;
    for (auto n = 1; n <= servers; ++n) {
        table.record({ price(std::to_string(n).c_str(), 1, n) }, start + std::chrono::microseconds(n));
        table.pricesFor("peer" + std::to_string(n), start + std::chrono::microseconds(n));
    }
    BOOST_TEST(table.size() == config::maxSlotPrices);
    const auto sent = table.pricesFor("peer", start + 1ms);
    BOOST_TEST_REQUIRE(sent.size() == config::maxSlotPricesPerAnswer);
    // The newest first; the lowest were evicted.
    BOOST_TEST(sent.front().price == servers);
    BOOST_TEST(table.priceOf("deep", start + 1ms).value_or(0) > (servers + 50) / 2.0);
    table.pricesFor("peer", start + 2 * lifetime);
    BOOST_TEST(table.size() == 0U);
    BOOST_TEST(table.trackedPeers() == 0U);
}

/// An answer without prices is encoded as one of a daemon that does not know them: the field stays empty.
BOOST_AUTO_TEST_CASE(answersCarryPrices)
{
    Answer answer;
    BOOST_TEST(decodeAnswer(encodeAnswer(answer)).value().prices.empty());
    answer.prices = { price("a", 7, 2.5, 120ms), price("b", 8, 0), { "notes", 5, 9, 1, 1s } };
    const auto read = decodeAnswer(encodeAnswer(answer)).value().prices;
    BOOST_TEST_REQUIRE(read.size() == 3U);
    BOOST_TEST(read[0].service == "deep");
    BOOST_TEST(read[0].server == slotPriceServerId("a"));
    BOOST_TEST(read[0].report == 7U);
    BOOST_TEST(read[0].price == 2.5);
    BOOST_TEST(read[0].age.count() == 120);
    BOOST_TEST(read[2].service == "notes");
    BOOST_TEST(read[2].age.count() == 1000);
}

/// Guards against a damaged message: a price that is not a number would reach the cost of every root.
BOOST_AUTO_TEST_CASE(pricesThatAreNoNumbersAreLeftOut)
{
    Answer answer;
    answer.prices = { price("a", 1, std::numeric_limits<double>::quiet_NaN()), price("b", 1, -1),
        price("c", 1, std::numeric_limits<double>::infinity()), price("d", 1, 3) };
    const auto read = decodeAnswer(encodeAnswer(answer)).value().prices;
    BOOST_TEST_REQUIRE(read.size() == 1U);
    BOOST_TEST(read[0].price == 3);
}

/// Bound of the bytes that prices add to an answer: 16 entries of at most 32 bytes, and the name of the service.
BOOST_AUTO_TEST_CASE(pricesAddFewBytes)
{
    const auto sizeWith = [](std::size_t count) {
        Answer answer;
        for (std::size_t n = 0; n < count; ++n) {
            answer.prices.push_back(price(std::to_string(n).c_str(), 123456789, 3.7, 35ms));
        }
        return encodeAnswer(answer).size();
    };
    BOOST_TEST_MESSAGE("bytes: " << sizeWith(0) << " with 6: " << sizeWith(6) << " with 16: " << sizeWith(16));
    BOOST_TEST(sizeWith(config::maxSlotPricesPerAnswer) - sizeWith(0) <= config::maxSlotPricesPerAnswer * 32);
}

BOOST_AUTO_TEST_SUITE_END()
