#pragma once

#include "adapters/peer_link.h"
#include "app/metric_catalogue.h"
#include "app/metrics.h"
#include "app/request_record.h"
#include "app/server_role.h"
#include "ports/timers.h"

namespace pw {

/// Feeds a daemon's metrics: finished requests, and the load of the backend server beside it.
class DaemonMetrics {
public:
    explicit DaemonMetrics(Timers& timers);
    ~DaemonMetrics();
    DaemonMetrics(const DaemonMetrics&) = delete;
    DaemonMetrics& operator=(const DaemonMetrics&) = delete;

    /// Counts one finished request of a caller.
    void count(const RequestRecord& record);

    /// Counts one finished run at the backend server.
    void count(const RunRecord& record);

    /// Shows the load of \p server, which must outlive this object.
    void watch(const ServerRole& server);

    /// Shows what goes over the links to other daemons; \p traffic must outlive this object.
    void watch(const LinkTrafficTable& traffic);

    Metrics& metrics() { return m_metrics; }

private:
    void tick();
    void observe(Metric metric, const MetricLabels& labels, Duration time);

    Timers& m_timers;
    TimerId m_tickTimer = 0;
    Metrics m_metrics;
};

} // namespace pw
