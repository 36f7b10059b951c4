#include "app/daemon.h"

#include "adapters/crypto.h"
#include "adapters/log_storage_file.h"
#include "app/caller_endpoint.h"
#include "app/change_submitter.h"
#include "app/connection_limiter.h"
#include "app/control_services.h"
#include "app/control_session.h"
#include "app/daemon_claims.h"
#include "app/daemon_grants.h"
#include "app/daemon_metrics.h"
#include "app/daemon_reporter.h"
#include "app/daemon_view.h"
#include "app/departure_log.h"
#include "app/interface.h"
#include "app/operator_control.h"
#include "app/quarantine.h"
#include "app/readiness_endpoint.h"
#include "config.h"
#include "core/slot_price_table.h"

#include <algorithm>
#include <map>

namespace pw {

Daemon::Daemon(event_base* base, Timers& timers, EventLog& log, const Settings& settings, Secrets secrets)
    : m_loop(base)
    , m_timers(timers)
    , m_log(log)
    , m_settings(settings)
    , m_secrets(std::move(secrets))
    , m_interface(makeInterface(settings.interfaceName))
    , m_network({ &m_loop, &log, settings.peerAddress, m_secrets.fleet, settings.peerListenAddress }, timers)
    , m_metrics(std::make_unique<DaemonMetrics>(timers))
{
}

Daemon::~Daemon() = default;

bool Daemon::init(std::string& reason)
{
    makeSession();
    makeSlotPrices();
    makeQuarantine();
    makeServer();
    if (!makeControl(reason) || !makeEntry(reason) || !makeEndpoints(reason) || !m_network.init(reason)) {
        return false;
    }
    m_session->onChanged([this] { applyConfiguration(); });
    m_session->onMembers([this](const std::vector<MemberLocation>& members) { setControlMembers(members); });
    m_session->start();
    PW_EVENT(m_log, Event::DaemonStarted, { "name", m_settings.name }, { "peer", m_settings.peerAddress },
        { "entry", m_settings.entry }, { "server", m_settings.server }, { "control", m_settings.control });
    return true;
}

void Daemon::makeSession()
{
    m_session = std::make_unique<ControlSession>(m_settings, m_network, m_timers, crypto::randomNumber(), m_log, m_interface->deploymentParser());
    m_view = std::make_unique<DaemonView>(m_settings, m_network, m_timers, crypto::randomNumber(), m_log);
    m_changes = std::make_unique<ChangeSubmitter>(m_settings, *m_session, m_network, m_timers);
}

bool Daemon::makeControl(std::string& reason)
{
    if (!m_settings.control) {
        return true;
    }
    auto storage = std::make_unique<LogStorageFile>(m_settings.dataFolder);
    m_control = std::make_unique<ControlServices>(m_settings, m_network, m_timers, m_log, *m_session, m_interface->deploymentParser(), std::move(storage));
    return m_control->init(reason);
}

void Daemon::makeSlotPrices()
{
    if (m_settings.priceMode != PriceMode::Direct) {
        return;
    }
    m_slotPrices = std::make_unique<SlotPriceTable>();
    m_view->onChanged([this](const std::string& service) { m_slotPrices->setServerCount(service, m_view->servers(service).size()); });
    m_metrics->addSlotPriceGauges(*m_slotPrices, m_timers);
}

void Daemon::makeQuarantine()
{
    if (!m_settings.quarantine.enabled || !(m_settings.server || m_settings.entry)) {
        return;
    }
    m_quarantine = std::make_unique<Quarantine>(m_settings, *m_session, *m_view, *m_changes, m_timers, m_log);
    m_metrics->addQuarantineGauges(*m_quarantine);
}

void Daemon::makeServer()
{
    if (m_settings.server) {
        m_server = std::make_unique<ServerRole>(m_loop, m_settings, m_network, m_timers, m_log, *m_view, *m_session, m_interface->backendProtocol(), m_demandBoard, m_slotPrices.get());
        m_departures = std::make_unique<DepartureLog>(*m_session, *m_changes, m_timers, m_log);
        m_server->setDepartureLog(*m_departures);
    }
    if (!m_settings.server && !m_settings.entry) {
        return;
    }
    m_transport = std::make_unique<CallTransport>(m_network, m_timers, m_log, m_server.get(), crypto::randomNumber(), m_slotPrices.get());
    m_dispatcher = std::make_unique<Dispatcher>(m_settings, *m_transport, m_timers, m_log, *m_view, *m_session, crypto::randomNumber());
    if (m_quarantine) {
        m_dispatcher->setQuarantine(*m_quarantine);
        if (m_server) {
            m_server->setQuarantine(*m_quarantine);
        }
    }
}

bool Daemon::makeEntry(std::string& reason)
{
    if (!m_settings.entry) {
        return true;
    }
    m_grants = std::make_unique<DaemonGrants>(m_settings, m_network, m_timers, crypto::randomNumber(), m_log, *m_session);
    m_claims = std::make_unique<DaemonClaims>(m_settings, m_network, m_timers, crypto::randomNumber(), m_log);
    // Reserve some files for links and for the backend server.
    const auto files = raiseOpenFileLimit(config::maxOpenFiles + config::reservedOpenFiles);
    const auto maxConnections = std::min(m_settings.callerConnectionLimit, files / 2);
    m_callerEndpoint = std::make_unique<CallerEndpoint>(CallerEndpoint::Dependencies { m_loop, m_timers, m_log, *m_session, *m_grants, *m_claims,
        *m_dispatcher, m_interface->callerProtocol(), m_settings, m_demandBoard, m_slotPrices.get(), m_server.get(),
        maxConnections, m_quarantine.get() });
    m_callerEndpoint->finished().connect([this](const RequestRecord& record) { m_metrics->count(record); });
    m_metrics->addOutlookGauges(m_callerEndpoint->outlook());
    if (!m_callerEndpoint->init(m_settings.callerAddress, reason)) {
        return false;
    }
    auto limit = files - std::min(files / 2, config::reservedOpenFiles);
    m_connectionLimiter = std::make_unique<ConnectionLimiter>(m_timers, m_log, limit, countOpenFiles,
        [this](bool pause) { m_callerEndpoint->pauseListening(pause); });
    return true;
}

EndpointDependencies Daemon::endpointDependencies()
{
    return { m_loop, m_timers, m_log, m_settings, *m_session, m_metrics->metrics(), m_server.get(), m_dispatcher.get(),
        m_operatorControl.get(), m_reporter.get(), m_secrets.operators };
}

bool Daemon::isReady() const
{
    return !m_stop && m_session->version() > 0 && m_view->known();
}

bool Daemon::makeEndpoints(std::string& reason)
{
    if (m_server) {
        m_metrics->addServerGauges(*m_server);
        m_server->runFinished().connect([this](const RunRecord& record) { m_metrics->count(record); });
        m_server->heldBack().connect([this](WarmUpOutcome outcome) { m_metrics->count(outcome); });
        m_server->evacuationRefused().connect([this](const std::string& route) { m_metrics->countEvacuationRefusal(route); });
    }
    m_metrics->addFleetGauges(*m_session);
    m_metrics->addLinkGauges(m_network.traffic());
    m_reporter = std::make_unique<DaemonReporter>(m_settings, *m_session, *m_view, m_timers, m_server.get());
    if (m_control) {
        m_operatorControl = std::make_unique<OperatorControl>(m_control->log());
    }
    if (m_server) {
        m_backendEndpoint = m_interface->makeBackendEndpoint(endpointDependencies());
    }
    if (!m_settings.operatorAddress.empty()) {
        m_operatorEndpoint = m_interface->makeOperatorEndpoint(endpointDependencies());
    }
    if (!m_settings.readyAddress.empty()) {
        m_readinessEndpoint = std::make_unique<ReadinessEndpoint>(m_loop, m_timers, [this] { return isReady(); });
    }
    if (!m_settings.metricsAddress.empty()) {
        m_metricsEndpoint = std::make_unique<MetricsEndpoint>(m_loop, m_timers, [this] { return m_metrics->metrics().render(); });
    }
    const auto start = [&reason](auto& edge, auto... address) { return !edge || edge->init(address..., reason); };
    return start(m_backendEndpoint) && start(m_operatorEndpoint) && start(m_readinessEndpoint, m_settings.readyAddress)
        && start(m_metricsEndpoint, m_settings.metricsAddress);
}

void Daemon::setControlMembers(const std::vector<MemberLocation>& places)
{
    m_view->setMembers(places);
    std::vector<PeerAddress> members;
    std::ranges::transform(places, std::back_inserter(members), &MemberLocation::address);
    if (m_grants) {
        m_grants->setMembers(members);
    }
    if (m_control) {
        m_control->setMembers(members);
    }
}

void Daemon::reloaded()
{
    setControlMembers(m_session->controlMembers());
}

void Daemon::applyConfiguration()
{
    if (!m_server) {
        return;
    }
    std::map<std::string, double> rates;
    std::ranges::transform(m_session->deployment().workspaces, std::inserter(rates, rates.end()),
        [](const Workspace& it) { return std::pair(it.name, it.rate); });
    m_server->setWorkspaceWeights(std::move(rates));
    if (m_session->version() > 0) {
        m_server->setServices(m_session->deployment().services);
    }
}

void Daemon::stop()
{
    if (m_stop) {
        return;
    }
    m_stop.emplace(m_timers.now(), m_settings.stopTimeout);
    PW_EVENT(m_log, Event::DaemonStopping, { "name", m_settings.name }, { "requests", m_callerEndpoint ? m_callerEndpoint->pending() : 0 },
        { "calls", m_server ? m_server->pending() : 0 });
    if (m_server) {
        m_server->stop(*m_stop);
    }
    if (m_callerEndpoint) {
        m_callerEndpoint->leave(*m_stop);
        m_timers.after(m_stop->refusingFrom() - m_timers.now(), [this] { m_callerEndpoint->refuseWaiting(); });
    }
    if (m_control) {
        m_control->leave([] {});
    }
    m_timers.after(std::min<Duration>(config::leaveGrace, m_stop->refusingFrom() - m_timers.now()), [this] { stopListening(); });
}

void Daemon::stopListening()
{
    if (m_callerEndpoint) {
        m_callerEndpoint->stopListening();
    }
    waitUntilIdle();
}

bool Daemon::isBusy() const
{
    auto calls = m_callerEndpoint ? m_callerEndpoint->pending() + m_callerEndpoint->unfinished() : 0;
    auto work = m_server ? m_server->pending() : 0;
    auto requests = m_dispatcher ? m_dispatcher->pending() : 0;
    return calls + work + requests > 0;
}

void Daemon::waitUntilIdle()
{
    const auto isEnding = m_stop->phase(m_timers.now()) == StopPhase::Ending;
    if (isBusy() && !isEnding) {
        m_timers.after(std::min<Duration>(config::stopPollInterval, m_stop->endingFrom() - m_timers.now()), [this] { waitUntilIdle(); });
        return;
    }
    if (isEnding) {
        giveUp();
    }
    if (m_callerEndpoint) {
        m_callerEndpoint->refuseNew();
    }
    // Returned tokens are not granted again, so nothing may be accepted from here on.
    if (m_grants) {
        m_grants->returnTokens();
    }
    // Let the event loop send the last answers and returned tokens.
    m_timers.after(m_stop->flushTime(), [this] { finishStop(); });
}

/// Answers what is still pending, so that no connection ends without an answer.
void Daemon::giveUp()
{
    m_gaveUp = true;
    if (m_callerEndpoint) {
        m_callerEndpoint->giveUp();
    }
    if (m_server) {
        m_server->giveUp();
    }
}

void Daemon::finishStop()
{
    if (isBusy() && !m_gaveUp) {
        waitUntilIdle();
        return;
    }
    PW_EVENT(m_log, Event::DaemonStopped, { "name", m_settings.name }, { "requests", m_callerEndpoint ? m_callerEndpoint->pending() : 0 },
        { "unfinished", m_callerEndpoint ? m_callerEndpoint->unfinished() : 0 }, { "calls", m_server ? m_server->pending() : 0 });
    event_base_loopbreak(m_loop.base());
}

} // namespace pw
