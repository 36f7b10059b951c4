#include "app/caller_edge.h"

#include "adapters/crypto.h"
#include "app/http_answer.h"
#include "app/request_call.h"
#include "config.h"
#include "core/header_rules.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace pw {
namespace {

    constexpr Refusal malformed { Verdict::NotRun, Reason::Malformed, {} };
    constexpr Refusal callerLeft { Verdict::NotRun, Reason::Cancelled, {} };

    /// Indexed by ClaimOutcome; the two that do not refuse are not used.
    constexpr std::array<Refusal, static_cast<std::size_t>(ClaimOutcome::Count)> claimRefusals { {
        {},
        { Verdict::MayHaveRun, Reason::DuplicateRunning, config::duplicateRetryAfter },
        {},
        { Verdict::MayHaveRun, Reason::DuplicateUnknown, {} },
        { Verdict::NotRun, Reason::ClaimUnavailable, config::claimRetryAfter },
    } };

    bool isRequestId(std::string_view text)
    {
        auto printable = [](char c) { return c > ' ' && c < 0x7f; };
        return !text.empty() && text.size() <= config::maxRequestIdBytes && std::ranges::all_of(text, printable);
    }

    std::optional<std::chrono::milliseconds> parseDeadline(std::string_view text)
    {
        std::int64_t value = 0;
        auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (ec != std::errc() || end != text.data() + text.size() || value <= 0) {
            return std::nullopt;
        }
        return std::min(std::chrono::milliseconds(value), config::maxDeadline);
    }

} // namespace

CallerEdge::CallerEdge(event_base* base, Timers& timers, EventLog& log, FleetView& fleet, RateGate& rates, ClaimGate& claims,
    Dispatcher& dispatcher)
    : m_timers(timers)
    , m_log(log)
    , m_fleet(fleet)
    , m_rates(rates)
    , m_claims(claims)
    , m_dispatcher(dispatcher)
    , m_routes(fleet.deployment().routes)
    , m_http(base, [this](std::shared_ptr<HttpExchange> exchange) { onRequest(std::move(exchange)); })
{
    fleet.onChanged([this] { m_routes = RouteTable(m_fleet.deployment().routes); });
}

bool CallerEdge::init(const std::string& address, std::string& reason)
{
    return m_http.init(address, reason);
}

void CallerEdge::onRequest(std::shared_ptr<HttpExchange> exchange)
{
    auto incoming = std::make_shared<Incoming>();
    incoming->exchange = std::move(exchange);
    incoming->started = m_timers.now();
    using Check = std::optional<Refusal> (CallerEdge::*)(Incoming&) const;
    constexpr std::array<Check, 3> checks { &CallerEdge::readHeaders, &CallerEdge::findRoute, &CallerEdge::checkKey };
    for (auto check : checks) {
        if (auto refusal = (this->*check)(*incoming)) {
            refuse(incoming, *refusal);
            return;
        }
    }
    const auto& route = incoming->route;
    if (auto refusal = m_gate.check(route.name, route.importance, incoming->workspace, m_timers.now())) {
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

std::optional<Refusal> CallerEdge::readHeaders(Incoming& incoming) const
{
    const auto& request = incoming.exchange->request();
    if (hasMisplacedKey(request.target, request.headers, request.body) || countHeader(request.headers, header::key) > 1
        || countHeader(request.headers, header::context) > 0) {
        return malformed;
    }
    if (countHeader(request.headers, header::requestId) > 0) {
        auto id = singleHeader(request.headers, header::requestId);
        if (!id || !isRequestId(*id)) {
            return malformed;
        }
        incoming.requestId = *id;
    }
    incoming.deadline = incoming.started + config::maxDeadline;
    if (countHeader(request.headers, header::deadline) > 0) {
        auto text = singleHeader(request.headers, header::deadline);
        auto deadline = text ? parseDeadline(*text) : std::nullopt;
        if (!deadline) {
            return malformed;
        }
        incoming.deadline = incoming.started + *deadline;
    }
    return std::nullopt;
}

std::optional<Refusal> CallerEdge::findRoute(Incoming& incoming) const
{
    const auto& request = incoming.exchange->request();
    const auto* route = m_routes.match(request.method, request.target);
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

std::optional<Refusal> CallerEdge::checkKey(Incoming& incoming) const
{
    if (incoming.route.open) {
        return std::nullopt;
    }
    if (!m_fleet.keysValid(m_timers.now())) {
        return Refusal { Verdict::NotRun, Reason::KeysNotValid, config::noServerRetryAfter };
    }
    auto key = singleHeader(incoming.exchange->request().headers, header::key);
    auto workspace = key ? m_fleet.workspaceOfKey(crypto::digest(*key)) : std::nullopt;
    if (!workspace) {
        return Refusal { Verdict::NotRun, Reason::UnknownKey, {} };
    }
    incoming.workspace = *workspace;
    return std::nullopt;
}

void CallerEdge::takeToken(const IncomingPtr& incoming)
{
    if (incoming->route.open) {
        dispatch(incoming);
        return;
    }
    m_rates.take(incoming->workspace, incoming->deadline, [this, incoming](const std::optional<Refusal>& refusal) {
        if (refusal || incoming->gone) {
            refuse(incoming, refusal.value_or(callerLeft));
        } else {
            claim(incoming);
        }
    });
}

void CallerEdge::claim(const IncomingPtr& incoming)
{
    if (incoming->route.idempotent || incoming->requestId.empty()) {
        dispatch(incoming);
        return;
    }
    m_claims.claim(incoming->workspace, incoming->requestId, incoming->deadline,
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
    job.call = callFor(request, route);
    job.call.workspace = incoming->workspace;
    job.call.requestId = incoming->requestId;
    auto answeredAtOnce = std::make_shared<bool>(false);
    auto id = m_dispatcher.start(std::move(job), [this, incoming, answeredAtOnce](const Answer& answer) {
        *answeredAtOnce = true;
        answered(incoming, answer);
    });
    incoming->job = *answeredAtOnce ? 0 : id;
}

void CallerEdge::answered(const IncomingPtr& incoming, const Answer& answer)
{
    incoming->job = 0;
    const auto& route = incoming->route;
    m_gate.onAnswer(route.name, route.importance, incoming->workspace, answer, m_timers.now());
    auto response = toHttp(answer);
    if (incoming->claimed) {
        m_claims.finish(incoming->workspace, incoming->requestId, toKept(answer, response));
        incoming->claimed = false;
    }
    reply(incoming, answer.refusal, response);
}

void CallerEdge::callerGone(const IncomingPtr& incoming)
{
    incoming->gone = true;
    // A non-idempotent request may run already; its answer is kept for a re-send instead.
    if (incoming->job && incoming->route.idempotent) {
        m_dispatcher.cancel(std::exchange(incoming->job, 0));
        refuse(incoming, { Verdict::MayHaveRun, Reason::Cancelled, {} });
    }
}

void CallerEdge::refuse(const IncomingPtr& incoming, const Refusal& refusal)
{
    if (incoming->claimed) {
        incoming->claimed = false;
        m_claims.finish(incoming->workspace, incoming->requestId, { 0, {}, {}, refusal });
    }
    reply(incoming, refusal, refusalToHttp(refusal));
}

void CallerEdge::reply(const IncomingPtr& incoming, const Refusal& refusal, const HttpResponse& response)
{
    RequestRecord record { incoming->route.name, incoming->workspace, incoming->route.importance, refusal, response.status,
        m_timers.now() - incoming->started };
    auto event = refusal.reason == Reason::None ? Event::RequestDone : Event::RequestRefused;
    PW_EVENT(m_log, event, { "route", record.route }, { "workspace", record.workspace }, { "status", record.status },
        { "reason", reasonInfo(refusal.reason).name }, { "verdict", verdictName(refusal.verdict) },
        { "micros", std::chrono::duration_cast<std::chrono::microseconds>(record.latency).count() });
    incoming->exchange->reply(response);
    m_finished.emit(record);
}

} // namespace pw
