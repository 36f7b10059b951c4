#pragma once

#include "adapters/http_reader.h"
#include "adapters/tcp_stream.h"
#include "core/call.h"
#include "core/http_message.h"
#include "ports/backend_protocol.h"
#include "ports/timers.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pw {

/// What the backend server made of a request.
struct BackendResult {
    Refusal refusal; ///< Reason::None with Verdict::Ran for a whole answer.
    HttpResponse response; ///< Only when whole.
    std::string detail; ///< Why it is not whole, for logs.
    bool sent = false; ///< The request may have reached the backend server.
    bool connectionWasNew = false;
};

namespace detail {
    class BackendConnection;
}

/// Connections to the one backend server beside this daemon.
///
/// An exchange that timed out, was cancelled or failed takes its connection with it: a late answer then has no
/// connection to arrive on. A connection is used again only after an answer that names its request.
class BackendClient {
public:
    using Done = std::function<void(BackendResult)>;

    BackendClient(StreamLoop& loop, Timers& timers, const BackendProtocol& protocol);
    ~BackendClient();
    BackendClient(const BackendClient&) = delete;
    BackendClient& operator=(const BackendClient&) = delete;

    /// Sets where the backend server listens; idle connections elsewhere are closed.
    /// \returns false when \p address is not "ip:port".
    bool setAddress(const std::string& address);

    /// Starts a request. \p done is called once unless cancel() comes first, never within this call.
    /// \param repeatable false: no connection is used that may have been closed unnoticed.
    /// \returns a handle for cancel().
    std::uint64_t start(const HttpRequest& request, Duration timeout, bool repeatable, Done done);

    /// Closes the connection of a running request.
    void cancel(std::uint64_t id);

    /// Closes the connections that are not in use.
    void closeIdle();

    /// \returns the connections that are open, idle ones included.
    std::size_t connectionCount() const { return m_running.size() + m_idle.size(); }
    /// \returns connections opened so far.
    std::uint64_t connectionsOpened() const { return m_opened; }

private:
    friend class detail::BackendConnection;

    struct Running;
    using ConnectionPtr = std::unique_ptr<detail::BackendConnection>;

    ConnectionPtr takeConnection(const HttpRequest& request, bool repeatable);
    void finish(std::uint64_t id, AnswerMeaning meaning, HttpResponse answer, bool reusable);
    void fail(std::uint64_t id, const Refusal& refusal, std::string_view detail, bool sent);
    void dropIdle(detail::BackendConnection* connection);
    void release(ConnectionPtr connection);

    StreamLoop& m_loop;
    Timers& m_timers;
    const BackendProtocol& m_protocol;
    std::string m_authority;
    detail::SocketAddress m_address;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_opened = 0;
    TimerId m_releaseTimer = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<Running>> m_running;
    std::vector<ConnectionPtr> m_idle; ///< The one used last at the end.
    std::vector<ConnectionPtr> m_released; ///< Freed outside their own callbacks.
};

} // namespace pw
