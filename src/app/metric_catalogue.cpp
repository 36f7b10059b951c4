#include "app/metric_catalogue.h"

#include <array>

namespace pw {
namespace {

    constexpr std::array<MetricInfo, static_cast<std::size_t>(Metric::Count)> table { {
        { "pistachiowheel_requests_total", "counter", "route,workspace,verdict,reason", "Requests of callers, by their end." },
        { "pistachiowheel_request_seconds", "summary", "route", "Time from a request to its answer." },
        { "pistachiowheel_request_latency_seconds", "histogram", "route,outcome", "Time from a request to its answer, by outcome." },
        { "pistachiowheel_outlook_lowered_routes", "gauge", "", "Routes of which requests are refused because most of them fail." },
        { "pistachiowheel_outlook_lowest_share", "gauge", "", "Lowest share of the requests of a route that is admitted." },
        { "pistachiowheel_quarantine_suspects", "gauge", "", "Requests that were running when backend servers crashed and have not completed since." },
        { "pistachiowheel_quarantine_held", "gauge", "", "Requests that are held because they crash backend servers." },
        { "pistachiowheel_backend_wait_seconds", "histogram", "route", "Time that requests which ran waited for the backend server." },
        { "pistachiowheel_backend_run_seconds", "histogram", "route", "Time that requests ran at the backend server." },
        { "pistachiowheel_backend_work_seconds", "histogram", "route", "Work time of requests at the backend server; with pick.by: completion." },
        { "pistachiowheel_backend_running", "gauge", "", "Requests running at the backend server." },
        { "pistachiowheel_backend_queued", "gauge", "", "Requests waiting for the backend server." },
        { "pistachiowheel_backend_limit", "gauge", "", "Concurrency limit of the backend server." },
        { "pistachiowheel_backend_rate_limit", "gauge", "", "Requests per second that the backend server accepts; inf without a limit." },
        { "pistachiowheel_backend_start_bound", "gauge", "", "Upper bound of the concurrency limit after a start." },
        { "pistachiowheel_backend_start_steps_back", "gauge", "", "Times that the bound was lowered, since the start of the daemon." },
        { "pistachiowheel_backend_start_reference_seconds", "gauge", "", "Service time that responses after a start are compared with." },
        { "pistachiowheel_backend_warm_up_rate", "gauge", "", "Requests per second to the backend server while it may be cold; inf otherwise." },
        { "pistachiowheel_backend_warm_up_requests_total", "counter", "outcome", "Requests that the warm-up rate held back, by outcome." },
        { "pistachiowheel_backend_evacuated", "gauge", "", "1 while the failure domain of the backend server is evacuated, otherwise 0." },
        { "pistachiowheel_evacuation_refusals_total", "counter", "route", "Calls refused because the failure domain is evacuated." },
        { "pistachiowheel_evacuated_domains", "gauge", "", "Evacuated failure domains, as known to this daemon." },
        { "pistachiowheel_slot_price_servers", "gauge", "", "Backend servers with a price of slots above zero, as known to this daemon." },
        { "pistachiowheel_link_sent_bytes", "gauge", "kind", "Bytes sent to other daemons." },
        { "pistachiowheel_link_received_bytes", "gauge", "kind", "Bytes received from other daemons." },
        { "pistachiowheel_link_sent_frames", "gauge", "kind", "Messages sent to other daemons." },
        { "pistachiowheel_link_received_frames", "gauge", "kind", "Messages received from other daemons." },
    } };

} // namespace

const MetricInfo& metricInfo(Metric metric)
{
    return table.at(static_cast<std::size_t>(metric));
}

} // namespace pw
