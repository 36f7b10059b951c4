#include "support/daemon.h"

#include <algorithm>
#include <csignal>
#include <sstream>
#include <utility>

namespace pw::test {
namespace {

    constexpr milliseconds killBound { 5000 };

    std::string joined(const std::vector<std::string>& parts)
    {
        std::string text;
        for (const auto& it : parts) {
            text += (text.empty() ? "" : ", ") + it;
        }
        return text;
    }

} // namespace

bool DaemonSpec::has(const std::string& role) const
{
    return std::ranges::find(roles, role) != roles.end();
}

std::string settingsOf(const DaemonSpec& spec, const FleetFiles& files, const std::string& dataFolder)
{
    std::ostringstream out;
    out << "daemon: { name: " << spec.name << ", region: test, failureDomain: " << spec.failureDomain << " }\n";
    out << "roles: [" << joined(spec.roles) << "]\n";
    out << "peer: { address: \"" << spec.peer << "\", listen: \"" << spec.listen << "\" }\n";
    if (spec.has("entry")) {
        out << "caller: { address: \"" << spec.caller << "\" }\n";
    }
    if (spec.has("server")) {
        out << "backend: { address: \"" << spec.backend << "\" }\n";
    }
    out << "operator: { address: \"" << spec.operators << "\" }\n";
    out << "control:\n";
    if (spec.has("control")) {
        out << "  dataFolder: " << dataFolder << "\n";
    }
    out << "  members:\n";
    for (const auto& it : files.members) {
        out << "    - { name: " << it.name << ", peer: \"" << it.peer << "\", operator: \"" << it.operators << "\" }\n";
    }
    out << "secrets: { fleet: " << files.fleetSecret << ", operator: " << files.operatorSecret << " }\n";
    return out.str();
}

Daemon::Daemon(const Folder& folder, DaemonSpec spec, const FleetFiles& files)
    : m_spec(std::move(spec))
    , m_dataFolder(folder.path("data-" + m_spec.name))
    , m_settings(folder.write(m_spec.name + ".yaml", settingsOf(m_spec, files, m_dataFolder)))
    , m_logFile(folder.path(m_spec.name + ".log"))
    , m_process("pistachiowheeld", { "--config", m_settings }, m_logFile)
{
}

void Daemon::start()
{
    m_process = Process("pistachiowheeld", { "--config", m_settings }, m_logFile);
}

void Daemon::crash()
{
    m_process.signal(SIGKILL);
    (void)m_process.wait(killBound);
}

std::optional<int> Daemon::stop(milliseconds bound)
{
    m_process.signal(SIGTERM);
    return m_process.wait(bound);
}

} // namespace pw::test
