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

/// One request and the means to answer it. Must be answered exactly once, also after its caller has gone.
class HttpExchange {
public:
    /// \param pending counts the requests that are not answered yet.
    HttpExchange(std::shared_ptr<std::size_t> pending, detail::HttpConnection& connection, std::uint64_t slot, HttpRequest request);
    ~HttpExchange();
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    const HttpRequest& request() const { return m_request; }

    /// Sends the answer, after those of earlier requests of the connection; later calls do nothing.
    void reply(const HttpResponse& response);

    /// Sets a handler called when the caller closed its side before the answer.
    void onGone(std::function<void()> handler) { m_gone = std::move(handler); }

private:
    friend class detail::HttpConnection;

    void connectionEnded();

    std::shared_ptr<std::size_t> m_pending; ///< Null once answered.
    detail::HttpConnection* m_connection; ///< Null once it has ended.
    std::uint64_t m_slot;
    HttpRequest m_request;
    std::function<void()> m_gone;
};

/// What callers of one server may send and how long they may take.
struct HttpServerLimits {
    HttpSizeLimits sizes;
    std::chrono::milliseconds headerTimeout { 0 }; ///< From the first byte of a request to the end of its header.
    std::chrono::milliseconds idleTimeout { 0 }; ///< Between requests, and without progress within a body.
    std::size_t connections = config::maxCallerConnections; ///< Above which those that were idle longest are closed.
    std::chrono::milliseconds requestTimeout = config::callerIdleTimeout; ///< From the first byte of a request to its last.
};

/// HTTP/1.1 server on one address. Requests that a caller sends behind each other on one connection are handed out side
/// by side and answered in their order.
class HttpServer {
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;
    /// Makes the answer to a request that cannot be read; its status is set already.
    using FaultAnswer = std::function<HttpResponse(int status, std::string_view what)>;

    /// \param faultAnswer empty: an answer without headers.
    HttpServer(StreamLoop& loop, Timers& timers, Handler handler, FaultAnswer faultAnswer = {});
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// \param reason receives what went wrong when false is returned.
    bool init(const std::string& address, std::string& reason);
    /// Sets the limits: sizes for later connections, times at once.
    void setLimits(const HttpServerLimits& limits) { m_limits = limits; }
    /// Asks callers to go elsewhere: later answers carry "Connection: close".
    void leave() { m_leaving = true; }
    /// Takes no new connections but those that wait already; open ones go on.
    void stopListening();
    /// Pauses or resumes taking new connections; they wait in the system's queue meanwhile.
    void pauseListening(bool pause);
    /// Closes the connections on which nothing is under way.
    void closeIdle();
    /// Closes every connection.
    void shutdown();

    /// \returns the number of requests that are not answered yet.
    std::size_t pending() const { return *m_pending; }
    /// \returns the connections with a request that is not read whole, or an answer that is not taken whole.
    std::size_t unfinished() const;
    /// \returns the connections that are open.
    std::size_t connectionCount() const { return m_connections.size(); }

private:
    friend class detail::HttpConnection;

    static void onAccepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* argument);
    static void onAcceptFailed(evconnlistener*, void* argument);

    void accept(evutil_socket_t fd);
    void acceptWaiting();
    void makeRoom();
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
    TimerId m_acceptTimer = 0; ///< Pending while no connection can be accepted.
    TimerId m_releaseTimer = 0;
    std::unordered_map<detail::HttpConnection*, std::unique_ptr<detail::HttpConnection>> m_connections;
    std::vector<std::unique_ptr<detail::HttpConnection>> m_removed; ///< Freed outside their own callbacks.
};

} // namespace pw
