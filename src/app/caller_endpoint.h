#pragma once

#include "adapters/http_server.h"
#include "app/dispatcher.h"
#include "app/quarantine.h"
#include "app/request_record.h"
#include "core/demand_cache.h"
#include "core/root_throttle.h"
#include "core/route_outlook.h"
#include "core/route_table.h"
#include "core/service_split.h"
#include "core/slot_price_table.h"
#include "core/stop_schedule.h"
#include "ports/caller_protocol.h"
#include "ports/events.h"
#include "ports/fleet.h"

#include <sigc++/sigc++.h>

#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace pw {

/// Accepts requests from callers over HTTP. Checks the key, the load of the downstream services, the outlook of the request,
/// the workspace's rate and the request id, in this order, and then passes the request to the dispatcher.
class CallerEndpoint {
public:
    /// Everything must outlive the endpoint.
    struct Dependencies {
        StreamLoop& loop;
        Timers& timers;
        EventLog& log;
        FleetView& fleet;
        RateLimiter& rates;
        ClaimClient& claims;
        Dispatcher& dispatcher;
        const CallerProtocol& protocol;
        const Settings& settings;
        DemandCache& board;
        const SlotPriceTable* prices; ///< Null with `admission.prices: chain`.
        ServerRole* server; ///< Null without the server role.
        std::size_t maxConnections; ///< Caller connections above which idle ones are closed.
        Quarantine* quarantine = nullptr; ///< Null unless requests that crash backend servers are identified.
    };

    explicit CallerEndpoint(const Dependencies& dependencies);
    ~CallerEndpoint();
    CallerEndpoint(const CallerEndpoint&) = delete;
    CallerEndpoint& operator=(const CallerEndpoint&) = delete;

    /// Starts listening on \p address.
    /// \param reason receives the error message when false is returned.
    bool init(const std::string& address, std::string& reason);
    /// From now on, closes each connection after its last pending answer, so that callers reconnect to another daemon, and
    /// accepts requests only as \p schedule allows.
    void leave(const StopSchedule& schedule);
    /// Refuses the requests that have not been sent to a backend server, with the verdict not-run.
    void refuseWaiting();
    /// Refuses every request that arrives from now on.
    void refuseNew() { m_refusesNew = true; }
    /// Answers every pending request now: the daemon ends before they can complete.
    void giveUp();
    /// Pauses or resumes accepting connections. While paused, new connections wait in the listen backlog.
    void pauseListening(bool pause) { m_http.pauseListening(pause); }
    /// Stops accepting connections for good.
    void stopListening() { m_http.stopListening(); }
    /// \returns the number of connections on which a request or an answer is partly transferred.
    std::size_t unfinished() const { return m_http.unfinished(); }
    void shutdown() { m_http.shutdown(); }

    /// \returns the number of requests not answered yet.
    std::size_t pending() const { return m_http.pending(); }

    /// \returns how requests of each route have ended recently.
    const RouteOutlook& outlook() const { return m_outlook; }

    /// Emitted for each answered request.
    sigc::signal<void(const RequestRecord&)>& finished() { return m_finished; }

private:
    /// A request that is not answered yet.
    struct Incoming {
        std::shared_ptr<HttpExchange> exchange;
        CallerRequest ask;
        Route route;
        std::string workspace;
        Rank rank;
        TimePoint started {};
        TimePoint deadline {};
        bool claimed = false; ///< Holds the claim of its request id.
        RequestDigest digest = 0; ///< Zero unless requests are identified.
        bool trial = false; ///< Runs as the one trial of a suspect.
        bool disconnected = false; ///< The caller has closed its connection.
        bool answered = false;
        std::uint64_t dispatchId = 0; ///< Handle in the dispatcher; zero while the dispatcher does not have the request.

        /// \returns whether a backend server made this call while it ran another request.
        bool isNested() const { return ask.nested && route.open; }
    };
    using IncomingPtr = std::shared_ptr<Incoming>;

    void onRequest(std::shared_ptr<HttpExchange> exchange);
    std::optional<Refusal> parseRequest(Incoming& incoming);
    std::optional<Refusal> findRoute(Incoming& incoming);
    std::optional<Refusal> checkStop(Incoming& incoming);
    std::optional<Refusal> checkKey(Incoming& incoming);
    std::optional<Refusal> checkQuarantine(Incoming& incoming);
    std::optional<Refusal> checkDownstreamLoad(Incoming& incoming);
    std::optional<Refusal> checkOutlook(Incoming& incoming);
    void acquireRateToken(const IncomingPtr& incoming);
    void claimRequestId(const IncomingPtr& incoming);
    void onClaimDecided(const IncomingPtr& incoming, ClaimOutcome outcome, const std::optional<StoredAnswer>& storedAnswer);
    void dispatch(const IncomingPtr& incoming);
    void claimTrial(const IncomingPtr& incoming, const std::string& service);
    void send(const IncomingPtr& incoming, std::string service);
    void recordOutlook(const Incoming& incoming, const Answer& answer);
    void onAnswer(const IncomingPtr& incoming, const Answer& answer);
    void configure();
    void onCallerDisconnected(const IncomingPtr& incoming);
    void refuse(const IncomingPtr& incoming, const Refusal& refusal);
    void reply(const IncomingPtr& incoming, const Refusal& refusal, const HttpResponse& response);

    Dependencies m_dependencies;
    RootThrottle m_rootGate;
    RouteOutlook m_outlook;
    RouteTable m_routes;
    ServiceSplit m_split;
    std::unordered_map<std::string, std::uint16_t> m_priorities; ///< By workspace.
    HttpServer m_http;
    std::optional<StopSchedule> m_stop; ///< Set while the daemon is stopping.
    bool m_refusesNew = false;
    std::unordered_set<IncomingPtr> m_pending; ///< Admitted and not answered yet.
    sigc::signal<void(const RequestRecord&)> m_finished;
};

} // namespace pw
