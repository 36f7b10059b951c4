#pragma once

#include "adapters/http_server.h"
#include "app/dispatcher.h"
#include "app/interface.h"
#include "app/server_role.h"
#include "core/route_table.h"
#include "core/service_split.h"
#include "ports/events.h"
#include "ports/fleet.h"

#include <map>
#include <memory>
#include <unordered_map>

namespace pw {

/// HTTP endpoint for the backend server beside this daemon: announcements, leaving, and nested calls with the context
/// token of the request being processed.
class BackendEndpoint final : public DaemonEndpoint {
public:
    explicit BackendEndpoint(const EndpointDependencies& parts);

    bool init(std::string& reason) override;

private:
    /// A nested call in flight.
    struct NestedCall {
        std::shared_ptr<HttpExchange> exchange;
        std::string token;
        std::string service;
        bool idempotent = true;
        std::uint64_t dispatchId = 0; ///< Handle in the dispatcher.
    };
    using NestedCallPtr = std::shared_ptr<NestedCall>;

    void onRequest(const std::shared_ptr<HttpExchange>& exchange);
    void announce(HttpExchange& exchange);
    void leave(const std::shared_ptr<HttpExchange>& exchange);
    void onNestedCall(const std::shared_ptr<HttpExchange>& exchange);
    DispatchRequest requestFor(const HttpRequest& request, const Route& route, const NestedGrant& grant);
    void dispatch(const NestedCallPtr& nested, DispatchRequest request);
    void onAnswer(const NestedCallPtr& nested, const Answer& answer);
    void cancel(const NestedCallPtr& nested);
    void onContextClosed(const std::string& token);
    void remove(const NestedCallPtr& nested);

    Timers& m_timers;
    EventLog& m_log;
    FleetView& m_fleet;
    ServerRole& m_server;
    Dispatcher& m_dispatcher;
    const std::string& m_address;
    RouteTable m_routes;
    ServiceSplit m_split;
    std::unordered_multimap<std::string, NestedCallPtr> m_nestedCalls; ///< By context token.
    HttpServer m_http;
};

} // namespace pw
