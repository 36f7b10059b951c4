#include "app/daemon.h"

#include "adapters/crypto.h"
#include "adapters/log_storage_file.h"
#include "app/caller_edge.h"
#include "app/connection_bound.h"
#include "app/control_services.h"
#include "app/control_session.h"
#include "app/daemon_claims.h"
#include "app/daemon_grants.h"
#include "app/daemon_metrics.h"
#include "app/daemon_reporter.h"
#include "app/daemon_view.h"
#include "app/interface.h"
#include "app/operator_control.h"
#include "app/readiness_edge.h"
#include "config.h"

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
    makeServer();
    if (!makeControl(reason) || !makeEntry(reason) || !makeEdges(reason) || !m_network.init(reason)) {
        return false;
    }
    m_session->onChanged([this] { applyConfiguration(); });
    m_session->onMembers([this](const std::vector<MemberPlace>& members) { followMembers(members); });
    m_session->start();
    PW_EVENT(m_log, Event::DaemonStarted, { "name", m_settings.name }, { "peer", m_settings.peerAddress },
        { "entry", m_settings.entry }, { "server", m_settings.server }, { "control", m_settings.control });
    return true;
}

void Daemon::makeSession()
{
    m_session = std::make_unique<ControlSession>(m_settings, m_network, m_timers, crypto::randomNumber(), m_log, m_interface->parser());
    m_view = std::make_unique<DaemonView>(m_settings, m_network, m_timers, crypto::randomNumber(), m_log);
}

bool Daemon::makeControl(std::string& reason)
{
    if (!m_settings.control) {
        return true;
    }
    auto storage = std::make_unique<LogStorageFile>(m_settings.dataFolder);
    m_control = std::make_unique<ControlServices>(m_settings, m_network, m_timers, m_log, *m_session, m_interface->parser(), std::move(storage));
    return m_control->init(reason);
}

void Daemon::makeServer()
{
    if (m_settings.server) {
        m_server = std::make_unique<ServerRole>(m_loop, m_settings, m_network, m_timers, m_log, *m_view, m_interface->backends(), m_board);
    }
    if (!m_settings.server && !m_settings.entry) {
        return;
    }
    m_transport = std::make_unique<CallTransport>(m_network, m_timers, m_log, m_server.get(), crypto::randomNumber());
    m_dispatcher = std::make_unique<Dispatcher>(m_settings, *m_transport, m_timers, m_log, *m_view, crypto::randomNumber());
}

bool Daemon::makeEntry(std::string& reason)
{
    if (!m_settings.entry) {
        return true;
    }
    m_grants = std::make_unique<DaemonGrants>(m_settings, m_network, m_timers, crypto::randomNumber(), m_log, *m_session);
    m_claims = std::make_unique<DaemonClaims>(m_settings, m_network, m_timers, crypto::randomNumber(), m_log);
    // Some files stay free for links and for the backend server.
    const auto files = raiseOpenFileLimit(config::maxOpenFiles + config::reservedOpenFiles);
    const auto maxConnections = std::min(m_settings.callerConnections, files / 2);
    m_callerEdge = std::make_unique<CallerEdge>(CallerEdge::Parts { m_loop, m_timers, m_log, *m_session, *m_grants, *m_claims,
        *m_dispatcher, m_interface->callers(), m_settings, m_board, m_server.get(),
        maxConnections });
    m_callerEdge->finished().connect([this](const RequestRecord& record) { m_metrics->count(record); });
    if (!m_callerEdge->init(m_settings.callerAddress, reason)) {
        return false;
    }
    auto limit = files - std::min(files / 2, config::reservedOpenFiles);
    m_connectionBound = std::make_unique<ConnectionBound>(m_timers, m_log, limit, countOpenFiles,
        [this](bool pause) { m_callerEdge->pauseListening(pause); });
    return true;
}

InterfaceParts Daemon::interfaceParts()
{
    return { m_loop, m_timers, m_log, m_settings, *m_session, m_metrics->metrics(), m_server.get(), m_dispatcher.get(),
        m_operatorControl.get(), m_reporter.get(), m_secrets.operators };
}

bool Daemon::isReady() const
{
    return !m_stopping && m_session->version() > 0 && m_view->known();
}

bool Daemon::makeEdges(std::string& reason)
{
    if (m_server) {
        m_metrics->watch(*m_server);
        m_server->runFinished().connect([this](const RunRecord& record) { m_metrics->count(record); });
    }
    m_metrics->watch(m_network.traffic());
    m_reporter = std::make_unique<DaemonReporter>(m_settings, *m_session, *m_view, m_timers, m_server.get());
    if (m_control) {
        m_operatorControl = std::make_unique<OperatorControl>(m_control->log());
    }
    if (m_server) {
        m_backendEdge = m_interface->makeBackendEdge(interfaceParts());
    }
    if (!m_settings.operatorAddress.empty()) {
        m_operatorEdge = m_interface->makeOperatorEdge(interfaceParts());
    }
    if (!m_settings.readyAddress.empty()) {
        m_readinessEdge = std::make_unique<ReadinessEdge>(m_loop, m_timers, [this] { return isReady(); });
    }
    if (!m_settings.metricsAddress.empty()) {
        m_metricsEdge = std::make_unique<MetricsEdge>(m_loop, m_timers, [this] { return m_metrics->metrics().render(); });
    }
    const auto begun = [&reason](auto& edge, auto... address) { return !edge || edge->init(address..., reason); };
    return begun(m_backendEdge) && begun(m_operatorEdge) && begun(m_readinessEdge, m_settings.readyAddress)
        && begun(m_metricsEdge, m_settings.metricsAddress);
}

void Daemon::followMembers(const std::vector<MemberPlace>& places)
{
    m_view->setMembers(places);
    std::vector<PeerAddress> members;
    std::ranges::transform(places, std::back_inserter(members), &MemberPlace::address);
    if (m_grants) {
        m_grants->setMembers(members);
    }
    if (m_control) {
        m_control->setMembers(members);
    }
}

void Daemon::reloaded()
{
    followMembers(m_session->controlMembers());
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
}

void Daemon::stop()
{
    if (m_stopping) {
        return;
    }
    m_stopping = true;
    m_stopBy = m_timers.now() + m_settings.stopTime;
    PW_EVENT(m_log, Event::DaemonStopping, { "name", m_settings.name });
    if (m_server) {
        m_server->leave();
    }
    if (m_callerEdge) {
        m_callerEdge->leave();
    }
    if (m_control) {
        m_control->leave([] {});
    }
    m_timers.after(config::leaveGrace, [this] { stopTaking(); });
}

void Daemon::stopTaking()
{
    if (m_callerEdge) {
        m_callerEdge->stopListening();
    }
    waitUntilQuiet();
}

bool Daemon::busy() const
{
    auto calls = m_callerEdge ? m_callerEdge->pending() + m_callerEdge->unfinished() : 0;
    auto work = m_server ? m_server->pending() : 0;
    auto jobs = m_dispatcher ? m_dispatcher->pending() : 0;
    return calls + work + jobs > 0;
}

void Daemon::waitUntilQuiet()
{
    if (busy() && m_timers.now() < m_stopBy) {
        m_timers.after(config::stopPollInterval, [this] { waitUntilQuiet(); });
        return;
    }
    if (m_grants) {
        m_grants->returnAll();
    }
    // Answers and returned tokens leave with the last turns of the loop.
    m_timers.after(config::stopFlushTime, [this] { finishStop(); });
}

void Daemon::finishStop()
{
    if (busy() && m_timers.now() < m_stopBy) {
        waitUntilQuiet();
        return;
    }
    PW_EVENT(m_log, Event::DaemonStopped, { "name", m_settings.name });
    event_base_loopbreak(m_loop.base());
}

} // namespace pw
