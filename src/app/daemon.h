#pragma once

#include "adapters/libevent_util.h"
#include "adapters/peer_network_libevent.h"
#include "adapters/timers_libevent.h"
#include "app/settings.h"
#include "core/demand_board.h"
#include "core/member_choice.h"
#include "ports/events.h"

#include <memory>
#include <string>
#include <vector>

namespace pw {

class CallTransport;
class CallerEdge;
class ConnectionBound;
class ControlServices;
class ControlSession;
class DaemonClaims;
class DaemonGrants;
class DaemonMetrics;
class DaemonReporter;
class DaemonView;
class Dispatcher;
class Edge;
class Interface;
class MetricsEdge;
class OperatorControl;
class ReadinessEdge;
class ServerRole;
struct InterfaceParts;

/// Secrets read from the files that the settings name.
struct Secrets {
    std::vector<std::string> fleet;
    std::vector<std::string> operators; ///< Empty: nobody can prove to be an operator.
};

/// One process: the roles that its settings name, on one loop in one thread.
class Daemon {
public:
    /// \param base the loop. It, \p timers, \p log and \p settings must outlive this object.
    Daemon(event_base* base, Timers& timers, EventLog& log, const Settings& settings, Secrets secrets);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Opens the ports and the data folder and starts the roles.
    /// \param reason receives what went wrong when false is returned.
    bool init(std::string& reason);

    /// Takes note that the settings have changed.
    void reloaded();

    /// Begins a planned stop: announces it, finishes every request, hands back what is held, then ends the loop.
    void stop();

private:
    void makeSession();
    bool makeControl(std::string& reason);
    void makeServer();
    bool makeEntry(std::string& reason);
    bool makeEdges(std::string& reason);
    InterfaceParts interfaceParts();
    bool isReady() const;
    void applyConfiguration();
    void followMembers(const std::vector<MemberPlace>& places);
    void stopTaking();
    void waitUntilQuiet();
    void finishStop();
    bool busy() const;

    StreamLoop m_loop;
    Timers& m_timers;
    EventLog& m_log;
    const Settings& m_settings;
    Secrets m_secrets;
    std::unique_ptr<Interface> m_interface;
    bool m_stopping = false;
    TimePoint m_stopBy {};
    PeerNetworkLibevent m_network;
    std::unique_ptr<ControlSession> m_session;
    std::unique_ptr<DaemonView> m_view;
    std::unique_ptr<ControlServices> m_control;
    std::unique_ptr<DaemonGrants> m_grants;
    std::unique_ptr<DaemonClaims> m_claims;
    DemandBoard m_board;
    std::unique_ptr<ServerRole> m_server;
    std::unique_ptr<CallTransport> m_transport;
    std::unique_ptr<Dispatcher> m_dispatcher;
    std::unique_ptr<CallerEdge> m_callerEdge;
    std::unique_ptr<ConnectionBound> m_connectionBound;
    std::unique_ptr<DaemonMetrics> m_metrics;
    std::unique_ptr<DaemonReporter> m_reporter;
    std::unique_ptr<OperatorControl> m_operatorControl;
    std::unique_ptr<Edge> m_backendEdge;
    std::unique_ptr<Edge> m_operatorEdge;
    std::unique_ptr<ReadinessEdge> m_readinessEdge;
    std::unique_ptr<MetricsEdge> m_metricsEdge;
};

} // namespace pw
