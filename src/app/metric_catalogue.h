#pragma once

#include <cstdint>
#include <string_view>

namespace pw {

/// Metrics of a daemon. Each has a row in the table in metric_catalogue.cpp and in docs/METRICS.md.
enum class Metric : std::uint8_t {
    Requests,
    RequestQuantiles,
    RequestLatency,
    OutlookLoweredRoutes,
    OutlookLowestShare,
    QuarantineSuspects,
    QuarantineHeld,
    BackendWait,
    BackendRun,
    BackendWork,
    BackendRunning,
    BackendQueued,
    BackendLimit,
    BackendRateLimit,
    BackendStartBound,
    BackendStartStepsBack,
    BackendStartReference,
    BackendWarmUpRate,
    BackendWarmUpRequests,
    BackendEvacuated,
    EvacuationRefusals,
    EvacuatedDomains,
    SlotPriceServers,
    LinkSentBytes,
    LinkReceivedBytes,
    LinkSentFrames,
    LinkReceivedFrames,
    Count
};

/// Row of the metric table.
struct MetricInfo {
    std::string_view name; ///< Ends with the unit.
    std::string_view type; ///< Metric type in the Prometheus text format.
    std::string_view labels; ///< Label names separated by commas; empty for none.
    std::string_view help;
};

/// \returns the row of \p metric.
const MetricInfo& metricInfo(Metric metric);

} // namespace pw
