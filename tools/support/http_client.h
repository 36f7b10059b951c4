#pragma once

#include "support/address.h"

#include <event2/event.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct evhttp_connection;

namespace pw::support {

/// Header names in lower case with their values; the last of equal names wins.
using Headers = std::map<std::string, std::string>;

/// A request to be sent.
struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// How a request ended.
struct HttpResult {
    bool whole = false; ///< A complete HTTP answer arrived.
    int status = 0;
    Headers headers;
    std::string body;
    std::string error; ///< Why there is no whole answer.

    /// \returns the value of \p name, or an empty string.
    std::string header(std::string name) const;
};

/// HTTP/1.1 client of one server with a pool of kept-alive connections, over evhttp.
class HttpClient {
public:
    using Done = std::function<void(HttpResult)>;

    HttpClient(event_base* base, Address server);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends \p request; \p done is called once, at \p timeout at the latest.
    void send(const HttpRequest& request, std::chrono::milliseconds timeout, Done done);

    /// \returns the requests that have not ended.
    std::size_t running() const { return m_running; }

private:
    struct Exchange;

    evhttp_connection* takeConnection();
    void finish(Exchange& exchange, HttpResult result);

    event_base* m_base;
    Address m_server;
    std::vector<evhttp_connection*> m_idle;
    std::size_t m_running = 0;
};

/// Sends one request and runs a loop of its own until it ended.
HttpResult fetch(const Address& server, const HttpRequest& request, std::chrono::milliseconds timeout);
/// Sends a GET request for \p target.
HttpResult fetch(const Address& server, const std::string& target, std::chrono::milliseconds timeout);

} // namespace pw::support
