#include "app/daemon_metrics.h"

namespace pw {
namespace {

    constexpr std::chrono::seconds tickInterval { 1 };

} // namespace

DaemonMetrics::DaemonMetrics(Timers& timers)
    : m_timers(timers)
{
    tick();
}

DaemonMetrics::~DaemonMetrics()
{
    m_timers.cancel(m_tickTimer);
}

void DaemonMetrics::tick()
{
    m_metrics.tick(m_timers.now());
    m_tickTimer = m_timers.after(tickInterval, [this] { tick(); });
}

void DaemonMetrics::count(const RequestRecord& record)
{
    MetricLabels labels {
        { "route", record.route },
        { "workspace", record.workspace },
        { "verdict", std::string(verdictName(record.refusal.verdict)) },
        { "reason", std::string(reasonInfo(record.refusal.reason).name) },
    };
    m_metrics.counter("pistachiowheel_requests_total", "Requests of callers, by their end.", labels).add();
    auto micros = std::chrono::duration_cast<std::chrono::microseconds>(record.latency);
    m_metrics.summary("pistachiowheel_request_seconds", "Time from a request to its answer.", { { "route", record.route } }).observe(micros);
}

void DaemonMetrics::watch(const ServerRole& server)
{
    auto gauge = [&](std::string_view name, std::string_view help, std::uint32_t LoadHint::*member) {
        m_metrics.gauge(name, help, {}, [&server, member] { return static_cast<double>(server.load().*member); });
    };
    gauge("pistachiowheel_backend_running", "Requests running at the backend server.", &LoadHint::running);
    gauge("pistachiowheel_backend_queued", "Requests waiting for the backend server.", &LoadHint::queued);
    gauge("pistachiowheel_backend_limit", "Concurrency limit of the backend server.", &LoadHint::limit);
}

} // namespace pw
