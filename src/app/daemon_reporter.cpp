#include "app/daemon_reporter.h"

namespace pw {

DaemonReporter::DaemonReporter(const Settings& settings, const ControlSession& session, const ServerDirectory& directory,
    const Timers& timers, ServerRole* server)
    : m_settings(settings)
    , m_session(session)
    , m_directory(directory)
    , m_timers(timers)
    , m_server(server)
{
}

DaemonStatus DaemonReporter::report() const
{
    DaemonStatus report;
    report.name = m_settings.name;
    report.region = m_settings.region;
    report.failureDomain = m_settings.failureDomain;
    report.address = m_settings.peerAddress;
    if (m_settings.entry) {
        report.roles.emplace_back("entry");
    }
    if (m_settings.server) {
        report.roles.emplace_back("server");
    }
    if (m_settings.control) {
        report.roles.emplace_back("control");
    }
    report.version = m_session.version();
    report.appliedIndex = m_session.appliedIndex();
    report.evacuatedDomains = m_session.evacuatedDomains();
    report.keysValid = m_session.keysValid(m_timers.now());
    if (m_server) {
        report.server = LocalServerReport { m_server->entry(), m_server->load() };
    }
    return report;
}

std::vector<ServerEntry> DaemonReporter::servers() const
{
    std::vector<ServerEntry> result;
    for (const auto& service : m_session.deployment().services) {
        const auto& servers = m_directory.servers(service.name);
        result.insert(result.end(), servers.begin(), servers.end());
    }
    return result;
}

bool DaemonReporter::drain(std::string& reason)
{
    if (!m_server) {
        reason = "this daemon does not have the server role";
        return false;
    }
    m_server->leave();
    return true;
}

} // namespace pw
