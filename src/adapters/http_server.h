#pragma once

#include "adapters/http_reader.h"
#include "adapters/tcp_stream.h"
#include "config.h"
#include "core/http_message.h"
#include "core/types.h"
#include "ports/timers.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace pw {

class HttpServer;

namespace detail {
    class HttpConnection;
}

/// A received request and its pending response. Must be answered exactly once, even if the caller has disconnected.
class HttpExchange {
public:
    /// \param pending counter of unanswered requests, shared with the server.
    HttpExchange(std::shared_ptr<std::size_t> pending, detail::HttpConnection& connection, std::uint64_t slot, HttpRequest request);
    ~HttpExchange();
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    const HttpRequest& request() const { return m_request; }

    /// Sends the response, after those to earlier requests on the connection. Further calls have no effect. Calls no handler.
    void reply(const HttpResponse& response);

    /// Sets a handler that is called if the caller disconnects before the response is sent.
    void onDisconnected(std::function<void()> handler) { m_gone = std::move(handler); }

private:
    friend class detail::HttpConnection;

    /// Makes reply() have no effect on the connection any more.
    void detach() { m_connection = nullptr; }
    void notifyDisconnected();

    std::shared_ptr<std::size_t> m_pending; ///< Null once answered.
    detail::HttpConnection* m_connection; ///< Null once the connection has ended.
    std::uint64_t m_slot;
    HttpRequest m_request;
    std::function<void()> m_gone;
};

/// Size limits and timeouts for the callers of a server.
struct HttpServerLimits {
    HttpSizeLimits sizes;
    std::chrono::milliseconds headerTimeout { 0 }; ///< From the first byte of a request to the end of its header.
    std::chrono::milliseconds idleTimeout { 0 }; ///< Between requests, and without progress within a body.
    std::size_t connections = config::maxCallerConnections; ///< Above this number the connections idle longest are closed.
    std::chrono::milliseconds requestTimeout = config::callerIdleTimeout; ///< From the first byte of a request to its last.
};

/// HTTP/1.1 server on one address. Pipelined requests of a connection are handled concurrently and answered in order.
class HttpServer {
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;
    /// Creates the response with the given status to an invalid request.
    using FaultAnswer = std::function<HttpResponse(int status, std::string_view what)>;

    /// \param faultAnswer if empty, invalid requests get a response without headers.
    HttpServer(StreamLoop& loop, Timers& timers, Handler handler, FaultAnswer faultAnswer = {});
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// \param reason receives what went wrong when false is returned.
    bool init(const std::string& address, std::string& reason);
    /// Sets the limits. Sizes apply to new connections, timeouts immediately.
    void setLimits(const HttpServerLimits& limits) { m_limits = limits; }
    /// Asks callers to reconnect elsewhere: from now on each connection is closed after the last response that is pending on it,
    /// or after that to its next request. Requests behind that one are not read.
    void leave() { m_leaving = true; }
    /// Closes the listener after accepting the connections in its queue; open connections stay.
    void stopListening();
    /// Pauses or resumes accepting connections; meanwhile they wait in the listen queue of the operating system.
    void pauseListening(bool pause);
    /// Closes connections without pending requests or responses.
    void closeIdle();
    /// Closes every connection.
    void shutdown();

    /// \returns the number of unanswered requests.
    std::size_t pending() const { return *m_pending; }
    /// \returns the number of connections with a partly received request or a partly sent response.
    std::size_t unfinished() const;
    /// \returns the number of open connections.
    std::size_t connectionCount() const { return m_connections.size(); }

private:
    friend class detail::HttpConnection;

    static void onAccepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* argument);
    static void onAcceptFailed(evconnlistener*, void* argument);

    void accept(evutil_socket_t fd);
    void acceptQueued();
    void closeIdlestConnections();
    void remove(detail::HttpConnection* connection);
    void sweep();
    void scheduleSweep();

    StreamLoop& m_loop;
    Timers& m_timers;
    Handler m_handler;
    FaultAnswer m_faultAnswer;
    HttpServerLimits m_limits;
    detail::ListenerPtr m_listener;
    bool m_leaving = false;
    std::shared_ptr<std::size_t> m_pending = std::make_shared<std::size_t>(0);
    TimerId m_sweepTimer = 0;
    TimerId m_acceptTimer = 0; ///< Pending while accepting is suspended for lack of resources.
    TimerId m_releaseTimer = 0;
    std::unordered_map<detail::HttpConnection*, std::unique_ptr<detail::HttpConnection>> m_connections;
    std::vector<std::unique_ptr<detail::HttpConnection>> m_removed; ///< Destroyed later, outside of their own callbacks.
};

} // namespace pw
