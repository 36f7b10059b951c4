#pragma once

#include "adapters/http_server.h"
#include "app/dispatcher.h"
#include "app/request_record.h"
#include "core/demand_board.h"
#include "core/root_gate.h"
#include "core/route_table.h"
#include "core/service_split.h"
#include "ports/caller_protocol.h"
#include "ports/events.h"
#include "ports/fleet.h"

#include <sigc++/sigc++.h>

#include <memory>
#include <unordered_map>

namespace pw {

/// Where callers' requests come in: checks the key, the downstream services, the workspace's rate and the request id,
/// in that order, then hands the request to the dispatcher.
class CallerEdge {
public:
    /// What the edge works with; all must outlive it.
    struct Parts {
        StreamLoop& loop;
        Timers& timers;
        EventLog& log;
        FleetView& fleet;
        RateGate& rates;
        ClaimGate& claims;
        Dispatcher& dispatcher;
        const CallerProtocol& protocol;
        const Settings& settings;
        DemandBoard& board;
        ServerRole* server; ///< Null without the server role.
        std::size_t maxConnections; ///< Of callers, above which idle ones are closed.
    };

    explicit CallerEdge(const Parts& parts);

    /// \param reason receives what went wrong when false is returned.
    bool init(const std::string& address, std::string& reason);
    /// Asks callers to go elsewhere with every answer.
    void leave() { m_http.leave(); }
    /// Leaves new connections waiting while the daemon has too many open.
    void pauseListening(bool pause) { m_http.pauseListening(pause); }
    /// Takes no new connections.
    void stopListening() { m_http.stopListening(); }
    /// \returns the connections with a request or an answer under way on the wire.
    std::size_t unfinished() const { return m_http.unfinished(); }
    void shutdown() { m_http.shutdown(); }

    /// \returns requests that are not answered yet.
    std::size_t pending() const { return m_http.pending(); }

    /// Emitted for each request that was answered.
    sigc::signal<void(const RequestRecord&)>& finished() { return m_finished; }

private:
    /// A request on its way through the checks.
    struct Incoming {
        std::shared_ptr<HttpExchange> exchange;
        CallerAsk ask;
        Route route;
        std::string workspace;
        Rank rank;
        TimePoint started {};
        TimePoint deadline {};
        bool claimed = false;
        bool gone = false; ///< The caller closed its connection.
        std::uint64_t job = 0; ///< The dispatcher's, zero before it and after it.
    };
    using IncomingPtr = std::shared_ptr<Incoming>;

    void onRequest(std::shared_ptr<HttpExchange> exchange);
    std::optional<Refusal> readAsk(Incoming& incoming);
    std::optional<Refusal> findRoute(Incoming& incoming);
    std::optional<Refusal> checkKey(Incoming& incoming);
    std::optional<Refusal> weigh(const Incoming& incoming);
    void takeToken(const IncomingPtr& incoming);
    void claim(const IncomingPtr& incoming);
    void claimed(const IncomingPtr& incoming, ClaimOutcome outcome, const std::optional<KeptAnswer>& kept);
    void dispatch(const IncomingPtr& incoming);
    void answered(const IncomingPtr& incoming, const Answer& answer);
    void configure();
    void callerGone(const IncomingPtr& incoming);
    void refuse(const IncomingPtr& incoming, const Refusal& refusal);
    void reply(const IncomingPtr& incoming, const Refusal& refusal, const HttpResponse& response);

    Parts m_parts;
    RootGate m_gate;
    RouteTable m_routes;
    ServiceSplit m_split;
    std::unordered_map<std::string, std::uint16_t> m_priorities; ///< Of workspaces.
    HttpServer m_http;
    sigc::signal<void(const RequestRecord&)> m_finished;
};

} // namespace pw
