#include "app/cli_options.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <iterator>
#include <sstream>

namespace {

namespace data = boost::unit_test::data;

std::vector<std::string> split(const std::string& line)
{
    std::istringstream in(line);
    return { std::istream_iterator<std::string>(in), std::istream_iterator<std::string>() };
}

std::string noEnvironment(const std::string&)
{
    return "";
}

std::string fullEnvironment(const std::string& name)
{
    return name == "PISTACHIOWHEEL_MEMBERS" ? "10.0.0.1:1,10.0.0.2:2" : "/secret";
}

struct Row {
    std::string line;
    pw::ExitCode code;
    std::string expected; ///< Substring of the printed text.
};

std::ostream& operator<<(std::ostream& out, const Row& row)
{
    return out << row.line;
}

const std::vector<Row> textRows {
    { "", pw::ExitCode::Usage, "Subcommands:" },
    { "--help", pw::ExitCode::Done, "config submit FILE" },
    { "config", pw::ExitCode::Usage, "no such subcommand: config" },
    { "config destroy", pw::ExitCode::Usage, "no such subcommand: config destroy" },
    { "status --help", pw::ExitCode::Done, "pistachiowheel status" },
    { "config submit --help", pw::ExitCode::Done, "Example:\n  pistachiowheel config submit llanw.yaml --base 41 --wait" },
    { "config check", pw::ExitCode::Usage, "FILE is missing" },
    { "config check a b", pw::ExitCode::Usage, "too many arguments" },
    { "config check a --members x", pw::ExitCode::Usage, "members" },
    { "config review", pw::ExitCode::Usage, "FILE is missing" },
    { "status extra", pw::ExitCode::Usage, "takes no argument" },
    { "status --timeout 0", pw::ExitCode::Usage, "--timeout is out of range" },
    { "status --timeout soon", pw::ExitCode::Usage, "soon" },
    { "status --loud", pw::ExitCode::Usage, "loud" },
    { "config submit f", pw::ExitCode::Usage, "--base is needed" },
    { "config submit f --base -1", pw::ExitCode::Usage, "-1" },
    { "config submit f --base 1 --change-id a/b", pw::ExitCode::Usage, "--change-id is not accepted" },
    { "key issue", pw::ExitCode::Usage, "--workspace is needed" },
    { "key issue --workspace a --id /", pw::ExitCode::Usage, "--id is not accepted" },
    { "key withdraw", pw::ExitCode::Usage, "KEY-ID is missing" },
    { "drain", pw::ExitCode::Usage, "must name one address" },
    { "evacuate", pw::ExitCode::Usage, "DOMAIN is missing" },
    { "evacuate a/b", pw::ExitCode::Usage, "DOMAIN is not accepted" },
    { "evacuate a b", pw::ExitCode::Usage, "too many arguments" },
    { "evacuate a --base x", pw::ExitCode::Usage, "x" },
    { "explain", pw::ExitCode::Usage, "REQUEST-ID is missing" },
    { "explain 5f0c2a91", pw::ExitCode::Usage, "FILE is missing" },
    { "member bootstrap", pw::ExitCode::Usage, "must name one address" },
};

} // namespace

BOOST_AUTO_TEST_SUITE(CommandLine)

BOOST_DATA_TEST_CASE(helpAndUsageErrorsAreTexts, data::make(textRows), row)
{
    const auto parsed = pw::parseCommandLine(split(row.line), fullEnvironment);
    BOOST_TEST(!parsed.options.has_value());
    BOOST_TEST((parsed.code == row.code));
    BOOST_TEST(parsed.text.find(row.expected) != std::string::npos, parsed.text);
}

BOOST_AUTO_TEST_CASE(everySubcommandHasHelpWithAnExample)
{
    std::istringstream overview(pw::parseCommandLine({ "--help" }, noEnvironment).text);
    auto subcommands = 0;
    for (std::string line; std::getline(overview, line);) {
        if (!line.starts_with("  ") || line.find("SUBCOMMAND") != std::string::npos) {
            continue;
        }
        const auto words = split(line);
        const bool one = words[0] == "status" || words[0] == "drain" || words[0] == "explain";
        const auto parsed = pw::parseCommandLine(
            one ? std::vector { words[0], std::string("--help") } : std::vector { words[0], words[1], std::string("--help") }, noEnvironment);
        BOOST_TEST((parsed.code == pw::ExitCode::Done), line);
        BOOST_TEST(parsed.text.find("Example:\n  pistachiowheel " + words[0]) != std::string::npos, parsed.text);
        ++subcommands;
    }
    BOOST_TEST(subcommands == static_cast<int>(pw::CliAction::Count));
}

BOOST_AUTO_TEST_CASE(optionsAreRead)
{
    const auto parsed = pw::parseCommandLine(
        split("config submit a,b.yaml --base 41 --change-id c1 --wait --json -m 10.0.0.9:9 -s /s -t 3"), fullEnvironment);
    BOOST_TEST_REQUIRE(parsed.options.has_value(), parsed.text);
    const auto& options = *parsed.options;
    BOOST_TEST((options.action == pw::CliAction::ConfigSubmit));
    BOOST_TEST(options.argument == "a,b.yaml");
    BOOST_TEST(options.base.value() == 41U);
    BOOST_TEST(options.changeId == "c1");
    BOOST_TEST(options.wait);
    BOOST_TEST(options.json);
    BOOST_TEST(options.members == std::vector<std::string> { "10.0.0.9:9" });
    BOOST_TEST(options.secretFile == "/s");
    BOOST_TEST((options.timeout == std::chrono::seconds(3)));
}

BOOST_AUTO_TEST_CASE(membersAndSecretComeFromTheEnvironment)
{
    const auto parsed = pw::parseCommandLine({ "status" }, fullEnvironment);
    BOOST_TEST_REQUIRE(parsed.options.has_value(), parsed.text);
    BOOST_TEST(parsed.options->members.size() == 2U);
    BOOST_TEST(parsed.options->secretFile == "/secret");
    BOOST_TEST((pw::parseCommandLine({ "status" }, noEnvironment).code == pw::ExitCode::Usage));
}

BOOST_AUTO_TEST_SUITE_END()
