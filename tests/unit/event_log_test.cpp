#include "adapters/event_log_easylogging.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace {

namespace data = boost::unit_test::data;

/// File name unique to this process; the file and its rotated files are removed at the end of the scope.
struct ScratchLog {
    ScratchLog() { remove(); }
    ~ScratchLog() { remove(); }

    void remove() const
    {
        std::filesystem::remove(file);
        for (auto n = 1; n <= pw::LogOutput::keptFiles + 1; ++n) {
            std::filesystem::remove(file + "." + std::to_string(n));
        }
    }
    std::string text(const std::string& suffix = "") const
    {
        std::ostringstream out;
        out << std::ifstream(file + suffix).rdbuf();
        return out.str();
    }

    std::string file = std::filesystem::temp_directory_path() / ("pw-log-" + std::to_string(getpid()));
};

struct ValueRow {
    std::string value;
    std::string expected;
};

std::ostream& operator<<(std::ostream& out, const ValueRow& row)
{
    return out << row.expected;
}

const std::vector<ValueRow> valueRows {
    { "plain-1.2/x", "plain-1.2/x" },
    { "", "\"\"" },
    { "two words", "\"two words\"" },
    { "a=b", "\"a=b\"" },
    { "say \"hi\"\\", R"("say \"hi\"\\")" },
    { "x\n2026 error 999 forged", R"("x\x0a2026 error 999 forged")" },
    { "\r\t\x7f\xe2\x80\xa8", R"("\x0d\x09\x7f\xe2\x80\xa8")" },
    { std::string(300, 'a'), '"' + std::string(256, 'a') + "...\"" },
};

std::size_t linesOf(const std::string& text)
{
    return static_cast<std::size_t>(std::ranges::count(text, '\n'));
}

} // namespace

BOOST_AUTO_TEST_SUITE(EventLogLines)

BOOST_DATA_TEST_CASE(valuesAreEscaped, data::make(valueRows), row)
{
    using namespace std::chrono_literals;
    pw::EventLineFormatter formatter;
    const auto now = std::chrono::sys_days(std::chrono::year(2026) / 1 / 31) + 12h + 7ms;
    BOOST_TEST(formatter.format(now, pw::Event::RouteDecision, { { "route", row.value }, { "n", 7 } })
        == "2026-01-31T12:00:00.007Z info 302 route-decision route=" + row.expected + " n=7");
}

BOOST_AUTO_TEST_CASE(linesBelowTheLevelAreNotWritten)
{
    const ScratchLog scratch;
    std::string reason;
    {
        pw::EasyloggingEventLog log({ pw::Level::Warning, scratch.file }, nullptr);
        BOOST_TEST_REQUIRE(log.open(reason), reason);
        PW_EVENT(log, pw::Event::DaemonStarted, { "name", "a" });
        PW_EVENT(log, pw::Event::ValidityLapsed, { "name", "b" });
        BOOST_TEST(log.count(pw::Event::DaemonStarted) == 1U);
    }
    BOOST_TEST(linesOf(scratch.text()) == 1U);
    BOOST_TEST(scratch.text().ends_with("warning 501 validity-lapsed name=b\n"));
}

struct SamplingRow {
    std::uint32_t sampling;
    std::size_t expected; ///< Lines written for 100 decisions.
};

std::ostream& operator<<(std::ostream& out, const SamplingRow& row)
{
    return out << "one in " << row.sampling;
}

const std::vector<SamplingRow> samplingRows { { 0, 0 }, { 1, 100 }, { 7, 15 }, { 100, 1 } };

BOOST_DATA_TEST_CASE(decisionsAreSampledAndOtherEventsAreNot, data::make(samplingRows), row)
{
    const ScratchLog scratch;
    std::string reason;
    pw::EasyloggingEventLog log({ pw::Level::Info, scratch.file, row.sampling }, nullptr);
    BOOST_TEST_REQUIRE(log.open(reason), reason);
    for (auto n = 0; n < 100; ++n) {
        PW_EVENT(log, pw::Event::RouteDecision, { "n", n });
    }
    BOOST_TEST(linesOf(scratch.text()) == row.expected);
    PW_EVENT(log, pw::Event::DaemonStarted, { "name", "a" });
    BOOST_TEST(linesOf(scratch.text()) == row.expected + 1);
    BOOST_TEST(log.count(pw::Event::RouteDecision) == 100U);
}

BOOST_AUTO_TEST_CASE(fileIsRotatedBySizeWithoutLosingLines)
{
    const ScratchLog scratch;
    std::string reason;
    pw::EasyloggingEventLog log({ pw::Level::Info, scratch.file, 1, 1000 }, nullptr);
    BOOST_TEST_REQUIRE(log.open(reason), reason);
    for (auto n = 0; n < 40; ++n) {
        PW_EVENT(log, pw::Event::DaemonStarted, { "n", n });
    }
    std::size_t lines = linesOf(scratch.text());
    for (auto n = 1; n <= pw::LogOutput::keptFiles; ++n) {
        BOOST_TEST(scratch.text("." + std::to_string(n)).size() <= 1000U);
        lines += linesOf(scratch.text("." + std::to_string(n)));
    }
    BOOST_TEST(lines == 40U);
    BOOST_TEST(scratch.text().find("n=39\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(outputThatCannotBeWrittenLosesLinesAndCountsThem)
{
    pw::LogOutput output("/dev/full");
    std::string reason;
    BOOST_TEST_REQUIRE(output.open(reason), reason);
    const std::string line(64 * 1024, 'x');
    for (auto n = 0; n < 20; ++n) {
        output.append(line);
    }
    BOOST_TEST(output.takeLost() > 0U);
    BOOST_TEST(output.takeLost() == 0U);
}

BOOST_AUTO_TEST_CASE(fileThatCannotBeOpenedIsExplained)
{
    pw::EasyloggingEventLog log({ pw::Level::Info, "/nonexistent/log" }, nullptr);
    std::string reason;
    BOOST_TEST(!log.open(reason));
    BOOST_TEST(reason.starts_with("/nonexistent/log: "));
}

BOOST_AUTO_TEST_SUITE_END()
