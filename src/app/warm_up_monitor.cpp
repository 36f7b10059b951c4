#include "app/warm_up_monitor.h"

#include "config.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace pw {
namespace {

    /// Indexed by UnknownCause.
    constexpr std::array<std::string_view, static_cast<std::size_t>(UnknownCause::Count)> causeNames { "daemon-started", "backend-started",
        "connection-lost", "evacuation-finished", "configured" };

    std::string_view causeName(UnknownCause cause)
    {
        return causeNames.at(static_cast<std::size_t>(cause));
    }

    /// \returns why \p result does not tell the remaining warm-up time of \p instance.
    std::string failureOf(const BackendResult& result, const std::string& instance)
    {
        if (result.refusal.reason != Reason::None) {
            return result.detail;
        }
        return result.health && result.health->instance != instance ? "answer of another backend server" : "not healthy or without warm-up time";
    }

} // namespace

WarmUpMonitor::WarmUpMonitor(const Dependencies& parts)
    : m_parts(parts)
{
    m_parts.client.onConnectionLost([this] { onStateUnknown(UnknownCause::ConnectionLost); });
    configure();
}

WarmUpMonitor::~WarmUpMonitor()
{
    m_parts.timers.cancel(m_probeTimer);
    m_parts.timers.cancel(m_checkTimer);
}

void WarmUpMonitor::setServices(std::vector<Service> services)
{
    m_services = std::move(services);
    m_configured = true;
    configure();
}

const Service* WarmUpMonitor::service() const
{
    const auto it = std::ranges::find(m_services, m_server.service, &Service::name);
    return it == m_services.end() ? nullptr : &*it;
}

WarmUpSettings WarmUpMonitor::settings() const
{
    const auto& tolerance = m_parts.settings.warmUp;
    if (!m_configured) {
        const auto rate = tolerance.extra * config::unconfiguredWarmUpShare;
        return { rate, 1, tolerance.extra - rate };
    }
    const auto* it = service();
    return { it ? it->warmUpRate : 0, tolerance.overage, tolerance.extra };
}

/// Applies the settings of the service that the backend server has announced.
void WarmUpMonitor::configure()
{
    const auto updated = settings();
    const auto wasEnabled = std::exchange(m_enabled, updated.requestsPerSecond > 0);
    m_parts.warmUp.configure(updated);
    m_parts.client.setCloseUnused(m_enabled);
    if (m_enabled && !wasEnabled && m_inUse) {
        onStateUnknown(UnknownCause::Configured);
    } else {
        update(causeName(UnknownCause::Configured));
    }
}

void WarmUpMonitor::onAnnounced(Server server, std::optional<UnknownCause> event)
{
    const auto now = m_parts.timers.now();
    const auto isOtherService = server.service != m_server.service;
    m_server = std::move(server);
    m_inUse = true;
    if (isOtherService) {
        configure();
    }
    m_parts.warmUp.onAnnounced(m_server.warmUpTime.value_or(std::chrono::milliseconds(0)), now);
    if (event) {
        m_unknownSince = now;
        m_parts.warmUp.onStateUnknown(now);
    }
    acceptAnnouncement(now);
    update(event ? causeName(*event) : "announced");
}

/// Ends the unknown state by an announcement where the backend server cannot be probed.
void WarmUpMonitor::acceptAnnouncement(TimePoint now)
{
    const auto mayBeLate = m_configured ? probeRequest().has_value() : now - m_unknownSince < config::maxAnnouncementDelay;
    if (!m_parts.warmUp.isUnknown() || mayBeLate) {
        return;
    }
    const auto* it = service();
    const Duration assumed = (it ? Duration(it->warmUpTime) : Duration::zero()) - (now - m_unknownSince);
    const auto left = m_server.warmUpTime ? Duration(*m_server.warmUpTime) : assumed;
    m_parts.warmUp.onProbed(std::max(left, Duration::zero()), now, now);
    m_limitLifted.emit();
}

void WarmUpMonitor::onStateUnknown(UnknownCause cause)
{
    m_unknownSince = m_parts.timers.now();
    m_parts.warmUp.onStateUnknown(m_unknownSince);
    update(causeName(cause));
}

void WarmUpMonitor::setEvacuated(bool evacuated)
{
    if (std::exchange(m_evacuated, evacuated) && !evacuated) {
        onStateUnknown(UnknownCause::EvacuationFinished);
    }
}

void WarmUpMonitor::recordHeldBack(WarmUpOutcome outcome)
{
    ++(outcome == WarmUpOutcome::Waited ? m_waited : m_refused);
}

void WarmUpMonitor::update(std::string_view cause)
{
    const auto now = m_parts.timers.now();
    reportLimit(cause, now);
    publishRate(now);
    if (m_parts.warmUp.wantsProbe(now)) {
        probeSoon();
    }
    if (!m_checkTimer && (m_wasLimiting || m_publishedRate > 0)) {
        m_checkTimer = m_parts.timers.after(config::warmUpCheckInterval, [this] {
            m_checkTimer = 0;
            update("checked");
        });
    }
}

void WarmUpMonitor::reportLimit(std::string_view cause, TimePoint now)
{
    const auto isLimiting = m_parts.warmUp.isLimiting(now);
    if (isLimiting == std::exchange(m_wasLimiting, isLimiting)) {
        return;
    }
    if (isLimiting) {
        m_limitingSince = now;
        m_waited = 0;
        m_refused = 0;
        m_failures = 0;
        PW_EVENT(m_parts.log, Event::WarmUpBegan, { "service", m_server.service }, { "instance", m_server.instance }, { "cause", cause },
            { "unknown", m_parts.warmUp.isUnknown() }, { "rate", m_parts.warmUp.rate(now).value_or(0) });
        return;
    }
    PW_EVENT(m_parts.log, Event::WarmUpEnded, { "service", m_server.service }, { "instance", m_server.instance },
        { "limited_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - m_limitingSince).count() }, { "waited", m_waited },
        { "refused", m_refused });
    m_limitLifted.emit();
}

void WarmUpMonitor::publishRate(TimePoint now)
{
    const auto rate = m_parts.warmUp.rate(now).value_or(0);
    const auto isSmallChange = rate > 0 && m_publishedRate > 0 && std::abs(rate - m_publishedRate) <= config::warmUpRateStep * m_publishedRate;
    const auto mayEndSoon = m_publishedRate == 0 && m_parts.warmUp.isUnknown() && now - m_limitingSince < config::warmUpCheckInterval;
    if (rate == m_publishedRate || isSmallChange || mayEndSoon) {
        return;
    }
    m_publishedRate = rate;
    m_rateChanged.emit();
}

std::optional<HttpRequest> WarmUpMonitor::probeRequest() const
{
    const auto* it = service();
    return it && !it->healthPath.empty() ? m_parts.protocol.healthRequest(it->healthPath, m_server.instance) : std::nullopt;
}

/// Probes after the other events of this loop iteration: a backend server that ends closes all its connections.
void WarmUpMonitor::probeSoon()
{
    if (!m_probeTimer) {
        m_probeTimer = m_parts.timers.after(Duration::zero(), [this] {
            m_probeTimer = 0;
            probe();
        });
    }
}

void WarmUpMonitor::probe()
{
    const auto now = m_parts.timers.now();
    const auto hasConnection = m_parts.client.running() < m_server.connections;
    if (!m_inUse || m_evacuated || !hasConnection || !m_parts.warmUp.wantsProbe(now)) {
        return;
    }
    if (auto request = probeRequest()) {
        m_parts.warmUp.onProbeSent(now);
        m_parts.rate.takeToken(now);
        m_parts.client.probe(std::move(*request), config::warmUpProbeTimeout, [this, now](const BackendResult& result) { onProbed(now, result); });
    }
}

void WarmUpMonitor::onProbed(TimePoint askedAt, const BackendResult& result)
{
    const auto now = m_parts.timers.now();
    const auto isAnswered = result.health && result.health->instance == m_server.instance;
    if (!isAnswered) {
        ++m_failures;
        reportFailure(result, now);
    }
    m_parts.warmUp.onProbed(isAnswered ? std::optional<Duration>(result.health->warmUpLeft) : std::nullopt, askedAt, now);
    update("probed");
    if (isAnswered) {
        m_failures = 0;
        m_limitLifted.emit();
    }
}

void WarmUpMonitor::reportFailure(const BackendResult& result, TimePoint now)
{
    if (now - m_failureReported < config::probeLogInterval) {
        return;
    }
    m_failureReported = now;
    PW_EVENT(m_parts.log, Event::ProbeFailed, { "service", m_server.service }, { "instance", m_server.instance },
        { "detail", failureOf(result, m_server.instance) }, { "status", result.response.status }, { "failures", m_failures });
}

} // namespace pw
