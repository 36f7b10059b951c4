#pragma once

#include "adapters/libevent_util.h"
#include "core/call.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

namespace pw {

/// A whole request as it came in.
struct HttpRequest {
    std::string method;
    std::string target; ///< Path and query.
    std::vector<HeaderLine> headers;
    std::string body;
};

/// A whole answer to send.
struct HttpResponse {
    int status = 200;
    std::vector<HeaderLine> headers;
    std::string body;
};

class HttpServer;

/// One request and the means to answer it. Must be answered exactly once, also after its caller has gone.
class HttpExchange {
public:
    HttpExchange(HttpServer& server, evhttp_request* raw, HttpRequest request);
    ~HttpExchange();
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    const HttpRequest& request() const { return m_request; }

    /// Sends the answer; later calls do nothing.
    void reply(const HttpResponse& response);

    /// Sets a handler called when the caller closed its side before the answer.
    void onGone(std::function<void()> handler) { m_gone = std::move(handler); }

private:
    friend class HttpServer;

    static void onEvent(bufferevent*, short what, void* argument);

    HttpServer* m_server;
    evhttp_request* m_raw;
    HttpRequest m_request;
    std::function<void()> m_gone;
};

/// HTTP/1.1 server on one address. Bounds headers, bodies and slow senders.
class HttpServer {
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    HttpServer(event_base* base, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// \param reason receives what went wrong when false is returned.
    bool init(const std::string& address, std::string& reason);
    /// Asks callers to go elsewhere: every later answer carries "Connection: close".
    void leave() { m_leaving = true; }
    /// Takes no new connections; open ones go on.
    void stopListening();
    /// Closes every connection.
    void shutdown();

    /// \returns the number of requests that are not answered yet.
    std::size_t pending() const { return m_pending.size(); }

private:
    friend class HttpExchange;

    static void onRequest(evhttp_request* raw, void* argument);

    event_base* m_base;
    Handler m_handler;
    detail::HttpPtr m_http;
    evhttp_bound_socket* m_socket = nullptr;
    bool m_leaving = false;
    std::unordered_set<HttpExchange*> m_pending;
};

} // namespace pw
