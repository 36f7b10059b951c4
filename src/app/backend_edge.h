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

/// Where the backend server beside this daemon talks to it: announces itself, leaves, and makes nested calls with the
/// context token of the request it works on.
class BackendEdge final : public Edge {
public:
    explicit BackendEdge(const InterfaceParts& parts);

    bool init(std::string& reason) override;

private:
    /// A nested call under way.
    struct Nested {
        std::shared_ptr<HttpExchange> exchange;
        std::string token;
        std::string service;
        bool idempotent = true;
        std::uint64_t job = 0;
    };
    using NestedPtr = std::shared_ptr<Nested>;

    void onRequest(const std::shared_ptr<HttpExchange>& exchange);
    void announce(HttpExchange& exchange);
    void leave(HttpExchange& exchange);
    void nested(const std::shared_ptr<HttpExchange>& exchange);
    DispatchRequest requestFor(const HttpRequest& request, const Route& route, const NestedGrant& grant);
    void start(const NestedPtr& nested, DispatchRequest request);
    void answered(const NestedPtr& nested, const Answer& answer);
    void cancel(const NestedPtr& nested);
    void orphaned(const std::string& token);
    void forget(const NestedPtr& nested);

    Timers& m_timers;
    EventLog& m_log;
    FleetView& m_fleet;
    ServerRole& m_server;
    Dispatcher& m_dispatcher;
    const std::string& m_address;
    RouteTable m_routes;
    ServiceSplit m_split;
    std::unordered_multimap<std::string, NestedPtr> m_nested; ///< By context token.
    HttpServer m_http;
};

} // namespace pw
