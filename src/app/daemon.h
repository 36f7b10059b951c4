#pragma once

#include "adapters/libevent_util.h"
#include "adapters/peer_network_libevent.h"
#include "adapters/timers_libevent.h"
#include "app/settings.h"
#include "core/demand_cache.h"
#include "core/member_selector.h"
#include "core/stop_schedule.h"
#include "ports/events.h"

#include <memory>
#include <string>
#include <vector>

namespace pw {

class CallTransport;
class CallerEndpoint;
class ChangeSubmitter;
class ConnectionLimiter;
class ControlServices;
class ControlSession;
class DaemonClaims;
class DaemonGrants;
class DaemonMetrics;
class DaemonReporter;
class DaemonView;
class DepartureLog;
class Dispatcher;
class DaemonEndpoint;
class Interface;
class MetricsEndpoint;
class OperatorControl;
class Quarantine;
class ReadinessEndpoint;
class ServerRole;
class SlotPriceTable;
struct EndpointDependencies;

/// Secrets read from the files given in the settings.
struct Secrets {
    std::vector<std::string> fleet;
    std::vector<std::string> operators; ///< When empty, no operator can authenticate.
};

/// A daemon process: runs the roles enabled in its settings on one event loop in one thread.
class Daemon {
public:
    /// \param base the event loop. It, \p timers, \p log and \p settings must outlive this object.
    Daemon(event_base* base, Timers& timers, EventLog& log, const Settings& settings, Secrets secrets);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Opens the ports and the data folder and starts the roles.
    /// \param reason receives the error message when false is returned.
    bool init(std::string& reason);

    /// Applies changed settings.
    void reloaded();

    /// Begins a planned stop: announces it, finishes every request, returns granted tokens, then ends the event loop.
    void stop();

private:
    void makeSession();
    bool makeControl(std::string& reason);
    void makeSlotPrices();
    void makeQuarantine();
    void makeServer();
    bool makeEntry(std::string& reason);
    bool makeEndpoints(std::string& reason);
    EndpointDependencies endpointDependencies();
    bool isReady() const;
    void applyConfiguration();
    void setControlMembers(const std::vector<MemberLocation>& places);
    void stopListening();
    void waitUntilIdle();
    void giveUp();
    void finishStop();
    bool isBusy() const;

    StreamLoop m_loop;
    Timers& m_timers;
    EventLog& m_log;
    const Settings& m_settings;
    Secrets m_secrets;
    std::unique_ptr<Interface> m_interface;
    std::optional<StopSchedule> m_stop; ///< Set while stopping.
    bool m_gaveUp = false; ///< The requests that were pending at the end of the stop have been answered.
    PeerNetworkLibevent m_network;
    std::unique_ptr<ControlSession> m_session;
    std::unique_ptr<DaemonView> m_view;
    std::unique_ptr<ChangeSubmitter> m_changes;
    std::unique_ptr<DepartureLog> m_departures;
    std::unique_ptr<Quarantine> m_quarantine; ///< Null with `quarantine.mode: off`.
    std::unique_ptr<ControlServices> m_control;
    std::unique_ptr<DaemonGrants> m_grants;
    std::unique_ptr<DaemonClaims> m_claims;
    DemandCache m_demandBoard;
    std::unique_ptr<SlotPriceTable> m_slotPrices; ///< Null with `admission.prices: chain`.
    std::unique_ptr<ServerRole> m_server;
    std::unique_ptr<CallTransport> m_transport;
    std::unique_ptr<Dispatcher> m_dispatcher;
    std::unique_ptr<CallerEndpoint> m_callerEndpoint;
    std::unique_ptr<ConnectionLimiter> m_connectionLimiter;
    std::unique_ptr<DaemonMetrics> m_metrics;
    std::unique_ptr<DaemonReporter> m_reporter;
    std::unique_ptr<OperatorControl> m_operatorControl;
    std::unique_ptr<DaemonEndpoint> m_backendEndpoint;
    std::unique_ptr<DaemonEndpoint> m_operatorEndpoint;
    std::unique_ptr<ReadinessEndpoint> m_readinessEndpoint;
    std::unique_ptr<MetricsEndpoint> m_metricsEndpoint;
};

} // namespace pw
