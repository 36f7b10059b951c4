#include "app/control_services.h"

#include "adapters/crypto.h"

#include <utility>

namespace pw {

ControlServices::ControlServices(const Settings& settings, PeerNetwork& network, Timers& timers, EventLog& events, FleetView& fleet,
    DeploymentParser parser, std::unique_ptr<LogStorage> storage)
    : m_storage(std::move(storage))
    , m_log(settings, network, timers, crypto::randomNumber(), events, *m_storage, std::move(parser))
    , m_ledger(settings, network, timers, events, fleet, m_log)
    , m_claims(settings, network, timers, events)
    , m_view(settings, network, timers, crypto::randomNumber(), events)
{
}

bool ControlServices::init(std::string& reason)
{
    return m_log.start(reason);
}

void ControlServices::leave(std::function<void()> done)
{
    m_log.transferLeadership(std::move(done));
}

} // namespace pw
