#pragma once

#include "app/control_session.h"
#include "app/server_role.h"
#include "app/settings.h"
#include "ports/operator_backend.h"
#include "ports/timers.h"

namespace pw {

/// Reports the state of this daemon to operators.
class DaemonReporter final : public LocalDaemon {
public:
    /// \param server null without the server role. All arguments must outlive this object.
    DaemonReporter(const Settings& settings, const ControlSession& session, const ServerDirectory& directory, const Timers& timers,
        ServerRole* server);

    DaemonStatus report() const override;
    std::vector<ServerEntry> servers() const override;
    bool drain(std::string& reason) override;

private:
    const Settings& m_settings;
    const ControlSession& m_session;
    const ServerDirectory& m_directory;
    const Timers& m_timers;
    ServerRole* m_server;
};

} // namespace pw
