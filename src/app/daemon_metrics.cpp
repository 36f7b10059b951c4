#include "app/daemon_metrics.h"

#include <array>

namespace pw {
namespace {

    constexpr std::chrono::seconds tickInterval { 1 };

    /// Indexed by MessageKind.
    constexpr std::array<const char*, static_cast<std::size_t>(MessageKind::Count)> kindNames {
        "call", "answer", "cancel", "raft", "session-ask", "session-reply", "grant-ask", "grant-reply", "claim-ask", "claim-reply",
        "claim-fetch", "claim-fetched", "server-report", "view-delta", "operator-ask", "operator-reply"
    };

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

void DaemonMetrics::watch(const LinkTrafficTable& traffic)
{
    auto gauge = [&](std::string_view name, std::string_view help, std::uint64_t LinkTraffic::*member) {
        for (std::size_t n = 0; n < traffic.size(); ++n) {
            m_metrics.gauge(name, help, { { "kind", kindNames.at(n) } }, [&traffic, n, member] { return static_cast<double>(traffic.at(n).*member); });
        }
    };
    gauge("pistachiowheel_link_sent_bytes", "Bytes sent to other daemons.", &LinkTraffic::sentBytes);
    gauge("pistachiowheel_link_received_bytes", "Bytes received from other daemons.", &LinkTraffic::receivedBytes);
    gauge("pistachiowheel_link_sent_frames", "Messages sent to other daemons.", &LinkTraffic::sentFrames);
    gauge("pistachiowheel_link_received_frames", "Messages received from other daemons.", &LinkTraffic::receivedFrames);
}

} // namespace pw
