#include "support/operator_cli.h"

#include <yaml-cpp/yaml.h>

#include <stdexcept>

namespace pw::test {
namespace {

    constexpr milliseconds commandBound { 15000 };

    /// \returns the JSON of \p ran; an empty node when the tool printed none.
    YAML::Node jsonOf(const Ran& ran)
    {
        try {
            return YAML::Load(ran.output);
        } catch (const YAML::Exception&) {
            return {};
        }
    }

} // namespace

OperatorCli::OperatorCli(const Folder& folder, const FleetFiles& files)
    : m_folder(folder)
    , m_secretFile(files.operatorSecret)
{
    for (const auto& it : files.members) {
        m_members += (m_members.empty() ? "" : ",") + it.operators;
    }
}

Ran OperatorCli::run(const std::vector<std::string>& arguments) const
{
    std::vector<std::string> all { "--secret", m_secretFile, "--control", m_members, "--json" };
    all.insert(all.begin(), arguments.begin(), arguments.end());
    return runToEnd("pistachiowheel", all, m_folder.path("operator-" + std::to_string(++m_runs) + ".out"), commandBound);
}

Ran OperatorCli::submit(const std::string& configuration) const
{
    return submitBased(configuration, version(), "change-" + std::to_string(m_runs + 1));
}

Ran OperatorCli::submitBased(const std::string& configuration, std::uint64_t base, const std::string& changeId) const
{
    const std::string file = m_folder.write("configuration-" + changeId + ".yaml", configuration);
    return run({ "config", "submit", file, "--base", std::to_string(base), "--change", changeId, "--wait" });
}

IssuedKey OperatorCli::issueKey(const std::string& workspace) const
{
    const Ran ran = run({ "key", "issue", workspace, "--wait" });
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

std::string OperatorCli::leader() const
{
    const auto json = jsonOf(run({ "status" }));
    return json.IsMap() ? json["leader"].as<std::string>("") : std::string();
}

std::uint64_t OperatorCli::version() const
{
    const auto json = jsonOf(run({ "config", "show" }));
    return json.IsMap() ? json["version"].as<std::uint64_t>(0) : 0;
}

} // namespace pw::test
