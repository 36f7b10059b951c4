#include "app/secret_file.h"
#include "app/settings.h"
#include "support/text_change.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <sys/stat.h>

#include <filesystem>
#include <fstream>
#include <map>

namespace {

namespace data = boost::unit_test::data;

const std::string validText = R"(daemon:
  name: forecast-1
  region: wales
  failureDomain: west-1
roles: [entry, server, control]
peer:
  address: 10.0.1.2:7100
caller:
  address: 0.0.0.0:8080
backend:
  address: 127.0.0.1:7200
operator:
  address: 10.0.1.2:7300
control:
  dataFolder: /var/lib/pistachiowheel
  members:
    - { name: forecast-1, peer: "10.0.1.2:7100", operator: "10.0.1.2:7300" }
    - { name: control-2, peer: "10.0.2.2:7100", operator: "10.0.2.2:7300" }
secrets:
  fleet: /etc/pistachiowheel/fleet.secret
  operator: /etc/pistachiowheel/operator.secret
limit:
  strategy: static
log:
  level: debug
  file: /var/log/pistachiowheel.log
  decisionSampling: 10
)";

using Row = pw::test::TextChange;
using pw::test::replaced;

const std::vector<Row> wrongRows {
    { "  name: forecast-1", "  name: 'bad name'", "f.yaml:2: daemon.name: not a name; accepted: 1 to 64" },
    { "  name: forecast-1\n", "", "daemon.name: missing; accepted:" },
    { "  region: wales", "  region: [a]", "f.yaml:3: daemon.region: not a single value" },
    { "  region: wales", "  region: ''", "f.yaml:3: daemon.region: empty" },
    { "  region: wales", "  region: wales\n  region: kent", "f.yaml:4: daemon.region: given twice" },
    { "  region: wales", "  zone: wales", "f.yaml:3: daemon.zone: unknown key; accepted: failureDomain, name, region" },
    { "[entry, server, control]", "[]", "f.yaml:5: roles: no role" },
    { "[entry, server, control]", "[entry, proxy]", "f.yaml:5: roles: unknown role" },
    { "[entry, server, control]", "entry", "f.yaml:5: roles: not a list" },
    { "address: 10.0.1.2:7100", "address: host:7100", "f.yaml:7: peer.address: not an address" },
    { "address: 10.0.1.2:7100", "address: 0.0.0.0:7100", "f.yaml:7: peer.address: not an address of one daemon" },
    { "address: 10.0.1.2:7100", "address: 10.0.1.2", "f.yaml:7: peer.address: not an address" },
    { "address: 10.0.1.2:7100", "address: 10.0.1.2:7100\n  listen: nowhere", "f.yaml:8: peer.listen: not an address" },
    { "address: 10.0.1.2:7100", "address: 10.0.1.2:70000", "f.yaml:7: peer.address: not an address" },
    { "address: 10.0.1.2:7100", "address: 10.0.1.9:7100", "name and peer.address disagree with control.members" },
    { "caller:\n  address: 0.0.0.0:8080\n", "", "caller: missing" },
    { "backend:\n  address: 127.0.0.1:7200\n", "backend: {}\n", "backend.address: missing" },
    { "operator:\n  address: 10.0.1.2:7300\n", "", "operator: missing" },
    { "  dataFolder: /var/lib/pistachiowheel\n", "", "control.dataFolder: missing" },
    { "dataFolder: /var", "dataFolder: var", "control.dataFolder: not an absolute path" },
    { "name: control-2", "name: forecast-1", "control.members[1].name: given twice" },
    { "peer: \"10.0.2.2:7100\"", "peer: \"10.0.1.2:7100\"", "control.members[1].peer: given twice" },
    { "name: control-2,", "name: control-2, weight: 3,", "control.members[1].weight: unknown key" },
    { "    - { name: control-2", "    - 7\n    - { name: control-2", "control.members[1]: not a mapping" },
    { "  fleet: /etc/pistachiowheel/fleet.secret\n", "", "secrets.fleet: missing" },
    { "  operator: /etc/pistachiowheel/operator.secret\n", "", "secrets.operator: missing" },
    { "level: debug", "level: loud", "log.level: \"loud\"; accepted: debug, info, warning, error" },
    { "decisionSampling: 10", "decisionSampling: -1", "log.decisionSampling: \"-1\"; accepted: a whole number from 0 to 1000000" },
    { "decisionSampling: 10", "decisionSampling: 1e3", "log.decisionSampling: \"1e3\"" },
    { "strategy: static", "strategy: magic", "limit.strategy: \"magic\"; accepted: " },
    { "strategy: static", "start: slow", "limit.start: \"slow\"; accepted: count, answers" },
    { "limit:", "admission: { outlook: maybe }\nlimit:", "admission.outlook: \"maybe\"; accepted: off, on" },
    { "limit:", "admission: { forecast: on }\nlimit:", "admission.forecast: unknown key; accepted: outlook, prices" },
    { "limit:", "admission: { prices: both }\nlimit:", "admission.prices: \"both\"; accepted: chain, direct" },
    { "limit:", "admission: { price: chain }\nlimit:", "admission.price: unknown key; accepted: " },
    { "limit:", "warmUp: { overage: 0.9 }\nlimit:", "warmUp.overage: \"0.9\"; accepted: a number from 1" },
    { "limit:", "warmUp: { extra: -1 }\nlimit:", "warmUp.extra: \"-1\"; accepted: a number from 0" },
    { "limit:", "warmUp: { slack: 8 }\nlimit:", "warmUp.slack: unknown key; accepted: extra, overage" },
    { "limit:", "limits:", "limits: unknown key" },
    { "limit:", "pick: { by: speed }\nlimit:", "pick.by: \"speed\"; accepted: load, completion" },
    { "limit:", "pick: { from: load }\nlimit:", "pick.from: unknown key; accepted: by" },
    { "log:\n", "log: [", "(text):" },
};

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsFile)

BOOST_AUTO_TEST_CASE(validTextIsRead)
{
    std::string reason;
    auto settings = pw::parseSettings(validText, "f.yaml", reason);
    BOOST_TEST_REQUIRE(settings.has_value(), reason);
    BOOST_TEST(settings->name == "forecast-1");
    BOOST_TEST(settings->control);
    BOOST_TEST(settings->controlMembers.size() == 2U);
    BOOST_TEST(settings->controlMembers[1].operatorAddress == "10.0.2.2:7300");
    BOOST_TEST(settings->backendListenAddress == "127.0.0.1:7200");
    BOOST_TEST(settings->decisionSampling == 10U);
    BOOST_TEST(settings->limitStrategy == "static");
    BOOST_TEST((settings->warmUp == pw::WarmUpTolerance { 1, 0 }));
}

BOOST_AUTO_TEST_CASE(theStartRampIsRead)
{
    std::string reason;
    auto settings = pw::parseSettings(validText, "f.yaml", reason);
    BOOST_TEST_REQUIRE(settings.has_value(), reason);
    BOOST_TEST(settings->limitStart.empty());
    settings = pw::parseSettings(replaced(validText, { "strategy: static", "start: answers", "" }), "f.yaml", reason);
    BOOST_TEST_REQUIRE(settings.has_value(), reason);
    BOOST_TEST(settings->limitStart == "answers");
}

BOOST_AUTO_TEST_CASE(theOutlookIsOffByDefault)
{
    std::string reason;
    auto settings = pw::parseSettings(validText, "f.yaml", reason);
    BOOST_TEST_REQUIRE(settings.has_value(), reason);
    BOOST_TEST(!settings->outlook);
    settings = pw::parseSettings(replaced(validText, { "limit:", "admission: { outlook: on }\nlimit:", "" }), "f.yaml", reason);
    BOOST_TEST_REQUIRE(settings.has_value(), reason);
    BOOST_TEST(settings->outlook);
}

BOOST_AUTO_TEST_CASE(thePropagationOfPricesIsRead)
{
    std::string reason;
    auto settings = pw::parseSettings(validText, "f.yaml", reason);
    BOOST_TEST_REQUIRE(settings.has_value(), reason);
    BOOST_TEST((settings->priceMode == pw::PriceMode::Chain));
    settings = pw::parseSettings(replaced(validText, { "limit:", "admission: { prices: direct }\nlimit:", "" }), "f.yaml", reason);
    BOOST_TEST_REQUIRE(settings.has_value(), reason);
    BOOST_TEST((settings->priceMode == pw::PriceMode::Direct));
}

BOOST_AUTO_TEST_CASE(theSelectionOfServersIsRead)
{
    const std::map<std::string, pw::PickBy> rows { { "", pw::PickBy::Load }, { "pick: { by: load }\n", pw::PickBy::Load },
        { "pick: { by: completion }\n", pw::PickBy::Completion } };
    for (const auto& [text, expected] : rows) {
        std::string reason;
        const auto settings = pw::parseSettings(std::string(validText) + text, "f.yaml", reason);
        BOOST_TEST_REQUIRE(settings.has_value(), reason);
        BOOST_TEST((settings->pickBy == expected));
    }
}

BOOST_DATA_TEST_CASE(wrongTextIsExplained, data::make(wrongRows), row)
{
    std::string reason;
    auto settings = pw::parseSettings(replaced(validText, row), "f.yaml", reason);
    BOOST_TEST(!settings.has_value());
    BOOST_TEST(reason.find(row.expected) != std::string::npos, reason);
}

BOOST_AUTO_TEST_CASE(allProblemsAreReportedAtOnce)
{
    auto text = replaced(validText, { "level: debug", "level: loud", "" });
    text = replaced(text, { "region: wales", "region: '/'", "" });
    std::string reason;
    BOOST_TEST(!pw::parseSettings(text, "f.yaml", reason).has_value());
    BOOST_TEST(std::ranges::count(reason, '\n') == 1);
    BOOST_TEST(reason.find("daemon.region") < reason.find("log.level"));
}

BOOST_AUTO_TEST_CASE(missingFileIsExplained)
{
    std::string reason;
    BOOST_TEST(!pw::loadSettings("/nonexistent/f.yaml", reason).has_value());
    BOOST_TEST(reason.starts_with("/nonexistent/f.yaml:1: (file): cannot be read"));
}

namespace {

struct SecretRow {
    std::string content;
    mode_t mode;
    std::string expected; ///< Substring of the reason; empty when the file is accepted.
};

std::ostream& operator<<(std::ostream& out, const SecretRow& row)
{
    return out << row.content.size() << " bytes, mode " << row.mode;
}

const std::vector<SecretRow> secretRows {
    { "0123456789abcdef\n", 0600, "" },
    { "0123456789abcdef\nfedcba9876543210", 0400, "" },
    { "0123456789abcdef\n", 0640, "open to group or others" },
    { "0123456789abcdef\n", 0604, "open to group or others" },
    { "short\n", 0600, "holds a secret of 5 bytes" },
    { "\n", 0600, "holds 0 secrets" },
    { std::string(5000, 'x'), 0600, "too large" },
};

} // namespace

BOOST_DATA_TEST_CASE(secretFilesAreChecked, data::make(secretRows), row)
{
    const auto file = std::filesystem::temp_directory_path() / ("pw-secret-" + std::to_string(getpid()));
    std::filesystem::remove(file);
    std::ofstream(file) << row.content;
    chmod(file.c_str(), row.mode);
    std::string reason;
    auto secrets = pw::readSecretFile(file, reason);
    std::filesystem::remove(file);
    BOOST_TEST(secrets.has_value() == row.expected.empty());
    BOOST_TEST(reason.find(row.expected) != std::string::npos, reason);
    BOOST_TEST(reason.find("0123456789abcdef") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
