#include "app/operator_control.h"

#include <algorithm>
#include <iterator>

namespace pw {

OperatorControl::OperatorControl(ControlLog& log)
    : m_log(log)
{
}

void OperatorControl::submit(Change change, Done done)
{
    m_log.submit(std::move(change), std::move(done));
}

void OperatorControl::readLatest(std::function<void(const ConfigurationRecord*)> done)
{
    m_log.readLatest(std::move(done));
}

void OperatorControl::awaitInForce(std::uint64_t index, std::function<void(bool)> done)
{
    m_log.awaitInForce(index, std::move(done));
}

void OperatorControl::removeMember(const std::string& name, Done done)
{
    m_log.removeMember(name, std::move(done));
}

bool OperatorControl::bootstrap(std::string& reason)
{
    return m_log.bootstrap(reason);
}

ControlReport OperatorControl::report() const
{
    const auto status = m_log.status();
    ControlReport report;
    report.role = controlRoleName(status.role);
    report.epoch = status.epoch;
    report.leader = status.leader;
    report.commitIndex = status.commitIndex;
    report.appliedIndex = status.appliedIndex;
    report.version = status.version;
    report.completeAge = status.completeAge;
    report.reason = status.reason;
    report.members = status.members;
    std::ranges::transform(status.sessions, std::back_inserter(report.daemons), [](const SessionStatus& it) {
        return AttachedDaemon { it.name, it.daemon, it.appliedIndex, it.version, it.silence };
    });
    return report;
}

const ConfigurationRecord& OperatorControl::configuration() const
{
    return m_log.image().configuration();
}

const std::map<std::string, KeyRecord>& OperatorControl::keys() const
{
    return m_log.image().keys();
}

const std::map<std::string, EvacuationRecord>& OperatorControl::evacuations() const
{
    return m_log.image().evacuations();
}

const SuspectMap& OperatorControl::suspects() const
{
    return m_log.image().suspects();
}

std::vector<ConfigurationHistoryEntry> OperatorControl::history() const
{
    std::vector<ConfigurationHistoryEntry> result;
    std::ranges::transform(m_log.history(), std::back_inserter(result),
        [](const ConfigurationRevision& it) { return ConfigurationHistoryEntry { it.version, it.index, it.changeId }; });
    return result;
}

} // namespace pw
