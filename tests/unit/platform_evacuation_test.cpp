#include "core/deployment_check.h"
#include "evacuation_order.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

namespace data = boost::unit_test::data;
using pw::ChangeOutcome;

struct TargetRow {
    std::string method;
    std::string target;
    bool isOrder;
    std::string domain;
    bool evacuated;
    bool isValid;
};

std::ostream& operator<<(std::ostream& stream, const TargetRow& row)
{
    return stream << row.method << ' ' << row.target;
}

const std::vector<TargetRow> targetRows {
    { "POST", "/v1/evacuations/zone-b/start", true, "zone-b", true, true },
    { "POST", "/v1/evacuations/zone-b/finish", true, "zone-b", false, true },
    { "POST", "/v1/evacuations/start/start", true, "start", true, true },
    { "POST", "/v1/evacuations/1.a_B/finish", true, "1.a_B", false, true },
    { "POST", "/v1/evacuations//start", true, "", true, false },
    { "POST", "/v1/evacuations/a/b/start", true, "a/b", true, false },
    { "POST", "/v1/evacuations/a b/start", true, "a b", true, false },
    { "GET", "/v1/evacuations/zone-b/start", false, "", false, false },
    { "POST", "/v1/evacuations/zone-b", false, "", false, false },
    { "POST", "/v1/evacuations/zone-b/stop", false, "", false, false },
    { "POST", "/v1/evacuations/start", false, "", false, false },
    { "POST", "/v1/evacuation/zone-b/start", false, "", false, false },
};

struct StatusRow {
    ChangeOutcome outcome;
    int status;
};

std::ostream& operator<<(std::ostream& stream, const StatusRow& row)
{
    return stream << pw::changeOutcomeName(row.outcome);
}

/// Conflict and Invalid (too many domains) too are answers that the operator retries.
const std::vector<StatusRow> statusRows {
    { ChangeOutcome::Accepted, 200 },
    { ChangeOutcome::Conflict, 503 },
    { ChangeOutcome::Invalid, 503 },
    { ChangeOutcome::Unknown, 503 },
    { ChangeOutcome::Unavailable, 503 },
};

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformEvacuation)

BOOST_DATA_TEST_CASE(ordersAreReadFromTheTarget, data::make(targetRows), row)
{
    const auto order = pw::platform::evacuationOrderOf(row.method, row.target);
    BOOST_REQUIRE(order.has_value() == row.isOrder);
    if (order) {
        BOOST_TEST(order->failureDomain == row.domain);
        BOOST_TEST(order->evacuated == row.evacuated);
        BOOST_TEST(!order->baseRevision.has_value());
        BOOST_TEST(pw::isName(order->failureDomain) == row.isValid);
    }
}

/// Guards against an operator giving up on an order of which an earlier copy was accepted.
BOOST_DATA_TEST_CASE(onlyRetryableStatusesAreGivenForOtherOutcomes, data::make(statusRows), row)
{
    BOOST_TEST(pw::platform::evacuationStatusOf(row.outcome) == row.status);
}

BOOST_AUTO_TEST_SUITE_END()
