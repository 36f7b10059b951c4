#pragma once

#include "adapters/http_server.h"
#include "app/dispatcher.h"
#include "app/request_record.h"
#include "core/downstream_gate.h"
#include "core/route_table.h"
#include "ports/events.h"
#include "ports/fleet.h"

#include <sigc++/sigc++.h>

#include <memory>

namespace pw {

/// Where callers' requests come in: checks the key, the downstream services, the workspace's rate and the request id,
/// in that order, then hands the request to the dispatcher.
class CallerEdge {
public:
    CallerEdge(event_base* base, Timers& timers, EventLog& log, FleetView& fleet, RateGate& rates, ClaimGate& claims, Dispatcher& dispatcher);

    /// \param reason receives what went wrong when false is returned.
    bool init(const std::string& address, std::string& reason);
    /// Asks callers to go elsewhere with every answer.
    void leave() { m_http.leave(); }
    /// Takes no new connections.
    void stopListening() { m_http.stopListening(); }
    void shutdown() { m_http.shutdown(); }

    /// \returns requests that are not answered yet.
    std::size_t pending() const { return m_http.pending(); }

    /// Emitted for each request that was answered.
    sigc::signal<void(const RequestRecord&)>& finished() { return m_finished; }

private:
    /// A request on its way through the checks.
    struct Incoming {
        std::shared_ptr<HttpExchange> exchange;
        Route route;
        std::string workspace;
        std::string requestId;
        TimePoint started {};
        TimePoint deadline {};
        bool claimed = false;
        bool gone = false; ///< The caller closed its connection.
        std::uint64_t job = 0; ///< The dispatcher's, zero before it and after it.
    };
    using IncomingPtr = std::shared_ptr<Incoming>;

    void onRequest(std::shared_ptr<HttpExchange> exchange);
    std::optional<Refusal> findRoute(Incoming& incoming) const;
    std::optional<Refusal> readHeaders(Incoming& incoming) const;
    std::optional<Refusal> checkKey(Incoming& incoming) const;
    void takeToken(const IncomingPtr& incoming);
    void claim(const IncomingPtr& incoming);
    void claimed(const IncomingPtr& incoming, ClaimOutcome outcome, const std::optional<KeptAnswer>& kept);
    void dispatch(const IncomingPtr& incoming);
    void answered(const IncomingPtr& incoming, const Answer& answer);
    void callerGone(const IncomingPtr& incoming);
    void refuse(const IncomingPtr& incoming, const Refusal& refusal);
    void reply(const IncomingPtr& incoming, const Refusal& refusal, const HttpResponse& response);

    Timers& m_timers;
    EventLog& m_log;
    FleetView& m_fleet;
    RateGate& m_rates;
    ClaimGate& m_claims;
    Dispatcher& m_dispatcher;
    DownstreamGate m_gate;
    RouteTable m_routes;
    HttpServer m_http;
    sigc::signal<void(const RequestRecord&)> m_finished;
};

} // namespace pw
