#include "core/admission.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

namespace {

using namespace pw;
using namespace std::chrono_literals;

/// What a probe says after an event that made the server's state unknown, and the limit after that.
struct WarmUpRow {
    const char* name;
    const char* ramp;
    Duration left; ///< Remaining cold time.
    std::uint32_t limit;
};

std::ostream& operator<<(std::ostream& out, const WarmUpRow& row)
{
    return out << row.name;
}

const std::vector<WarmUpRow> warmUpRows {
    { "was cold", "answers", 2s, 8 },
    { "was only asked", "answers", 0s, 128 },
    { "was cold, other ramp", "count", 2s, 128 },
    { "was only asked, other ramp", "count", 0s, 128 },
};

} // namespace

BOOST_AUTO_TEST_SUITE(StartRampWarmUp)

/// Guards against a server that gets all its slots at the end of its cold time, and against a low limit after each lost
/// connection.
BOOST_DATA_TEST_CASE(theEndOfTheColdTimeBeginsARamp, boost::unit_test::data::make(warmUpRows), row)
{
    Admission admission(makeLimit("static", { 128, 1000, false, row.ramp }));
    admission.warmUp().configure({ 13, 1.5, 8 });
    TimePoint now { 1h };
    admission.warmUp().onStateUnknown(now);
    admission.poll(now);
    admission.warmUp().onProbeSent(now);
    const auto askedAt = now;
    now += 5ms;
    admission.warmUp().onProbed(row.left, askedAt, now);
    for (const auto end = now + row.left + 1s; now < end; now += 10ms) {
        admission.poll(now);
    }
    BOOST_TEST(admission.limit() == row.limit);
}

BOOST_AUTO_TEST_SUITE_END()
