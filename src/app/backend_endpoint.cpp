#include "app/backend_endpoint.h"

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

    /// \returns zero when the value is missing, not a number or too large, so that the announcement is refused.
    std::uint32_t countOf(const HttpQuery& query, const char* name)
    {
        auto value = query.number(name).value_or(0);
        return value > std::numeric_limits<std::uint32_t>::max() ? 0 : static_cast<std::uint32_t>(value);
    }

} // namespace

BackendEndpoint::BackendEndpoint(const EndpointDependencies& parts)
    : m_timers(parts.timers)
    , m_log(parts.log)
    , m_fleet(parts.fleet)
    , m_server(*parts.server)
    , m_dispatcher(*parts.dispatcher)
    , m_address(parts.settings.backendListenAddress)
    , m_routes(parts.fleet.deployment().routes)
    , m_http(parts.loop, parts.timers, [this](const std::shared_ptr<HttpExchange>& exchange) { onRequest(exchange); })
{
    m_fleet.onChanged([this] {
        m_routes = RouteTable(m_fleet.deployment().routes);
        m_split.configure(m_fleet.deployment().routes);
    });
    m_server.contextClosed().connect([this](const std::string& token) { onContextClosed(token); });
}

bool BackendEndpoint::init(std::string& reason)
{
    return m_http.init(m_address, reason);
}

void BackendEndpoint::onRequest(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto& request = exchange->request();
    if (request.method == "POST" && pathOf(request.target) == announcePath) {
        announce(*exchange);
    } else if (request.method == "POST" && pathOf(request.target) == leavePath) {
        leave(exchange);
    } else {
        onNestedCall(exchange);
    }
}

void BackendEndpoint::announce(HttpExchange& exchange)
{
    HttpQuery query(exchange.request().target);
    Announcement announcement;
    announcement.service = query.text("service");
    announcement.address = query.text("address");
    announcement.slots = countOf(query, "slots");
    announcement.connections = countOf(query, "connections");
    announcement.instance = query.text("instance");
    announcement.started = query.number("started").value_or(0);
    std::string reason;
    if (m_server.announce(announcement, reason)) {
        exchange.reply({ 204, {}, {} });
    } else {
        exchange.reply({ 400, {}, reason + "\n" });
    }
}

void BackendEndpoint::leave(const std::shared_ptr<HttpExchange>& exchange)
{
    HttpQuery query(exchange->request().target);
    const auto instance = query.text("instance");
    const auto started = query.number("started").value_or(0);
    if (instance.empty() && started == 0) {
        m_server.onServerLeaving();
    } else {
        m_server.onServerLeaving(instance, started);
    }
    m_server.confirmLeave(instance, started, [exchange](bool recorded) {
        exchange->reply(recorded ? HttpResponse { 204, {}, {} } : HttpResponse { 503, {}, "the leave could not be recorded yet\n" });
    });
}

void BackendEndpoint::onNestedCall(const std::shared_ptr<HttpExchange>& exchange)
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
    m_server.recordNestedCall(route->name);
    auto dispatchRequest = requestFor(request, *route, *begun.grant);
    const auto deadline = m_server.admitNested(dispatchRequest.deadline);
    if (!deadline) {
        m_server.contexts().endNested(*token, begun.grant->attempts, dispatchRequest.call.service, nullptr, m_timers.now());
        refuse({ Verdict::NotRun, Reason::Leaving, {} });
        return;
    }
    dispatchRequest.deadline = *deadline;
    auto state = std::make_shared<NestedCall>(NestedCall { exchange, std::string(*token), dispatchRequest.call.service, route->idempotent, 0 });
    dispatch(state, std::move(dispatchRequest));
}

DispatchRequest BackendEndpoint::requestFor(const HttpRequest& request, const Route& route, const NestedGrant& grant)
{
    DispatchRequest dispatchRequest;
    dispatchRequest.deadline = std::min<TimePoint>(grant.deadline, m_timers.now() + route.deadline);
    dispatchRequest.attempts = grant.attempts;
    dispatchRequest.maxServers = route.maxServers;
    dispatchRequest.call = makeCall(request, route, m_split.next(route), forwardedHeaders(request.headers, header::ownPrefix));
    dispatchRequest.call.callerService = m_server.entry().service;
    dispatchRequest.call.workspace = grant.workspace;
    dispatchRequest.call.rank = grant.rank;
    dispatchRequest.call.nested = true;
    dispatchRequest.call.depth = grant.depth;
    return dispatchRequest;
}

void BackendEndpoint::dispatch(const NestedCallPtr& nested, DispatchRequest request)
{
    m_nestedCalls.emplace(nested->token, nested);
    nested->dispatchId = m_dispatcher.start(std::move(request), [this, nested](const Answer& answer) { onAnswer(nested, answer); });
    nested->exchange->onDisconnected([this, weak = std::weak_ptr(nested)] {
        if (auto it = weak.lock()) {
            cancel(it);
        }
    });
}

void BackendEndpoint::onAnswer(const NestedCallPtr& nested, const Answer& answer)
{
    remove(nested);
    m_server.contexts().endNested(nested->token, answer.attemptsUnused, nested->service, &answer, m_timers.now());
    nested->exchange->reply(answerToHttp(answer));
}

void BackendEndpoint::cancel(const NestedCallPtr& nested)
{
    if (!nested->idempotent) {
        return; // It may already be running; let it finish.
    }
    remove(nested);
    m_dispatcher.cancel(nested->dispatchId);
    m_server.contexts().endNested(nested->token, 0, nested->service, nullptr, m_timers.now());
    nested->exchange->reply(refusalToHttp({ Verdict::MayHaveRun, Reason::Cancelled, {} }));
}

void BackendEndpoint::onContextClosed(const std::string& token)
{
    auto [first, last] = m_nestedCalls.equal_range(token);
    std::vector<NestedCallPtr> orphans;
    std::transform(first, last, std::back_inserter(orphans), [](const auto& it) { return it.second; });
    std::ranges::for_each(orphans, [this](const NestedCallPtr& it) { cancel(it); });
}

void BackendEndpoint::remove(const NestedCallPtr& nested)
{
    auto [first, last] = m_nestedCalls.equal_range(nested->token);
    auto it = std::find_if(first, last, [&](const auto& entry) { return entry.second == nested; });
    if (it != last) {
        m_nestedCalls.erase(it);
    }
}

} // namespace pw
