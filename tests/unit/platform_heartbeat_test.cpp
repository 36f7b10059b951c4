#include "heartbeat.h"
#include "support/text_change.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

namespace {

namespace data = boost::unit_test::data;
using namespace std::chrono_literals;

const std::string validText = R"({"address":"10.1.0.9:8080","born":1700000000123,)"
                              R"("info":{"service":"guide","config_version":"v1","zone":"kol-a","max_concurrency":87},)"
                              R"("status":{"state":"ready","seq":4,"cold_remaining_s":1.25}})";

using Row = pw::test::TextChange;

/// Invalid heartbeats, which do not announce a usable server.
const std::vector<Row> wrongRows {
    { R"("address":"10.1.0.9:8080",)", "" },
    { R"("10.1.0.9:8080")", "7" },
    { R"("10.1.0.9:8080")", R"("")" },
    { R"("service":"guide",)", "" },
    { R"("guide")", "null" },
    { R"("guide")", R"(["guide"])" },
    { R"("max_concurrency":87)", R"("max_concurrency":"87")" },
    { R"("max_concurrency":87)", R"("max_concurrency":0)" },
    { R"("max_concurrency":87)", R"("max_concurrency":-1)" },
    { R"("max_concurrency":87)", R"("max_concurrency":8.5)" },
    { R"("max_concurrency":87)", R"("max_concurrency":4294967296)" },
    { R"(,"max_concurrency":87)", "" },
    { R"("ready")", R"("resting")" },
    { R"("ready")", "true" },
    { R"("state":"ready",)", "" },
    { R"("seq":4)", R"("seq":"4")" },
    { R"("seq":4)", R"("seq":-4)" },
    { R"("seq":4,)", "" },
    { "1.25", R"("1.25")" },
    { R"("info":{)", R"("info":7,"other":{)" },
    { R"("status":{)", R"("state":{)" },
    { "}}", "}" },
    { R"({"address")", "\xff\xfe{\"address\"" },
};

/// Heartbeats with unknown fields or without optional ones.
const std::vector<Row> goodRows {
    { R"("config_version":"v1",)", "" },
    { R"("config_version":"v1")", R"("config_version":12)" },
    { R"("zone":"kol-a",)", R"("zone":"kol-a","rack":[1,{}],)" },
    { R"(,"cold_remaining_s":1.25)", "" },
    { R"("born":1700000000123,)", "" },
};

std::string replaced(const Row& row)
{
    return pw::test::replaced(validText, row);
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformHeartbeat)

BOOST_AUTO_TEST_CASE(everyFieldIsDecoded)
{
    std::string reason;
    const auto it = pw::platform::decodeHeartbeat("i-1", validText, reason);
    BOOST_TEST_REQUIRE(it.has_value(), reason);
    BOOST_TEST(it->instance == "i-1");
    BOOST_TEST(it->service == "guide");
    BOOST_TEST(it->address == "10.1.0.9:8080");
    BOOST_TEST(it->slots == 87U);
    BOOST_TEST(it->started == 1700000000123U);
    BOOST_TEST(it->sequence == 4U);
    BOOST_TEST(!it->leaving);
    BOOST_TEST_REQUIRE(it->warmUpTime.has_value());
    BOOST_TEST((*it->warmUpTime == 1250ms));
}

BOOST_AUTO_TEST_CASE(aLeavingServerSaysSo)
{
    std::string reason;
    const auto it = pw::platform::decodeHeartbeat("i-1", replaced({ R"("ready")", R"("draining")" }), reason);
    BOOST_TEST_REQUIRE(it.has_value(), reason);
    BOOST_TEST(it->leaving);
}

BOOST_DATA_TEST_CASE(whatAnotherWriterSentNamesNoServer, data::make(wrongRows))
{
    std::string reason;
    BOOST_TEST(!pw::platform::decodeHeartbeat("i-1", replaced(sample), reason).has_value());
    BOOST_TEST(!reason.empty());
}

BOOST_AUTO_TEST_CASE(aHeartbeatWithoutANameIsNone)
{
    std::string reason;
    BOOST_TEST(!pw::platform::decodeHeartbeat("", validText, reason).has_value());
    BOOST_TEST(!pw::platform::decodeHeartbeat("i-1", "", reason).has_value());
    BOOST_TEST(!pw::platform::decodeHeartbeat("i-1", "[]", reason).has_value());
}

BOOST_DATA_TEST_CASE(unknownAndMissingExtrasDoNotMatter, data::make(goodRows))
{
    std::string reason;
    BOOST_TEST(pw::platform::decodeHeartbeat("i-1", replaced(sample), reason).has_value(), reason);
}

BOOST_AUTO_TEST_CASE(theStartInALastMessage)
{
    BOOST_TEST(pw::platform::startTimeOf(R"({"born":1700000000123})") == 1700000000123U);
    BOOST_TEST(pw::platform::startTimeOf(R"({"born":"yesterday"})") == 0U);
    BOOST_TEST(pw::platform::startTimeOf("{}") == 0U);
    BOOST_TEST(pw::platform::startTimeOf("") == 0U);
    BOOST_TEST(pw::platform::startTimeOf("\xff") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
