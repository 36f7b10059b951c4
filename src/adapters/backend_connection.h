#pragma once

#include "adapters/backend_client.h"

namespace pw::detail {

/// One connection to the backend server, for one request at a time.
class BackendConnection final : public StreamUser {
public:
    explicit BackendConnection(BackendClient& client);

    /// Begins to connect; whether that came about is seen by the first request.
    void dial(const SocketAddress& address);

    /// Sends the request of \p exchange and reads its answer.
    void start(std::uint64_t exchange, const HttpRequest& request);

    /// Ends the exchange under way, if any; its answer is not reported any more.
    void abandon() { m_exchange = 0; }

    void streamConnected() override;
    void streamReadable() override;
    void streamEnded(StreamEnd end) override;

    /// \returns whether \p request may be sent on it at \p now, given what its server said, how long it was idle and which
    /// request it served last.
    bool usable(const HttpRequest& request, TimePoint now, bool repeatable) const;
    void noteIdle(TimePoint now) { m_idleSince = now; }
    bool connected() const { return m_stream.connected(); }
    /// \returns whether the exchange under way may have reached the backend server.
    bool sent() const { return m_sent; }
    bool fresh() const { return m_fresh; }

private:
    void readAnswer();
    void judge(HttpResponse answer, bool keepsAlive);
    void noteKeepAlive(const HttpResponse& answer);
    void fail(std::string_view why);

    BackendClient& m_client;
    TcpStream m_stream;
    HttpAnswerReader m_reader;
    std::uint64_t m_exchange = 0; ///< Zero: none under way.
    HttpRequest m_request; ///< Of the exchange under way or else the last one, without its body.
    bool m_fresh = true; ///< No exchange has ended on it.
    bool m_sent = false;
    bool m_strayed = false; ///< An answer to another request came in between.
    std::size_t m_strays = 0;
    std::size_t m_interims = 0; ///< Interim answers to the exchange under way.
    TimePoint m_idleSince {};
    std::optional<Duration> m_keepAlive; ///< Idle time that the server allows, as it said.
};

} // namespace pw::detail
