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

/// Outcome of one request to the backend server.
struct BackendResult {
    Refusal refusal; ///< Reason::None with Verdict::Ran when a complete response arrived.
    HttpResponse response; ///< Set only when the response is complete.
    std::string detail; ///< Why no complete response arrived, for logs.
    std::optional<BackendStatement> statement; ///< Set if the backend server answered this request, also without running it.
    std::optional<HealthReport> health; ///< Set if a healthy backend server answered a probe.
    bool sent = false; ///< The request may have reached the backend server.
    bool connectionWasNew = false;
};

namespace detail {
    class BackendConnection;
    class CrashCheck;
}

/// Connection pool to the local backend server.
///
/// The connection of an exchange that timed out, was cancelled or failed is closed, so that a late response cannot be
/// taken for the response to another request. A connection is reused only after a response that identifies its request.
class BackendClient {
public:
    using Done = std::function<void(BackendResult)>;

    BackendClient(StreamLoop& loop, Timers& timers, const BackendProtocol& protocol);
    ~BackendClient();
    BackendClient(const BackendClient&) = delete;
    BackendClient& operator=(const BackendClient&) = delete;

    /// Sets the address of the backend server. Another address means another server, see onServerStarted().
    /// \returns false when \p address is not "ip:port".
    bool setAddress(const std::string& address);

    /// Starts a request. \p done is called once, never from within this call, unless cancel() is called first.
    /// \param repeatable whether the request is safe to repeat. If not, idle connections that the server may already have
    ///     closed are not used.
    /// \returns a handle for cancel().
    std::uint64_t start(HttpRequest request, Duration timeout, bool repeatable, Done done);

    /// Sends a health request. Like start(), but any answer is a complete response, and a connection that was opened before
    /// the last one was lost is not used. The handle is valid for cancel().
    std::uint64_t probe(HttpRequest request, Duration timeout, Done done);

    /// Sets the handler that is called when the backend server may have restarted: a connection was refused or has timed out, or
    /// was reset or closed, also while it was idle, without another one showing that the server is still the same. It is called
    /// before the result of the request is reported.
    void onConnectionLost(std::function<void()> handler) { m_connectionLost = std::move(handler); }

    /// Sets whether exchanges that break off are reported only once it is known whether the backend server has crashed; then
    /// Reason::BackendCrashed tells it. It has if all its connections end and it refuses a new one.
    void setDetectCrashes(bool enabled) { m_detectCrashes = enabled; }

    /// Sets whether idle connections that are not reused any more are closed. Otherwise the backend server closes them, which
    /// cannot be told from its restart.
    void setCloseUnused(bool enabled);

    /// Cancels a running request and closes its connection.
    void cancel(std::uint64_t id);

    /// Handles another start of the backend server. What was sent to an earlier one completes, but its connections are not reused,
    /// and exchanges that still wait for a connection end as not run.
    void onServerStarted();

    /// \returns the number of open connections, including idle ones.
    std::size_t connectionCount() const { return m_running.size() + m_idle.size(); }
    /// \returns the number of running requests, including probes.
    std::size_t running() const { return m_running.size(); }
    /// \returns the total number of connections opened.
    std::uint64_t connectionsOpened() const { return m_opened; }

private:
    friend class detail::BackendConnection;
    friend class detail::CrashCheck;

    struct Running;
    using ConnectionPtr = std::unique_ptr<detail::BackendConnection>;

    ConnectionPtr acquireConnection(const HttpRequest& request, bool repeatable, bool isProbe);
    std::uint64_t startExchange(HttpRequest request, Duration timeout, bool repeatable, bool isProbe, Done done);
    void finish(std::uint64_t id, AnswerKind meaning, HttpResponse answer, bool reusable);
    void fail(std::uint64_t id, const Refusal& refusal, std::string_view detail, bool sent);
    void onBroken(std::uint64_t id, std::string_view detail);
    void checkForCrash();
    void onCrashChecked(bool refused);
    bool hasOpenConnection(const detail::BackendConnection* except) const;
    void onTimeout(std::uint64_t id, std::string_view detail);
    void onHeard();
    void onBuffered(detail::BackendConnection& connection, std::size_t bytes);
    void limitReading();
    bool isSilent() const;
    void onConnectionEnded(const detail::BackendConnection* ended);
    void reportLost();
    void closeIdle();
    bool closeIdleConnection(detail::BackendConnection* connection);
    void closeUnused();
    void release(ConnectionPtr connection);

    StreamLoop& m_loop;
    Timers& m_timers;
    const BackendProtocol& m_protocol;
    std::string m_authority;
    detail::SocketAddress m_address;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_opened = 0;
    std::function<void()> m_connectionLost;
    std::uint64_t m_openedAtLoss = 0; ///< Connections opened when the last one was lost.
    std::uint64_t m_openedAtStart = 0; ///< Connections opened when the current start of the backend server became known.
    TimePoint m_respondedAt {}; ///< Last bytes of a response.
    TimePoint m_silentSince {}; ///< Last response, or start of the first request that was not answered after it.
    bool m_timedOut = false; ///< A request has timed out since the last response.
    /// An exchange that has broken off and is not reported yet.
    struct Broken {
        std::uint64_t id = 0;
        std::string detail;
    };

    bool m_detectCrashes = false;
    std::vector<Broken> m_broken;
    std::unique_ptr<detail::CrashCheck> m_crashCheck; ///< Set while it is decided whether the backend server has crashed.
    std::unique_ptr<detail::CrashCheck> m_endedCrashCheck;
    TimerId m_crashTimer = 0;
    std::size_t m_bufferedBytes = 0; ///< Bodies of the responses that are incomplete.
    bool m_limitsReading = false; ///< Some responses are not read at present.
    bool m_closeUnused = false;
    TimerId m_unusedTimer = 0;
    TimerId m_releaseTimer = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<Running>> m_running;
    std::vector<ConnectionPtr> m_idle; ///< Most recently used last.
    std::vector<ConnectionPtr> m_released; ///< Destroyed later, outside of their own callbacks.
};

} // namespace pw
