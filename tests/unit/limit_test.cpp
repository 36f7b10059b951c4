#include "core/limit.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace data = boost::unit_test::data;
using namespace std::chrono_literals;
using pw::LimitSample;
using pw::RunOutcome;
using pw::TimePoint;

namespace {

/// Reports \p count finished runs with the limit fully in use.
void feed(pw::Limit& limit, TimePoint& now, int count, RunOutcome outcome, pw::Duration serviceTime = 10ms)
{
    for (auto n = 0; n < count; ++n) {
        now += 1ms;
        limit.onSample({ serviceTime, 0ms, limit.current(), outcome }, now);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Limits)

BOOST_DATA_TEST_CASE(beginsLowAndGrowsToTheAnnouncedSlots, data::make(pw::limitNames()), name)
{
    auto limit = pw::makeLimit(name, { 80, 1000, true });
    TimePoint now {};
    BOOST_TEST(limit->current() <= 10U);
    BOOST_TEST(limit->current() >= 1U);
    feed(*limit, now, 2000, RunOutcome::Ok);
    BOOST_TEST(limit->current() == 80U);
}

/// The daemon may start before its backend server announces its slots.
BOOST_DATA_TEST_CASE(takesTheSlotsThatAreAnnouncedLater, data::make(pw::limitNames()), name)
{
    auto limit = pw::makeLimit(name, {});
    limit->setCapacity(80, 1000);
    BOOST_TEST(limit->current() == 80U);
    TimePoint now {};
    BOOST_TEST(limit->beginColdStart(pw::RampCause::Started, now));
    BOOST_TEST(limit->current() <= 10U);
    feed(*limit, now, 70, RunOutcome::Ok);
    BOOST_TEST(limit->current() == 80U);
}

BOOST_DATA_TEST_CASE(neverPassesSlotsOrConnections, data::make(pw::limitNames()), name)
{
    auto limit = pw::makeLimit(name, { 80, 30, false });
    TimePoint now {};
    feed(*limit, now, 2000, RunOutcome::Ok);
    BOOST_TEST(limit->current() == 30U);
    limit->setCapacity(8, 1000);
    BOOST_TEST(limit->current() <= 8U);
    limit->setCapacity(0, 0);
    BOOST_TEST(limit->current() == 1U);
}

BOOST_DATA_TEST_CASE(fallsWhenTheServerRefusesAndRecovers, data::make({ "delay", "aimd", "gradient" }), name)
{
    auto limit = pw::makeLimit(name, { 80, 1000, false });
    TimePoint now {};
    feed(*limit, now, 100, RunOutcome::Ok);
    feed(*limit, now, 1000, RunOutcome::Refused);
    BOOST_TEST(limit->current() < 60U);
    feed(*limit, now, 5000, RunOutcome::Ok);
    BOOST_TEST(limit->current() == 80U);
}

BOOST_AUTO_TEST_CASE(cancelledRunsSayNothing)
{
    auto limit = pw::makeLimit("delay", { 80, 1000, false });
    TimePoint now {};
    feed(*limit, now, 1000, RunOutcome::Cancelled);
    BOOST_TEST(limit->current() == 80U);
}

BOOST_AUTO_TEST_CASE(delayLimitKeepsTheSlotsOfASlowServer)
{
    auto limit = pw::makeLimit("delay", { 80, 1000, false });
    TimePoint now {};
    for (auto n = 0; n < 1000; ++n) {
        feed(*limit, now, 1, RunOutcome::Ok, 900ms);
        feed(*limit, now, 3, RunOutcome::Timeout, 1000ms);
    }
    BOOST_TEST(limit->current() == 80U);
}

BOOST_AUTO_TEST_CASE(delayLimitFallsAtAServerThatNeverAnswers)
{
    auto limit = pw::makeLimit("delay", { 80, 1000, false });
    TimePoint now(10s);
    feed(*limit, now, 3000, RunOutcome::Timeout, 1000ms);
    BOOST_TEST(limit->current() < 20U);
}

BOOST_AUTO_TEST_CASE(unknownNamesGiveNothing)
{
    BOOST_TEST(!pw::makeLimit("no-such-strategy", {}));
    BOOST_TEST(!!pw::makeLimit(pw::defaultLimitName(), {}));
}

BOOST_AUTO_TEST_SUITE_END()
