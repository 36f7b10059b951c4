#include "app/backend_edge.h"

#include "app/http_answer.h"
#include "app/http_query.h"
#include "app/request_call.h"
#include "config.h"
#include "core/header_rules.h"

#include <algorithm>
#include <limits>
#include <memory>
#include <vector>

namespace pw {
namespace {

    constexpr std::string_view announcePath = "/v1/announce";
    constexpr std::string_view leavePath = "/v1/leave";

    /// \returns zero when the value is missing, no number or too large: the announcement is refused then.
    std::uint32_t countOf(const HttpQuery& query, const char* name)
    {
        auto value = query.number(name).value_or(0);
        return value > std::numeric_limits<std::uint32_t>::max() ? 0 : static_cast<std::uint32_t>(value);
    }

} // namespace

BackendEdge::BackendEdge(const InterfaceParts& parts)
    : m_timers(parts.timers)
    , m_log(parts.log)
    , m_fleet(parts.fleet)
    , m_server(*parts.server)
    , m_dispatcher(*parts.dispatcher)
    , m_address(parts.settings.backendSideAddress)
    , m_routes(parts.fleet.deployment().routes)
    , m_http(parts.loop, parts.timers, [this](const std::shared_ptr<HttpExchange>& exchange) { onRequest(exchange); })
{
    m_fleet.onChanged([this] {
        m_routes = RouteTable(m_fleet.deployment().routes);
        m_split.configure(m_fleet.deployment().routes);
    });
    m_server.contextClosed().connect([this](const std::string& token) { orphaned(token); });
}

bool BackendEdge::init(std::string& reason)
{
    return m_http.init(m_address, reason);
}

void BackendEdge::onRequest(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto& request = exchange->request();
    if (request.method == "POST" && pathOf(request.target) == announcePath) {
        announce(*exchange);
    } else if (request.method == "POST" && pathOf(request.target) == leavePath) {
        leave(*exchange);
    } else {
        nested(exchange);
    }
}

void BackendEdge::announce(HttpExchange& exchange)
{
    HttpQuery query(exchange.request().target);
    Announcement announcement;
    announcement.service = query.text("service");
    announcement.address = query.text("address");
    announcement.slots = countOf(query, "slots");
    announcement.connections = countOf(query, "connections");
    std::string reason;
    if (m_server.announce(announcement, reason)) {
        exchange.reply({ 204, {}, {} });
    } else {
        exchange.reply({ 400, {}, reason + "\n" });
    }
}

void BackendEdge::leave(HttpExchange& exchange)
{
    m_server.serverLeaves();
    exchange.reply({ 204, {}, {} });
}

void BackendEdge::nested(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto& request = exchange->request();
    auto refuse = [&](const Refusal& refusal) {
        PW_EVENT(m_log, Event::RequestRefused, { "nested", true }, { "reason", reasonInfo(refusal.reason).name });
        exchange->reply(refusalToHttp(refusal));
    };
    auto token = singleHeader(request.headers, header::context);
    if (!token) {
        refuse({ Verdict::NotRun, Reason::BadToken, {} });
        return;
    }
    const auto* route = m_routes.match(singleHeader(request.headers, "Host").value_or(""), request.method, request.target);
    if (!route) {
        refuse({ Verdict::NotRun, Reason::NoRoute, {} });
        return;
    }
    auto begun = m_server.contexts().beginNested(*token, m_timers.now());
    if (!begun.grant) {
        refuse(begun.refusal);
        return;
    }
    m_server.noteNestedCall(route->name);
    auto job = requestFor(request, *route, *begun.grant);
    auto state = std::make_shared<Nested>(Nested { exchange, std::string(*token), job.call.service, route->idempotent, 0 });
    start(state, std::move(job));
}

DispatchRequest BackendEdge::requestFor(const HttpRequest& request, const Route& route, const NestedGrant& grant)
{
    DispatchRequest job;
    job.deadline = std::min<TimePoint>(grant.deadline, m_timers.now() + route.deadline);
    job.attempts = grant.attempts;
    job.maxServers = route.maxServers;
    job.call = callFor(request, route, m_split.next(route), forwardedHeaders(request.headers, header::ownPrefix));
    job.call.callerService = m_server.entry().service;
    job.call.workspace = grant.workspace;
    job.call.rank = grant.rank;
    job.call.nested = true;
    job.call.depth = grant.depth;
    return job;
}

void BackendEdge::start(const NestedPtr& nested, DispatchRequest request)
{
    m_nested.emplace(nested->token, nested);
    auto answeredAtOnce = std::make_shared<bool>(false);
    auto job = m_dispatcher.start(std::move(request), [this, nested, answeredAtOnce](const Answer& answer) {
        *answeredAtOnce = true;
        answered(nested, answer);
    });
    if (*answeredAtOnce) {
        return;
    }
    nested->job = job;
    nested->exchange->onGone([this, weak = std::weak_ptr(nested)] {
        if (auto it = weak.lock()) {
            cancel(it);
        }
    });
}

void BackendEdge::answered(const NestedPtr& nested, const Answer& answer)
{
    forget(nested);
    m_server.contexts().endNested(nested->token, answer.attemptsUnused, nested->service, &answer, m_timers.now());
    nested->exchange->reply(toHttp(answer));
}

void BackendEdge::cancel(const NestedPtr& nested)
{
    if (!nested->idempotent) {
        return; // It may run already; let it end in good order.
    }
    forget(nested);
    m_dispatcher.cancel(nested->job);
    m_server.contexts().endNested(nested->token, 0, nested->service, nullptr, m_timers.now());
    nested->exchange->reply(refusalToHttp({ Verdict::MayHaveRun, Reason::Cancelled, {} }));
}

void BackendEdge::orphaned(const std::string& token)
{
    auto [first, last] = m_nested.equal_range(token);
    std::vector<NestedPtr> orphans;
    std::transform(first, last, std::back_inserter(orphans), [](const auto& it) { return it.second; });
    std::ranges::for_each(orphans, [this](const NestedPtr& it) { cancel(it); });
}

void BackendEdge::forget(const NestedPtr& nested)
{
    auto [first, last] = m_nested.equal_range(nested->token);
    auto it = std::find_if(first, last, [&](const auto& entry) { return entry.second == nested; });
    if (it != last) {
        m_nested.erase(it);
    }
}

} // namespace pw
