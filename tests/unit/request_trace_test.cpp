#include "app/cli_commands.h"
#include "core/event_line.h"
#include "core/request_trace.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace {

namespace data = boost::unit_test::data;

const std::vector<std::string> values {
    "plain",
    "",
    "two words",
    "a=b",
    "quote \" and \\ backslash",
    std::string("bell \x07, zero ") + '\0' + " and \xc3\xa9",
    "line\nbreak",
};

const std::vector<std::string> invalidLines {
    "",
    "terminate called without an active exception",
    "2026-01-31T12:00:00.123Z info 302",
    "2026-01-31T12:00:00.123Z loud 302 route-decision",
    "2026-01-31T12:00:00.123Z info many route-decision",
    "12:00 info 302 route-decision route=share",
    "2026-01-31T12:00:00.123Z info 302 route-decision route",
    "2026-01-31T12:00:00.123Z info 302 route-decision route=\"share",
    "2026-01-31T12:00:00.123Z info 302 route-decision route=\"\\x4\"",
};

/// Logs of two daemons: the entry daemon that received the request, and the one beside the server that did not answer.
const char* const entryLog = R"(2026-12-04T01:10:00.000Z info 500 configuration-applied version=3 index=7
2026-12-04T01:10:02.000Z info 500 configuration-applied version=4 index=9
2026-12-04T01:10:03.000Z warning 624 view-server-lapsed server=guide-2 service=guide
2026-12-04T01:10:03.100Z warning 624 view-server-lapsed server=other-1 service=other
2026-12-04T01:10:05.000Z info 302 route-decision request=7f3a route=share server=guide-2 workspace=w try=1
2026-12-04T01:10:05.001Z info 302 route-decision request=7f3ab route=share server=guide-1 workspace=w try=1
2026-12-04T01:10:05.500Z info 510 session-moved member=10.0.0.2:7000 cause=silent
2026-12-04T01:10:06.000Z info 300 request-refused request=7f3a route=share workspace=w status=504 reason=deadline-exceeded
2026-12-04T01:10:07.000Z info 500 configuration-applied version=5 index=12
)";
const char* const serverLog = R"(2026-12-04T01:10:04.900Z info 305 price-changed service=guide price=2.5
not an event
2026-12-04T01:10:05.900Z warning 403 backend-failed request=7f3a route=share reason=deadline-exceeded
)";
const char* const unrelatedLog = "2026-12-04T01:10:04.900Z info 305 price-changed service=x price=9\n";

pw::RequestTrace traceOf(const std::string& id)
{
    pw::RequestTrace trace(id);
    for (const auto& [process, text] : { std::pair("edge", entryLog), std::pair("server", serverLog), std::pair("bystander", unrelatedLog) }) {
        std::istringstream in(text);
        for (std::string line; std::getline(in, line);) {
            trace.read(process, line);
        }
    }
    return trace;
}

std::vector<std::string> summaryOf(const std::vector<pw::TraceLine>& lines)
{
    std::vector<std::string> result;
    std::ranges::transform(lines, std::back_inserter(result),
        [](const auto& it) { return it.process + (it.isProcessState ? " (" + it.event.name + ")" : " " + it.event.name); });
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestStories)

BOOST_DATA_TEST_CASE(whatIsWrittenIsRead, data::make(values), value)
{
    pw::EventLineFormatter formatter;
    const auto line = formatter.format(std::chrono::system_clock::time_point {}, pw::Event::RouteDecision, { { "first", value }, { "second", 7 } });
    const auto event = pw::readEventLine(line);
    BOOST_TEST_REQUIRE(event.has_value(), line);
    BOOST_TEST(event->number == 302U);
    BOOST_TEST(event->name == "route-decision");
    BOOST_TEST(event->level == "info");
    BOOST_TEST((event->value("first") == value), line);
    BOOST_TEST((event->value("second") == "7"));
    BOOST_TEST((event->value("third").empty()));
}

BOOST_DATA_TEST_CASE(whatIsNoEventIsNotRead, data::make(invalidLines), line)
{
    BOOST_TEST(!pw::readEventLine(line).has_value());
}

BOOST_AUTO_TEST_CASE(aStoryHoldsTheDecisionsAndTheBeliefsInForce)
{
    const auto trace = traceOf("7f3a");
    const std::vector<std::string> expected { "edge (configuration-applied)", "edge (view-server-lapsed)", "server (price-changed)",
        "edge route-decision", "edge (session-moved)", "server backend-failed", "edge request-refused" };
    BOOST_TEST(summaryOf(trace.lines()) == expected, boost::test_tools::per_element());
    BOOST_TEST(trace.skippedLines() == 1U);
    // The configuration that was current at the decision, not an earlier one.
    BOOST_TEST((trace.lines().front().event.value("version") == "4"));
}

BOOST_AUTO_TEST_CASE(anUnknownRequestHasNoStory)
{
    BOOST_TEST(traceOf("7f3").lines().empty());
}

/// A backend server may derive the ids of nested calls from the id of the request that they are made for.
BOOST_AUTO_TEST_CASE(callsBelowARequestBelongToItsStory)
{
    pw::RequestTrace trace("7f3a");
    trace.read("a", "2026-12-04T01:10:05.000Z info 302 route-decision request=7f3a.2 route=share server=s");
    BOOST_TEST(trace.lines().size() == 1U);
}

BOOST_AUTO_TEST_CASE(theSubcommandReadsFiles)
{
    const auto path = std::filesystem::temp_directory_path() / ("story-" + std::to_string(getpid()) + ".log");
    std::ofstream(path) << entryLog;
    struct NoTransport final : pw::OperatorTransport {
        pw::TransportReply send(const std::string&, const std::string&, const std::string&, const std::string&, const std::string&,
            std::chrono::milliseconds) override
        {
            return {};
        }
        pw::TimePoint now() override { return {}; }
        void pause(std::chrono::milliseconds) override { }
    } transport;
    const auto run = [&](const std::string& id, const std::string& file, std::string& out) {
        pw::CliOptions options;
        options.action = pw::CliAction::Explain;
        options.argument = id;
        options.files = { file };
        std::ostringstream results;
        std::ostringstream remarks;
        const auto code = pw::runCommand({ options, nullptr, transport, results, remarks });
        out = results.str() + remarks.str();
        return code;
    };
    std::string out;
    BOOST_TEST((run("7f3a", path.string(), out) == pw::ExitCode::Done), out);
    BOOST_TEST(out.find("status=504 reason=deadline-exceeded") != std::string::npos, out);
    BOOST_TEST((run("0000", path.string(), out) == pw::ExitCode::Invalid));
    BOOST_TEST(out.find("no line names the request 0000") != std::string::npos, out);
    BOOST_TEST((run("7f3a", path.string() + ".none", out) == pw::ExitCode::Invalid));
    BOOST_TEST(out.find("cannot be read") != std::string::npos, out);
    std::filesystem::remove(path);
}

BOOST_AUTO_TEST_SUITE_END()
