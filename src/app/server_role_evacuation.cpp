#include "app/server_role.h"

#include <utility>

namespace pw {

void ServerRole::updateEvacuation()
{
    const auto evacuated = m_fleet.isEvacuated(m_entry.failureDomain);
    if (std::exchange(m_evacuated, evacuated) == evacuated) {
        return;
    }
    if (evacuated) {
        onEvacuationBegan();
    } else {
        onEvacuationEnded();
    }
    m_warmUp.setEvacuated(evacuated);
}

/// Refuses the queued calls, so that their senders offer them to other failure domains. Running calls complete.
void ServerRole::onEvacuationBegan()
{
    PW_EVENT(m_log, Event::EvacuationBegan, { "failure_domain", m_entry.failureDomain }, { "service", m_entry.service },
        { "running", m_admission.running() }, { "queued", m_admission.queued() });
    refuseQueued(Reason::Evacuated);
    processQueue();
}

/// Called before the first call is admitted after an evacuation.
void ServerRole::onEvacuationEnded()
{
    PW_EVENT(m_log, Event::EvacuationEnded, { "failure_domain", m_entry.failureDomain }, { "service", m_entry.service },
        { "running", m_admission.running() });
}

} // namespace pw
