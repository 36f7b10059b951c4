#include "app/daemon_metrics.h"

#include "app/metric_catalogue.h"

#include <array>
#include <limits>

namespace pw {
namespace {

    constexpr std::chrono::seconds tickInterval { 1 };

    /// Indexed by MessageKind.
    constexpr std::array<const char*, static_cast<std::size_t>(MessageKind::Count)> kindNames {
        "call", "answer", "cancel", "raft", "session-ask", "session-reply", "grant-ask", "grant-reply", "claim-ask", "claim-reply",
        "claim-fetch", "claim-fetched", "server-report", "view-delta", "operator-ask", "operator-reply", "daemon-change", "daemon-change-reply"
    };

    std::string outcomeOf(const Refusal& refusal)
    {
        if (refusal.reason == Reason::None) {
            return "whole";
        }
        return refusal.verdict == Verdict::NotRun ? "refused" : "failed";
    }

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
    const auto& requests = metricInfo(Metric::Requests);
    m_metrics.counter(requests.name, requests.help, labels).add();
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(record.latency);
    const auto& quantiles = metricInfo(Metric::RequestQuantiles);
    m_metrics.summary(quantiles.name, quantiles.help, { { "route", record.route } }).observe(micros);
    observe(Metric::RequestLatency, { { "route", record.route }, { "outcome", outcomeOf(record.refusal) } }, record.latency);
}

void DaemonMetrics::count(const RunRecord& record)
{
    observe(Metric::BackendWait, { { "route", record.route } }, record.wait);
    observe(Metric::BackendRun, { { "route", record.route } }, record.run);
    if (record.work) {
        observe(Metric::BackendWork, { { "route", record.route } }, *record.work);
    }
}

void DaemonMetrics::count(WarmUpOutcome outcome)
{
    const auto& info = metricInfo(Metric::BackendWarmUpRequests);
    m_metrics.counter(info.name, info.help, { { "outcome", outcome == WarmUpOutcome::Waited ? "waited" : "refused" } }).add();
}

void DaemonMetrics::countEvacuationRefusal(const std::string& route)
{
    const auto& info = metricInfo(Metric::EvacuationRefusals);
    m_metrics.counter(info.name, info.help, { { "route", route } }).add();
}

void DaemonMetrics::observe(Metric metric, const MetricLabels& labels, Duration time)
{
    const auto& info = metricInfo(metric);
    m_metrics.histogram(info.name, info.help, labels).observe(std::chrono::duration_cast<std::chrono::microseconds>(time));
}

void DaemonMetrics::addQuarantineGauges(const Quarantine& quarantine)
{
    const auto& suspects = metricInfo(Metric::QuarantineSuspects);
    m_metrics.gauge(suspects.name, suspects.help, {}, [&quarantine] { return static_cast<double>(quarantine.suspectCount()); });
    const auto& held = metricInfo(Metric::QuarantineHeld);
    m_metrics.gauge(held.name, held.help, {}, [&quarantine] { return static_cast<double>(quarantine.heldCount()); });
}

void DaemonMetrics::addOutlookGauges(const RouteOutlook& outlook)
{
    const auto& lowered = metricInfo(Metric::OutlookLoweredRoutes);
    m_metrics.gauge(lowered.name, lowered.help, {}, [&outlook] { return static_cast<double>(outlook.loweredCount()); });
    const auto& share = metricInfo(Metric::OutlookLowestShare);
    m_metrics.gauge(share.name, share.help, {}, [&outlook] { return outlook.lowestAdmittedShare(); });
}

void DaemonMetrics::addServerGauges(const ServerRole& server)
{
    auto gauge = [&](Metric metric, std::uint32_t LoadHint::*member) {
        const auto& info = metricInfo(metric);
        m_metrics.gauge(info.name, info.help, {}, [&server, member] { return static_cast<double>(server.load().*member); });
    };
    gauge(Metric::BackendRunning, &LoadHint::running);
    gauge(Metric::BackendQueued, &LoadHint::queued);
    gauge(Metric::BackendLimit, &LoadHint::limit);
    const auto& rate = metricInfo(Metric::BackendRateLimit);
    m_metrics.gauge(rate.name, rate.help, {}, [&server] { return server.rateLimit().value_or(std::numeric_limits<double>::infinity()); });
    auto rampGauge = [&](Metric metric, double (*value)(const StartRamp&)) {
        const auto& info = metricInfo(metric);
        m_metrics.gauge(info.name, info.help, {}, [&server, value] { return value(server.startRamp()); });
    };
    rampGauge(Metric::BackendStartBound, [](const StartRamp& it) { return it.bound(); });
    rampGauge(Metric::BackendStartStepsBack, [](const StartRamp& it) { return static_cast<double>(it.state().stepsBack); });
    rampGauge(Metric::BackendStartReference, [](const StartRamp& it) { return std::chrono::duration<double>(it.state().reference).count(); });
    const auto& warmUpRate = metricInfo(Metric::BackendWarmUpRate);
    m_metrics.gauge(warmUpRate.name, warmUpRate.help, {},
        [&server] { return server.warmUpRate().value_or(std::numeric_limits<double>::infinity()); });
    const auto& evacuated = metricInfo(Metric::BackendEvacuated);
    m_metrics.gauge(evacuated.name, evacuated.help, {}, [&server] { return server.isEvacuated() ? 1.0 : 0.0; });
}

void DaemonMetrics::addFleetGauges(const ControlSession& session)
{
    const auto& info = metricInfo(Metric::EvacuatedDomains);
    m_metrics.gauge(info.name, info.help, {}, [&session] { return static_cast<double>(session.evacuatedDomains().size()); });
}

void DaemonMetrics::addSlotPriceGauges(const SlotPriceTable& prices, const Timers& timers)
{
    const auto& info = metricInfo(Metric::SlotPriceServers);
    m_metrics.gauge(info.name, info.help, {}, [&prices, &timers] { return static_cast<double>(prices.pricedServers(timers.now())); });
}

void DaemonMetrics::addLinkGauges(const LinkTrafficTable& traffic)
{
    auto gauge = [&](Metric metric, std::uint64_t LinkTraffic::*member) {
        const auto& info = metricInfo(metric);
        for (std::size_t n = 0; n < traffic.size(); ++n) {
            m_metrics.gauge(info.name, info.help, { { "kind", kindNames.at(n) } }, [&traffic, n, member] { return static_cast<double>(traffic.at(n).*member); });
        }
    };
    gauge(Metric::LinkSentBytes, &LinkTraffic::sentBytes);
    gauge(Metric::LinkReceivedBytes, &LinkTraffic::receivedBytes);
    gauge(Metric::LinkSentFrames, &LinkTraffic::sentFrames);
    gauge(Metric::LinkReceivedFrames, &LinkTraffic::receivedFrames);
}

} // namespace pw
