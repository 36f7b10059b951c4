#include "app/caller_endpoint.h"

#include "adapters/crypto.h"
#include "adapters/request_digest.h"
#include "app/http_answer.h"
#include "app/request_call.h"
#include "app/server_role.h"
#include "config.h"
#include "core/header_rules.h"

#include <algorithm>
#include <array>
#include <utility>

namespace pw {
namespace {

    constexpr Refusal callerDisconnected { Verdict::NotRun, Reason::Cancelled, {} };
    constexpr Refusal quarantined { Verdict::NotRun, Reason::Quarantined, {} };
    constexpr Refusal stopping { Verdict::NotRun, Reason::Leaving, config::stoppingRetryAfter };
    constexpr Refusal stoppedWhileRunning { Verdict::MayHaveRun, Reason::Leaving, {} };

    /// Indexed by ClaimOutcome. The entry of ClaimOutcome::Granted, which refuses nothing, is unused; that of
    /// ClaimOutcome::Answered stands for an answer that could not be fetched.
    constexpr std::array<Refusal, static_cast<std::size_t>(ClaimOutcome::Count)> claimRefusals { {
        {},
        { Verdict::MayHaveRun, Reason::DuplicateRunning, config::duplicateRetryAfter },
        { Verdict::MayHaveRun, Reason::DuplicateUnknown, {} },
        { Verdict::MayHaveRun, Reason::DuplicateUnknown, {} },
        { Verdict::NotRun, Reason::ClaimUnavailable, config::claimRetryAfter },
    } };

} // namespace

CallerEndpoint::CallerEndpoint(const Dependencies& dependencies)
    : m_dependencies(dependencies)
    , m_outlook(crypto::randomNumber())
    , m_http(
          m_dependencies.loop, m_dependencies.timers, [this](std::shared_ptr<HttpExchange> exchange) { onRequest(std::move(exchange)); },
          [&protocol = m_dependencies.protocol](int status, std::string_view what) { return protocol.errorResponse(status, what); })
{
    configure();
    m_dependencies.fleet.onChanged([this] { configure(); });
}

CallerEndpoint::~CallerEndpoint()
{
    // The ends of its connections are handled by the other members.
    m_http.shutdown();
}

void CallerEndpoint::configure()
{
    const auto& deployment = m_dependencies.fleet.deployment();
    m_routes = RouteTable(deployment.routes);
    m_split.configure(deployment.routes);
    m_rootGate.configure(deployment);
    m_outlook.configure(deployment.routes);
    m_priorities.clear();
    std::ranges::transform(deployment.workspaces, std::inserter(m_priorities, m_priorities.end()),
        [](const Workspace& it) { return std::pair(it.name, it.priority); });
    const auto& limits = deployment.limits;
    m_http.setLimits({ { limits.headerBytes, std::min(limits.bodyBytes, config::maxBodyBytes) }, limits.headerTimeout, limits.idleTimeout,
        m_dependencies.maxConnections });
}

bool CallerEndpoint::init(const std::string& address, std::string& reason)
{
    return m_http.init(address, reason);
}

void CallerEndpoint::onRequest(std::shared_ptr<HttpExchange> exchange)
{
    auto incoming = std::make_shared<Incoming>();
    incoming->exchange = std::move(exchange);
    incoming->started = m_dependencies.timers.now();
    using Check = std::optional<Refusal> (CallerEndpoint::*)(Incoming&);
    constexpr std::array<Check, 7> checks { &CallerEndpoint::parseRequest, &CallerEndpoint::findRoute, &CallerEndpoint::checkStop,
        &CallerEndpoint::checkKey, &CallerEndpoint::checkQuarantine, &CallerEndpoint::checkDownstreamLoad, &CallerEndpoint::checkOutlook };
    for (auto check : checks) {
        if (auto refusal = (this->*check)(*incoming)) {
            refuse(incoming, *refusal);
            return;
        }
    }
    m_pending.insert(incoming);
    incoming->exchange->onDisconnected([this, weak = std::weak_ptr(incoming)] {
        if (auto it = weak.lock()) {
            onCallerDisconnected(it);
        }
    });
    acquireRateToken(incoming);
}

std::optional<Refusal> CallerEndpoint::parseRequest(Incoming& incoming)
{
    if (auto refusal = m_dependencies.protocol.read(incoming.exchange->request(), incoming.ask)) {
        return refusal;
    }
    incoming.deadline = incoming.started + std::min(incoming.ask.callerTimeout.value_or(config::maxDeadline), config::maxDeadline);
    return std::nullopt;
}

std::optional<Refusal> CallerEndpoint::findRoute(Incoming& incoming)
{
    if (m_dependencies.fleet.version() == 0) {
        return Refusal { Verdict::NotRun, Reason::NoConfiguration, config::noServerRetryAfter };
    }
    const auto& request = incoming.exchange->request();
    const auto host = singleHeader(request.headers, "Host").value_or("");
    const auto* route = m_routes.match(host, request.method, request.target);
    if (!route) {
        return Refusal { Verdict::NotRun, Reason::NoRoute, {} };
    }
    if (route->nestedOnly) {
        return Refusal { Verdict::NotRun, Reason::RouteNotAllowed, {} };
    }
    incoming.route = *route;
    incoming.deadline = std::min<TimePoint>(incoming.deadline, incoming.started + route->deadline);
    return std::nullopt;
}

/// Refuses a request that would not end before the daemon does.
std::optional<Refusal> CallerEndpoint::checkStop(Incoming& incoming)
{
    if (!m_stop) {
        return std::nullopt;
    }
    // A caller without a key on an open route looks like a backend server, but only one that runs a request makes nested calls.
    const auto isNested = incoming.isNested() && m_dependencies.server && m_dependencies.server->pending() > 0;
    const auto deadline = m_stop->admit(incoming.started, incoming.deadline, isNested);
    if (!deadline || m_refusesNew) {
        return stopping;
    }
    incoming.deadline = *deadline;
    return std::nullopt;
}

std::optional<Refusal> CallerEndpoint::checkKey(Incoming& incoming)
{
    if (incoming.route.open) {
        incoming.rank = incoming.ask.nested ? Rank {} : rankOf(incoming.route, 0);
        return std::nullopt;
    }
    if (!m_dependencies.fleet.keysValid(m_dependencies.timers.now())) {
        return Refusal { Verdict::NotRun, Reason::KeysNotValid, config::noServerRetryAfter };
    }
    const auto& key = incoming.ask.key;
    auto workspace = key ? m_dependencies.fleet.workspaceOfKey(crypto::digest(*key)) : std::nullopt;
    if (!workspace) {
        return Refusal { Verdict::NotRun, Reason::UnknownKey, {} };
    }
    incoming.workspace = *workspace;
    incoming.rank = rankOf(incoming.route, m_priorities[*workspace]);
    return std::nullopt;
}

/// Identifies the request, and refuses it if it is held.
std::optional<Refusal> CallerEndpoint::checkQuarantine(Incoming& incoming)
{
    auto* quarantine = m_dependencies.quarantine;
    if (!quarantine) {
        return std::nullopt;
    }
    // A workspace may send a request from any VM; a nested call belongs to the service that makes it.
    const auto caller = incoming.isNested() ? "service:" + m_dependencies.settings.localService : "workspace:" + incoming.workspace;
    incoming.digest = requestDigest(incoming.exchange->request(), caller);
    return quarantine->modeOf(incoming.digest) == SuspectMode::Held ? std::optional(quarantined) : std::nullopt;
}

/// Refuses a root request whose price at the downstream services exceeds its value.
std::optional<Refusal> CallerEndpoint::checkDownstreamLoad(Incoming& incoming)
{
    if (incoming.isNested()) {
        if (m_dependencies.server) {
            m_dependencies.server->recordNestedCall(incoming.route.name);
        }
        return std::nullopt;
    }
    auto demands = m_dependencies.board.demandsOf(incoming.route.name, m_dependencies.timers.now());
    if (m_dependencies.prices) {
        m_dependencies.prices->applyTo(demands, m_dependencies.timers.now());
    }
    if (m_rootGate.admit(incoming.route.name, incoming.workspace, incoming.rank, demands, m_dependencies.timers.now())) {
        return std::nullopt;
    }
    return Refusal { Verdict::NotRun, Reason::DownstreamOverloaded, config::throttledRetryAfter };
}

/// Refuses a root request that will most likely not be served. A nested call is part of a request that has already started.
std::optional<Refusal> CallerEndpoint::checkOutlook(Incoming& incoming)
{
    if (!m_dependencies.settings.outlook || incoming.isNested()) {
        return std::nullopt;
    }
    const auto now = m_dependencies.timers.now();
    return m_outlook.check(incoming.route, incoming.deadline - now, now);
}

void CallerEndpoint::acquireRateToken(const IncomingPtr& incoming)
{
    if (incoming->workspace.empty()) {
        dispatch(incoming);
        return;
    }
    m_dependencies.rates.takeToken(incoming->workspace, incoming->deadline, [this, incoming](const std::optional<Refusal>& refusal) {
        if (incoming->answered) {
            return;
        }
        if (refusal || incoming->disconnected) {
            refuse(incoming, refusal.value_or(callerDisconnected));
        } else {
            claimRequestId(incoming);
        }
    });
}

void CallerEndpoint::claimRequestId(const IncomingPtr& incoming)
{
    if (incoming->route.idempotent || !incoming->ask.requiresClaim) {
        dispatch(incoming);
        return;
    }
    m_dependencies.claims.claim(incoming->workspace, incoming->ask.requestId, incoming->deadline,
        [this, incoming](ClaimOutcome outcome, const std::optional<StoredAnswer>& storedAnswer) { onClaimDecided(incoming, outcome, storedAnswer); });
}

void CallerEndpoint::onClaimDecided(const IncomingPtr& incoming, ClaimOutcome outcome, const std::optional<StoredAnswer>& storedAnswer)
{
    if (outcome == ClaimOutcome::Granted) {
        incoming->claimed = true;
        if (incoming->answered || incoming->disconnected) {
            refuse(incoming, callerDisconnected);
        } else {
            dispatch(incoming);
        }
        return;
    }
    if (outcome == ClaimOutcome::Answered && storedAnswer) {
        reply(incoming, storedAnswer->refusal, storedAnswerToHttp(*storedAnswer));
        return;
    }
    refuse(incoming, claimRefusals.at(static_cast<std::size_t>(outcome)));
}

/// Sends the request to a backend server, unless it is a suspect that must not run now.
void CallerEndpoint::dispatch(const IncomingPtr& incoming)
{
    auto service = m_split.next(incoming->route);
    auto* quarantine = m_dependencies.quarantine;
    const auto mode = quarantine ? quarantine->modeOf(incoming->digest) : SuspectMode::Clear;
    if (mode == SuspectMode::Held || (mode != SuspectMode::Clear && !quarantine->canRisk(service, incoming->digest))) {
        refuse(incoming, quarantined);
    } else if (mode == SuspectMode::Trial) {
        claimTrial(incoming, service);
    } else {
        send(incoming, std::move(service));
    }
}

/// Claims the one run that the whole fleet allows the suspect after its last crash.
void CallerEndpoint::claimTrial(const IncomingPtr& incoming, const std::string& service)
{
    m_dependencies.quarantine->claimTrial(incoming->digest, [this, incoming, service](bool granted) {
        PW_EVENT(m_dependencies.log, Event::TrialDecided, { "request", incoming->ask.requestId }, { "route", incoming->route.name },
            { "digest", requestDigestText(incoming->digest) }, { "granted", granted });
        if (incoming->answered) {
            return;
        }
        if (!granted || incoming->disconnected) {
            refuse(incoming, granted ? callerDisconnected : quarantined);
            return;
        }
        incoming->trial = true;
        send(incoming, service);
    });
}

void CallerEndpoint::send(const IncomingPtr& incoming, std::string service)
{
    const auto& request = incoming->exchange->request();
    const auto& route = incoming->route;
    DispatchRequest dispatchRequest;
    dispatchRequest.deadline = incoming->deadline;
    dispatchRequest.attempts = route.attempts;
    dispatchRequest.maxServers = route.maxServers;
    dispatchRequest.call = makeCall(request, route, std::move(service), m_dependencies.protocol.forwarded(request));
    dispatchRequest.call.callerService = m_dependencies.settings.localService;
    dispatchRequest.call.nested = incoming->isNested();
    dispatchRequest.call.rank = incoming->rank;
    dispatchRequest.call.workspace = incoming->workspace;
    dispatchRequest.call.requestId = incoming->ask.requestId;
    dispatchRequest.call.digest = incoming->digest;
    dispatchRequest.call.trial = incoming->trial;
    if (m_dependencies.settings.outlook && !incoming->isNested()) {
        m_outlook.started(route, m_dependencies.timers.now());
    }
    incoming->dispatchId = m_dependencies.dispatcher.start(std::move(dispatchRequest), [this, incoming](const Answer& answer) { onAnswer(incoming, answer); });
}

void CallerEndpoint::onAnswer(const IncomingPtr& incoming, const Answer& answer)
{
    incoming->dispatchId = 0;
    const auto& route = incoming->route;
    m_dependencies.board.record(route.name, answer.demands, m_dependencies.timers.now());
    recordOutlook(*incoming, answer);
    auto response = m_dependencies.protocol.answer(answer);
    if (incoming->claimed) {
        m_dependencies.claims.finish(incoming->workspace, incoming->ask.requestId, toStoredAnswer(answer.refusal, response));
        incoming->claimed = false;
    }
    reply(incoming, answer.refusal, response);
}

void CallerEndpoint::recordOutlook(const Incoming& incoming, const Answer& answer)
{
    if (!m_dependencies.settings.outlook || incoming.isNested()) {
        return;
    }
    const auto now = m_dependencies.timers.now();
    const auto change = m_outlook.ended(incoming.route, answer, now - incoming.started, now);
    if (!change) {
        return;
    }
    PW_EVENT(m_dependencies.log, Event::RouteOutlookChanged, { "route", incoming.route.name }, { "state", change->lowered ? "lowered" : "restored" },
        { "failed_share", change->failedShare }, { "results", change->results },
        { "failing_ms", std::chrono::duration_cast<std::chrono::milliseconds>(change->lasted).count() });
}

void CallerEndpoint::onCallerDisconnected(const IncomingPtr& incoming)
{
    incoming->disconnected = true;
    // A non-idempotent request may already be running: let it finish, so that its answer is stored for a repeat.
    if (incoming->dispatchId && incoming->route.idempotent) {
        m_dependencies.dispatcher.cancel(std::exchange(incoming->dispatchId, 0));
        refuse(incoming, { Verdict::MayHaveRun, Reason::Cancelled, {} });
    }
}

void CallerEndpoint::leave(const StopSchedule& schedule)
{
    m_stop = schedule;
    m_http.leave();
}

void CallerEndpoint::refuseWaiting()
{
    const auto pending = m_pending;
    for (const auto& it : pending) {
        if (it->dispatchId == 0) {
            refuse(it, stopping);
        }
    }
}

void CallerEndpoint::giveUp()
{
    refuseWaiting();
    const auto now = m_dependencies.timers.now();
    const auto pending = m_pending;
    for (const auto& it : pending) {
        if (it->answered) {
            continue;
        }
        if (!m_dependencies.dispatcher.mayHaveRun(it->dispatchId)) {
            m_dependencies.dispatcher.cancel(std::exchange(it->dispatchId, 0));
            refuse(it, stopping);
            continue;
        }
        PW_EVENT(m_dependencies.log, Event::RequestGivenUp, { "request", it->ask.requestId }, { "route", it->route.name },
            { "idempotent", it->route.idempotent }, { "age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - it->started).count() },
            { "left_ms", std::chrono::duration_cast<std::chrono::milliseconds>(it->deadline - now).count() });
        // A non-idempotent request is left to finish at its backend server.
        if (it->route.idempotent) {
            m_dependencies.dispatcher.cancel(std::exchange(it->dispatchId, 0));
        }
        refuse(it, stoppedWhileRunning);
    }
}

void CallerEndpoint::refuse(const IncomingPtr& incoming, const Refusal& refusal)
{
    if (refusal.reason == Reason::Quarantined) {
        PW_EVENT(m_dependencies.log, Event::RequestQuarantined, { "request", incoming->ask.requestId }, { "route", incoming->route.name },
            { "workspace", incoming->workspace }, { "digest", requestDigestText(incoming->digest) },
            { "crashes", m_dependencies.quarantine->crashesOf(incoming->digest) },
            { "mode", m_dependencies.quarantine->modeOf(incoming->digest) == SuspectMode::Held ? "held" : "trial" });
    }
    const auto response = m_dependencies.protocol.refusal(refusal);
    if (std::exchange(incoming->claimed, false)) {
        m_dependencies.claims.finish(incoming->workspace, incoming->ask.requestId, toStoredAnswer(refusal, response));
    }
    reply(incoming, refusal, response);
}

void CallerEndpoint::reply(const IncomingPtr& incoming, const Refusal& refusal, const HttpResponse& response)
{
    if (std::exchange(incoming->answered, true)) {
        return;
    }
    m_pending.erase(incoming);
    RequestRecord record { incoming->route.name, incoming->workspace, incoming->rank, refusal, response.status,
        m_dependencies.timers.now() - incoming->started };
    auto event = refusal.reason == Reason::None ? Event::RequestDone : Event::RequestRefused;
    PW_EVENT(m_dependencies.log, event, { "request", incoming->ask.requestId }, { "route", record.route }, { "workspace", record.workspace },
        { "status", record.status }, { "configuration", m_dependencies.fleet.version() }, { "reason", reasonInfo(refusal.reason).name }, { "verdict", verdictName(refusal.verdict) },
        { "micros", std::chrono::duration_cast<std::chrono::microseconds>(record.latency).count() });
    incoming->exchange->reply(response);
    m_finished.emit(record);
}

} // namespace pw
