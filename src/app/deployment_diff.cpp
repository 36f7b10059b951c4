#include "app/deployment_diff.h"

#include <yaml-cpp/yaml.h>

#include <array>
#include <map>
#include <utility>

namespace pw {
namespace {

    using Fields = std::map<std::string, std::string>;
    using Entries = std::map<std::string, Fields>;

    /// Section of the configuration, and the name of one of its entries in the output.
    constexpr std::array<std::pair<const char*, const char*>, 3> sections { {
        { "services", "service" },
        { "routes", "route" },
        { "workspaces", "workspace" },
    } };

    Fields fieldsOf(const YAML::Node& entry)
    {
        Fields result;
        for (const auto& it : entry) {
            result[it.first.Scalar()] = it.second.IsScalar() ? it.second.Scalar() : YAML::Dump(it.second);
        }
        return result;
    }

    Entries entriesOf(const YAML::Node& section)
    {
        Entries result;
        for (const auto& entry : section) {
            auto& fields = result[entry["name"].Scalar()];
            fields = fieldsOf(entry);
        }
        return result;
    }

    std::string changedFields(const Fields& before, const Fields& after)
    {
        const auto valueIn = [](const Fields& fields, const std::string& key) {
            const auto it = fields.find(key);
            return it == fields.end() ? std::string("none") : it->second;
        };
        auto keys = after;
        keys.insert(before.begin(), before.end());
        std::string result;
        for (const auto& [key, unused] : keys) {
            const auto old = valueIn(before, key);
            const auto current = valueIn(after, key);
            if (old != current) {
                result.append(result.empty() ? "" : ", ").append(key).append(" ").append(old).append(" -> ").append(current);
            }
        }
        return result;
    }

    /// \returns "+ route share", with \p changes after a colon when there are any.
    std::string formatLine(char sign, const std::string& kind, const std::string& name, const std::string& changes = "")
    {
        std::string result(1, sign);
        result.append(" ").append(kind).append(" ").append(name);
        return result.append(changes.empty() ? "" : ": ").append(changes);
    }

    void diffSection(const std::string& kind, const Entries& before, const Entries& after, std::vector<std::string>& lines)
    {
        for (const auto& [name, fields] : before) {
            if (!after.contains(name)) {
                lines.push_back(formatLine('-', kind, name));
            }
        }
        for (const auto& [name, fields] : after) {
            const auto old = before.find(name);
            if (old == before.end()) {
                lines.push_back(formatLine('+', kind, name));
            } else if (const auto changed = changedFields(old->second, fields); !changed.empty()) {
                lines.push_back(formatLine('~', kind, name, changed));
            }
        }
    }

} // namespace

std::vector<std::string> diffDeployments(const Deployment& before, const Deployment& after)
{
    // Compares the YAML text of both, so that fields added to the structs later need no code here.
    const auto old = YAML::Load(toYaml(before));
    const auto current = YAML::Load(toYaml(after));
    std::vector<std::string> lines;
    for (const auto& [section, kind] : sections) {
        diffSection(kind, entriesOf(old[section]), entriesOf(current[section]), lines);
    }
    if (const auto changed = changedFields(fieldsOf(old["limits"]), fieldsOf(current["limits"])); !changed.empty()) {
        lines.push_back("~ limits: " + changed);
    }
    return lines;
}

} // namespace pw
