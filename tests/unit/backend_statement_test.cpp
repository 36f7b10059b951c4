#include "app/native_protocol.h"
#include "backend_contract.h"
#include "core/backend_rate.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

namespace {

namespace data = boost::unit_test::data;
using namespace std::chrono_literals;
using pw::BackendStatement;

struct StatementRow {
    const char* name;
    std::vector<pw::HeaderLine> headers; ///< Those of the platform.
    BackendStatement expected;
};

std::ostream& operator<<(std::ostream& out, const StatementRow& row)
{
    return out << row.name;
}

const std::vector<StatementRow> statementRows {
    { "nothing", {}, {} },
    { "a whole number", { { "Server-Limit", "24" } }, { 24, false, true } },
    { "a fraction, name in lower case", { { "server-limit", "15.2" } }, { 15.2, false, true } },
    { "zero", { { "Server-Limit", "0" } }, { 0, false, true } },
    { "no number", { { "Server-Limit", "many" } }, { {}, false, false } },
    { "empty", { { "Server-Limit", "" } }, { {}, false, false } },
    { "a number and more", { { "Server-Limit", "24/s" } }, { {}, false, false } },
    { "negative", { { "Server-Limit", "-3" } }, { {}, false, false } },
    { "not finite", { { "Server-Limit", "inf" } }, { {}, false, false } },
    { "not a number", { { "Server-Limit", "nan" } }, { {}, false, false } },
    { "stated twice", { { "Server-Limit", "24" }, { "Server-Limit", "30" } }, { {}, false, false } },
    { "leaving", { { "Server-Leaving", "1" } }, { {}, true, true } },
    { "not leaving", { { "Server-Leaving", "0" } }, { {}, false, true } },
    { "leaving with a limit", { { "Server-Leaving", "1" }, { "Server-Limit", "2.5" } }, { 2.5, true, true } },
};

/// What is known of a limit after one more answer.
struct LearnRow {
    const char* name;
    std::optional<double> first;
    std::optional<double> second;
    pw::Duration secondSentAt; ///< When the request of the second answer was sent; the first answer arrived at 10 s.
    std::optional<double> expected;
};

std::ostream& operator<<(std::ostream& out, const LearnRow& row)
{
    return out << row.name;
}

constexpr std::optional<double> none;

const std::vector<LearnRow> learnRows {
    { "stated", none, 5.0, 11s, 5.0 },
    { "changed", 5.0, 8.0, 11s, 8.0 },
    { "changed by the answer to an earlier request", 5.0, 8.0, 9s, 8.0 },
    { "lifted", 5.0, none, 11s, none },
    { "not lifted by the answer to an earlier request", 5.0, none, 9s, 5.0 },
    { "zero is a limit", 5.0, 0.0, 11s, 0.0 },
};

} // namespace

BOOST_AUTO_TEST_SUITE(BackendStatements)

BOOST_DATA_TEST_CASE(thePlatformsHeadersAreDecoded, data::make(statementRows), row)
{
    const pw::platform::BackendContract contract;
    BOOST_TEST((contract.statement({ 200, row.headers, {} }) == row.expected));
}

BOOST_AUTO_TEST_CASE(theNativeHeadersAreDecoded)
{
    const pw::NativeBackendProtocol protocol;
    const BackendStatement expected { 2.5, true, true };
    BOOST_TEST((protocol.statement({ 200, { { "Pistachio-Rate-Limit", "2.5" }, { "Pistachio-Leaving", "1" } }, {} }) == expected));
    BOOST_TEST((protocol.statement({ 200, { { "Server-Limit", "2.5" } }, {} }) == BackendStatement {}));
}

BOOST_DATA_TEST_CASE(aLimitHoldsUntilALaterRequestIsAnsweredWithoutIt, data::make(learnRows), row)
{
    pw::BackendRate rate;
    rate.learn(row.first, pw::TimePoint(9s), pw::TimePoint(10s));
    rate.learn(row.second, pw::TimePoint(row.secondSentAt), pw::TimePoint(12s));
    BOOST_TEST((rate.limit() == row.expected));
}

BOOST_AUTO_TEST_CASE(aLimitStatedElsewhereCountsUntilTheFirstAnswer)
{
    pw::BackendRate rate;
    rate.adopt(5, pw::TimePoint(10s));
    rate.adopt(8, pw::TimePoint(11s));
    BOOST_TEST((rate.limit() == 5.0));
    rate.learn(none, pw::TimePoint(9s), pw::TimePoint(12s));
    BOOST_TEST((rate.limit() == 5.0));
    rate.learn(none, pw::TimePoint(11s), pw::TimePoint(12s));
    rate.adopt(5, pw::TimePoint(13s));
    BOOST_TEST((rate.limit() == none));
}

BOOST_AUTO_TEST_SUITE_END()
