#pragma once

#include "adapters/libevent_util.h"
#include "core/call.h"
#include "ports/timers.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace pw {

/// A request for the backend server.
struct BackendRequest {
    std::string method;
    std::string target;
    std::vector<HeaderLine> headers;
    std::string body;
    std::string exchangeId; ///< Sent as a header; an answer that echoes another one is not taken.
    Duration timeout { 0 };
};

/// What the backend server made of a request.
struct BackendResult {
    Refusal refusal; ///< Reason::None with Verdict::Ran for a whole answer.
    int status = 0;
    std::vector<HeaderLine> headers;
    std::string body;
};

/// Connections to the one backend server beside this daemon.
///
/// An exchange that timed out, was cancelled or failed takes its connection with it: a late answer then has no
/// connection to arrive on. A connection is used again only after an answer that echoed its exchange id.
class BackendClient {
public:
    using Done = std::function<void(BackendResult)>;

    BackendClient(event_base* base, Timers& timers);
    ~BackendClient();
    BackendClient(const BackendClient&) = delete;
    BackendClient& operator=(const BackendClient&) = delete;

    /// Sets where the backend server listens; idle connections elsewhere are closed.
    /// \returns false when \p address is not "ip:port".
    bool setAddress(const std::string& address);

    /// Starts a request. \p done is called once unless cancel() comes first.
    /// \returns a handle for cancel().
    std::uint64_t start(const BackendRequest& request, Done done);

    /// Closes the connection of a running request.
    void cancel(std::uint64_t id);

    /// \returns the connections that are open, idle ones included.
    std::size_t connectionCount() const { return m_running.size() + m_idle.size(); }

private:
    struct Running;

    static void onAnswer(evhttp_request* raw, void* argument);
    static void onRequestError(evhttp_request_error error, void* argument);
    static void onIdleClosed(evhttp_connection* connection, void* argument);

    detail::HttpConnectionPtr takeConnection();
    void finish(std::uint64_t id, evhttp_request* raw);
    void fail(std::uint64_t id, Refusal refusal);
    void keep(detail::HttpConnectionPtr connection);
    void discard(detail::HttpConnectionPtr connection);

    event_base* m_base;
    Timers& m_timers;
    std::string m_host;
    std::uint16_t m_port = 0;
    std::uint64_t m_lastId = 0;
    TimerId m_sweepTimer = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<Running>> m_running;
    std::vector<detail::HttpConnectionPtr> m_idle;
    std::vector<detail::HttpConnectionPtr> m_discarded; ///< Freed outside their own callbacks.
};

} // namespace pw
