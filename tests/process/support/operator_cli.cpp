#include "support/operator_cli.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <stdexcept>

namespace pw::test {
namespace {

    constexpr milliseconds commandTimeout { 30000 };

    /// \returns the JSON document in the output of \p ran; an empty node when there is none.
    YAML::Node jsonOf(const Ran& ran)
    {
        const auto begin = ran.output.find('{');
        if (begin == std::string::npos) {
            return {};
        }
        try {
            return YAML::Load(ran.output.substr(begin, ran.output.find('\n', begin) - begin));
        } catch (const YAML::Exception&) {
            return {};
        }
    }

    YAML::Node statusOf(const OperatorCli& operators, const std::string& member)
    {
        return jsonOf(operators.runAt(member, { "status", "--timeout", "1" }));
    }

    /// \returns the role in the replicated log in the output \p status, empty when there is none.
    std::string roleIn(const YAML::Node& status)
    {
        return status.IsMap() ? status["control"]["role"].as<std::string>("") : std::string();
    }

} // namespace

OperatorCli::OperatorCli(const Folder& folder, const FleetFiles& files)
    : m_folder(folder)
    , m_secretFile(files.operatorSecret)
{
    for (const auto& it : files.members) {
        m_members += (m_members.empty() ? "" : ",") + it.operators;
        m_memberAddresses.push_back(it.operators);
    }
}

Ran OperatorCli::run(const std::vector<std::string>& arguments) const
{
    return runAt(m_members, arguments);
}

Ran OperatorCli::runAt(const std::string& members, const std::vector<std::string>& arguments) const
{
    std::vector<std::string> all = arguments;
    all.insert(all.end(), { "--secret-file", m_secretFile, "--members", members, "--json" });
    return runToEnd("pistachiowheel", all, m_folder.path("operator-" + std::to_string(++m_runs) + ".out"), commandTimeout);
}

Ran OperatorCli::bootstrap() const
{
    return runAt(m_memberAddresses.front(), { "member", "bootstrap" });
}

Ran OperatorCli::submit(const std::string& configuration) const
{
    return submitWithBase(configuration, version(), "change-" + std::to_string(m_runs + 1));
}

Ran OperatorCli::submitWithBase(const std::string& configuration, std::uint64_t base, const std::string& changeId) const
{
    const std::string file = m_folder.write("configuration-" + changeId + ".yaml", configuration);
    return run({ "config", "submit", file, "--base", std::to_string(base), "--change-id", changeId, "--wait" });
}

IssuedKey OperatorCli::issueKey(const std::string& workspace) const
{
    const Ran ran = run({ "key", "issue", "--workspace", workspace, "--wait" });
    const auto json = jsonOf(ran);
    if (ran.status != 0 || !json.IsMap()) {
        throw std::runtime_error("no key was issued: " + ran.output);
    }
    return { json["keyId"].as<std::string>(), json["key"].as<std::string>() };
}

Ran OperatorCli::withdrawKey(const std::string& keyId) const
{
    return run({ "key", "withdraw", keyId, "--wait" });
}

std::string OperatorCli::roleAt(const std::string& member) const
{
    return roleIn(statusOf(*this, member));
}

std::string OperatorCli::leader() const
{
    for (const auto& it : m_memberAddresses) {
        const auto json = statusOf(*this, it);
        if (roleIn(json) == "leader") {
            return json["daemon"]["name"].as<std::string>("");
        }
    }
    return {};
}

std::uint64_t OperatorCli::version() const
{
    // A partitioned member may show an older version.
    std::uint64_t version = 0;
    for (const auto& it : m_memberAddresses) {
        const auto json = jsonOf(runAt(it, { "config", "show", "--timeout", "1" }));
        version = std::max(version, json.IsMap() ? json["version"].as<std::uint64_t>(0) : 0);
    }
    return version;
}

} // namespace pw::test
