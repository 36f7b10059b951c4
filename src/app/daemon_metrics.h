#pragma once

#include "adapters/peer_link.h"
#include "app/control_session.h"
#include "app/metric_catalogue.h"
#include "app/metrics.h"
#include "app/quarantine.h"
#include "app/request_record.h"
#include "app/server_role.h"
#include "core/route_outlook.h"
#include "ports/timers.h"

namespace pw {

/// Metrics of a daemon: finished requests, the load of the backend server beside it, and the traffic to other daemons.
class DaemonMetrics {
public:
    explicit DaemonMetrics(Timers& timers);
    ~DaemonMetrics();
    DaemonMetrics(const DaemonMetrics&) = delete;
    DaemonMetrics& operator=(const DaemonMetrics&) = delete;

    /// Records a finished request of a caller.
    void count(const RequestRecord& record);

    /// Records a finished run at the backend server.
    void count(const RunRecord& record);

    /// Records a request that was held back by the warm-up rate of the backend server.
    void count(WarmUpOutcome outcome);

    /// Records a call of \p route that was refused because the failure domain is evacuated.
    void countEvacuationRefusal(const std::string& route);

    /// Adds gauges for the suspect requests that \p quarantine knows; it must outlive this object.
    void addQuarantineGauges(const Quarantine& quarantine);
    /// Adds gauges for the admitted shares of \p outlook, which must outlive this object.
    void addOutlookGauges(const RouteOutlook& outlook);

    /// Adds gauges for the load of \p server, which must outlive this object.
    void addServerGauges(const ServerRole& server);

    /// Adds gauges for the replicated state as known to \p session, which must outlive this object.
    void addFleetGauges(const ControlSession& session);

    /// Adds a gauge for the prices known to this daemon. Both arguments must outlive this object.
    void addSlotPriceGauges(const SlotPriceTable& prices, const Timers& timers);

    /// Adds gauges for the traffic on the links to other daemons. \p traffic must outlive this object.
    void addLinkGauges(const LinkTrafficTable& traffic);

    Metrics& metrics() { return m_metrics; }

private:
    void tick();
    void observe(Metric metric, const MetricLabels& labels, Duration time);

    Timers& m_timers;
    TimerId m_tickTimer = 0;
    Metrics m_metrics;
};

} // namespace pw
