#pragma once

#include "adapters/backend_client.h"

namespace pw::detail {

/// A connection to the backend server that carries one request at a time.
class BackendConnection final : public StreamUser {
public:
    /// \param number counts the connections of \p client, from one.
    BackendConnection(BackendClient& client, std::uint64_t number);

    /// Starts connecting. A failure is reported to the first request on the connection.
    void dial(const SocketAddress& address);

    /// Sends \p request as exchange \p exchange and reads the response.
    /// \param isProbe whether any answer of the server is a complete response.
    void start(std::uint64_t exchange, HttpRequest request, bool isProbe);

    /// Abandons the current exchange, if any, and closes the connection: what has not been sent by now is never sent, whatever the
    /// order in which timers and sockets are handled. The response is no longer reported.
    void abandon();

    void streamConnected() override;
    void streamReadable() override;
    void streamEnded(StreamEnd end) override;

    /// \returns the share of this connection in the bytes that its client counts as buffered.
    std::size_t bufferedBytes() const { return m_bufferedBytes; }
    void setBufferedBytes(std::size_t bytes) { m_bufferedBytes = bytes; }

    /// Pauses or resumes reading the response.
    void pauseReading(bool pause) { m_stream.pauseReading(pause); }

    /// \returns whether \p request may be sent on this connection at \p now, given the server's keep-alive timeout, the
    ///     idle time and the previous request.
    bool usable(const HttpRequest& request, TimePoint now, bool repeatable) const;
    void setIdleSince(TimePoint now) { m_idleSince = now; }
    /// \returns when the connection, which is idle, becomes too old to be reused.
    TimePoint unusedAt() const { return m_idleSince + maxIdle(); }
    std::uint64_t number() const { return m_number; }
    bool connected() const { return m_stream.connected(); }
    /// \returns whether the current exchange may have reached the backend server.
    bool sent() const { return m_sent; }
    bool isNew() const { return m_isNew; }

private:
    void readResponse();
    void handleResponse(HttpResponse answer, bool keepsAlive);
    void readKeepAlive(const HttpResponse& answer);
    Duration maxIdle() const;
    void fail(std::string_view why);

    BackendClient& m_client;
    std::uint64_t m_number;
    TcpStream m_stream;
    HttpResponseReader m_reader;
    std::uint64_t m_exchange = 0; ///< Current exchange; zero if none.
    HttpRequest m_request; ///< Current or most recent request, without its body.
    std::vector<HttpRequest> m_refused; ///< Requests on this connection that the server stated not to have run, without bodies.
    bool m_isProbe = false; ///< The current or most recent exchange is a probe.
    bool m_isNew = true; ///< No exchange has completed on this connection.
    bool m_sent = false;
    bool m_sawStrayResponse = false; ///< A response to another request arrived during the current exchange.
    std::size_t m_strayResponses = 0;
    std::size_t m_bufferedBytes = 0;
    std::size_t m_interimResponses = 0; ///< Interim (1xx) responses to the current exchange.
    TimePoint m_idleSince {};
    std::optional<Duration> m_keepAlive; ///< Idle timeout announced in the Keep-Alive header.
};

} // namespace pw::detail
