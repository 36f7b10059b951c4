#include "app/settings.h"
#include "platform_interface.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <map>
#include <ostream>
#include <regex>
#include <sstream>
#include <string>

namespace {

using Values = std::map<std::string, std::string>;

/// Renders the parts of the platform's template language that deploy/ uses. A list has one item.
std::string render(std::string text, const Values& values)
{
    const std::regex section(R"(\{\{([#^])([a-z_.]+)\}\}([\s\S]*?)\{\{/\2\}\})");
    for (std::smatch match; std::regex_search(text, match, section);) {
        const auto value = values.find(match[2].str());
        const auto shown = (value != values.end()) == (match[1].str() == "#");
        auto body = shown ? match[3].str() : std::string();
        body = std::regex_replace(body, std::regex(R"(\{\{,\}\})"), "");
        body = std::regex_replace(body, std::regex(R"(\{\{\.\}\})"), value != values.end() ? value->second : "");
        text.replace(static_cast<std::size_t>(match.position()), static_cast<std::size_t>(match.length()), body);
    }
    for (const auto& [name, value] : values) {
        const auto tag = "{{" + name + "}}";
        for (auto at = text.find(tag); at != std::string::npos; at = text.find(tag)) {
            text.replace(at, tag.size(), value);
        }
    }
    return text;
}

const Values common { { "node_name", "n-1" }, { "region", "r-1" }, { "zone", "z-1" }, { "ip", "10.0.0.1" }, { "internal_port_range.0", "7100" },
    { "listen_addrs.outbound", "10.0.0.1:8080" }, { "listen_addrs.control", "127.0.0.1:7200" }, { "listen_addrs.ready", "10.0.0.1:7002" },
    { "service", "guide" }, { "seeds", "10.0.0.2:7200" }, { "fault_tolerance.machines", "1" }, { "bounds.drain_s", "2" }, { "bounds.grace_s", "60" },
    { "bounds.retry_budget_ratio", "0.1" }, { "bounds.retry_budget_extra", "10" }, { "bounds.budget_window_s", "10" },
    { "bounds.quota_window_s", "10" }, { "bounds.quota_overage", "0.1" }, { "bounds.quota_slack", "20" } };

struct Row {
    const char* name;
    Values added;
    pw::WarmUpTolerance warmUp;
};

std::ostream& operator<<(std::ostream& out, const Row& row)
{
    return out << row.name;
}

const std::vector<Row> rows {
    { "without cold servers", {}, {} },
    { "with cold servers", { { "bounds.cold_overage", "1.5" }, { "bounds.cold_slack", "8" } }, { 1.5, 8 } },
};

} // namespace

BOOST_AUTO_TEST_SUITE(DeployTemplates)

/// Guards against a template that does not render to valid settings, with or without the fields on cold servers.
BOOST_DATA_TEST_CASE(theTemplateOfADaemonBesideAServerIsValid, boost::unit_test::data::make(rows), row)
{
    pw::platform::registerPlatform();
    std::ifstream in(PW_SOURCE_DIR "/deploy/beside.yaml");
    std::ostringstream text;
    text << in.rdbuf();
    auto values = common;
    values.insert(row.added.begin(), row.added.end());
    const auto rendered = render(text.str(), values);
    BOOST_TEST(rendered.find("{{") == std::string::npos, rendered);
    std::string reason;
    const auto settings = pw::parseSettings(rendered, "beside.yaml", reason);
    BOOST_TEST_REQUIRE(settings.has_value(), reason);
    BOOST_TEST((settings->warmUp == row.warmUp));
}

BOOST_AUTO_TEST_SUITE_END()
