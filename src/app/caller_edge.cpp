#include "app/caller_edge.h"

#include "adapters/crypto.h"
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

    constexpr Refusal callerLeft { Verdict::NotRun, Reason::Cancelled, {} };

    /// Indexed by ClaimOutcome; the two that do not refuse are not used.
    constexpr std::array<Refusal, static_cast<std::size_t>(ClaimOutcome::Count)> claimRefusals { {
        {},
        { Verdict::MayHaveRun, Reason::DuplicateRunning, config::duplicateRetryAfter },
        {},
        { Verdict::MayHaveRun, Reason::DuplicateUnknown, {} },
        { Verdict::NotRun, Reason::ClaimUnavailable, config::claimRetryAfter },
    } };

} // namespace

CallerEdge::CallerEdge(const Parts& parts)
    : m_parts(parts)
    , m_http(
          m_parts.loop, m_parts.timers, [this](std::shared_ptr<HttpExchange> exchange) { onRequest(std::move(exchange)); },
          [&protocol = m_parts.protocol](int status, std::string_view what) { return protocol.fault(status, what); })
{
    configure();
    m_parts.fleet.onChanged([this] { configure(); });
}

void CallerEdge::configure()
{
    const auto& deployment = m_parts.fleet.deployment();
    m_routes = RouteTable(deployment.routes);
    m_split.configure(deployment.routes);
    m_gate.configure(deployment);
    m_priorities.clear();
    std::ranges::transform(deployment.workspaces, std::inserter(m_priorities, m_priorities.end()),
        [](const Workspace& it) { return std::pair(it.name, it.priority); });
    const auto& limits = deployment.limits;
    m_http.setLimits({ { limits.headerBytes, std::min(limits.bodyBytes, config::maxBodyBytes) }, limits.headerTimeout, limits.idleTimeout,
        m_parts.maxConnections });
}

bool CallerEdge::init(const std::string& address, std::string& reason)
{
    return m_http.init(address, reason);
}

void CallerEdge::onRequest(std::shared_ptr<HttpExchange> exchange)
{
    auto incoming = std::make_shared<Incoming>();
    incoming->exchange = std::move(exchange);
    incoming->started = m_parts.timers.now();
    using Check = std::optional<Refusal> (CallerEdge::*)(Incoming&);
    constexpr std::array<Check, 3> checks { &CallerEdge::readAsk, &CallerEdge::findRoute, &CallerEdge::checkKey };
    for (auto check : checks) {
        if (auto refusal = (this->*check)(*incoming)) {
            refuse(incoming, *refusal);
            return;
        }
    }
    if (auto refusal = weigh(*incoming)) {
        refuse(incoming, *refusal);
        return;
    }
    incoming->exchange->onGone([this, weak = std::weak_ptr(incoming)] {
        if (auto it = weak.lock()) {
            callerGone(it);
        }
    });
    takeToken(incoming);
}

std::optional<Refusal> CallerEdge::readAsk(Incoming& incoming)
{
    if (auto refusal = m_parts.protocol.read(incoming.exchange->request(), incoming.ask)) {
        return refusal;
    }
    incoming.deadline = incoming.started + std::min(incoming.ask.patience.value_or(config::maxDeadline), config::maxDeadline);
    return std::nullopt;
}

std::optional<Refusal> CallerEdge::findRoute(Incoming& incoming)
{
    if (m_parts.fleet.version() == 0) {
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

std::optional<Refusal> CallerEdge::checkKey(Incoming& incoming)
{
    if (incoming.route.open) {
        incoming.rank = incoming.ask.nested ? Rank {} : rankOf(incoming.route, 0);
        return std::nullopt;
    }
    if (!m_parts.fleet.keysValid(m_parts.timers.now())) {
        return Refusal { Verdict::NotRun, Reason::KeysNotValid, config::noServerRetryAfter };
    }
    const auto& key = incoming.ask.key;
    auto workspace = key ? m_parts.fleet.workspaceOfKey(crypto::digest(*key)) : std::nullopt;
    if (!workspace) {
        return Refusal { Verdict::NotRun, Reason::UnknownKey, {} };
    }
    incoming.workspace = *workspace;
    incoming.rank = rankOf(incoming.route, m_priorities[*workspace]);
    return std::nullopt;
}

/// Holds back a root that would cost more at the services below than it is worth.
std::optional<Refusal> CallerEdge::weigh(const Incoming& incoming)
{
    if (incoming.ask.nested && incoming.route.open) {
        if (m_parts.server) {
            m_parts.server->noteNestedCall(incoming.route.name);
        }
        return std::nullopt;
    }
    const auto demands = m_parts.board.of(incoming.route.name, m_parts.timers.now());
    if (m_gate.lets(incoming.route.name, incoming.workspace, incoming.rank, demands, m_parts.timers.now())) {
        return std::nullopt;
    }
    return Refusal { Verdict::NotRun, Reason::DownstreamOverloaded, config::gateRetryAfter };
}

void CallerEdge::takeToken(const IncomingPtr& incoming)
{
    if (incoming->workspace.empty()) {
        dispatch(incoming);
        return;
    }
    m_parts.rates.take(incoming->workspace, incoming->deadline, [this, incoming](const std::optional<Refusal>& refusal) {
        if (refusal || incoming->gone) {
            refuse(incoming, refusal.value_or(callerLeft));
        } else {
            claim(incoming);
        }
    });
}

void CallerEdge::claim(const IncomingPtr& incoming)
{
    if (incoming->route.idempotent || !incoming->ask.claimsId) {
        dispatch(incoming);
        return;
    }
    m_parts.claims.claim(incoming->workspace, incoming->ask.requestId, incoming->deadline,
        [this, incoming](ClaimOutcome outcome, const std::optional<KeptAnswer>& kept) { claimed(incoming, outcome, kept); });
}

void CallerEdge::claimed(const IncomingPtr& incoming, ClaimOutcome outcome, const std::optional<KeptAnswer>& kept)
{
    if (outcome == ClaimOutcome::Granted) {
        incoming->claimed = true;
        if (incoming->gone) {
            refuse(incoming, callerLeft);
        } else {
            dispatch(incoming);
        }
        return;
    }
    if (outcome == ClaimOutcome::Answered && kept) {
        reply(incoming, kept->refusal, keptToHttp(*kept));
        return;
    }
    refuse(incoming, claimRefusals.at(static_cast<std::size_t>(outcome)));
}

void CallerEdge::dispatch(const IncomingPtr& incoming)
{
    const auto& request = incoming->exchange->request();
    const auto& route = incoming->route;
    DispatchRequest job;
    job.deadline = incoming->deadline;
    job.attempts = route.attempts;
    job.maxServers = route.maxServers;
    job.call = callFor(request, route, m_split.next(route), m_parts.protocol.forwarded(request));
    job.call.callerService = m_parts.settings.localService;
    job.call.nested = incoming->ask.nested && route.open;
    job.call.rank = incoming->rank;
    job.call.workspace = incoming->workspace;
    job.call.requestId = incoming->ask.requestId;
    auto answeredAtOnce = std::make_shared<bool>(false);
    auto id = m_parts.dispatcher.start(std::move(job), [this, incoming, answeredAtOnce](const Answer& answer) {
        *answeredAtOnce = true;
        answered(incoming, answer);
    });
    incoming->job = *answeredAtOnce ? 0 : id;
}

void CallerEdge::answered(const IncomingPtr& incoming, const Answer& answer)
{
    incoming->job = 0;
    const auto& route = incoming->route;
    m_parts.board.learn(route.name, answer.demands, m_parts.timers.now());
    auto response = m_parts.protocol.answer(answer);
    if (incoming->claimed) {
        m_parts.claims.finish(incoming->workspace, incoming->ask.requestId, toKept(answer, response));
        incoming->claimed = false;
    }
    reply(incoming, answer.refusal, response);
}

void CallerEdge::callerGone(const IncomingPtr& incoming)
{
    incoming->gone = true;
    // A non-idempotent request may run already; its answer is kept for a re-send instead.
    if (incoming->job && incoming->route.idempotent) {
        m_parts.dispatcher.cancel(std::exchange(incoming->job, 0));
        refuse(incoming, { Verdict::MayHaveRun, Reason::Cancelled, {} });
    }
}

void CallerEdge::refuse(const IncomingPtr& incoming, const Refusal& refusal)
{
    if (incoming->claimed) {
        incoming->claimed = false;
        m_parts.claims.finish(incoming->workspace, incoming->ask.requestId, { 0, {}, {}, refusal });
    }
    reply(incoming, refusal, m_parts.protocol.refusal(refusal));
}

void CallerEdge::reply(const IncomingPtr& incoming, const Refusal& refusal, const HttpResponse& response)
{
    RequestRecord record { incoming->route.name, incoming->workspace, incoming->rank, refusal, response.status,
        m_parts.timers.now() - incoming->started };
    auto event = refusal.reason == Reason::None ? Event::RequestDone : Event::RequestRefused;
    PW_EVENT(m_parts.log, event, { "request", incoming->ask.requestId }, { "route", record.route }, { "workspace", record.workspace },
        { "status", record.status }, { "configuration", m_parts.fleet.version() }, { "reason", reasonInfo(refusal.reason).name }, { "verdict", verdictName(refusal.verdict) },
        { "micros", std::chrono::duration_cast<std::chrono::microseconds>(record.latency).count() });
    incoming->exchange->reply(response);
    m_finished.emit(record);
}

} // namespace pw
