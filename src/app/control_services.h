#pragma once

#include "app/control_claims.h"
#include "app/control_ledger.h"
#include "app/control_log.h"
#include "app/control_view.h"

#include <functional>
#include <memory>
#include <string>

namespace pw {

/// The control role of one daemon: the replicated log in its data folder, the ledger of rates, the claims and the membership
/// view.
class ControlServices {
public:
    ControlServices(const Settings& settings, PeerNetwork& network, Timers& timers, EventLog& events, FleetView& fleet,
        DeploymentParser parser, std::unique_ptr<LogStorage> storage);

    /// Starts the replicated log.
    /// \param reason receives the fault of the data folder when false is returned.
    bool init(std::string& reason);

    /// Transfers the leadership to another member, for a planned stop. \p done is called once this member does not lead.
    void leave(std::function<void()> done);

    /// Replaces the addresses of the control members, this one included.
    void setMembers(const std::vector<PeerAddress>& members) { m_view.setMembers(members); }

    ControlLog& log() { return m_log; }

private:
    std::unique_ptr<LogStorage> m_storage;
    ControlLog m_log;
    ControlLedger m_ledger;
    ControlClaims m_claims;
    ControlView m_view;
};

} // namespace pw
