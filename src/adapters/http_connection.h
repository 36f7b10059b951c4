#pragma once

#include "adapters/http_server.h"

#include <deque>
#include <memory>

namespace pw::detail {

/// A caller's connection to an HttpServer.
class HttpConnection final : public StreamUser {
public:
    HttpConnection(HttpServer& server, evutil_socket_t fd);
    ~HttpConnection() override;
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    void streamReadable() override;
    void streamEnded(StreamEnd end) override;

    /// Queues the response to the request in \p slot. It is sent after the responses to all earlier requests.
    void answer(std::uint64_t slot, const HttpResponse& response);

    /// Closes the connection if the caller exceeded the idle, header or request timeout.
    void check(TimePoint now);

    /// \returns whether no request is being received or handled and no response is being sent.
    bool idle() const;
    /// \returns whether a request is partly received or a response partly sent.
    bool unfinished() const;

    TimePoint lastProgress() const { return m_lastProgress; }

    /// Closes the connection immediately and notifies the pending requests, whose responses are dropped from then on.
    void drop();

private:
    /// A pipelined request; slots are kept in the order of arrival.
    struct Slot {
        std::weak_ptr<HttpExchange> exchange; ///< Empty once the response is set.
        bool keepsAlive = true;
        bool bodiless = false;
        std::string answer; ///< Serialized response; empty until set.
        bool closes = false; ///< The connection is closed after this response.
    };

    void readRequests();
    void readLater();
    bool mayTakeRequest() const;
    void take(HttpRequest request, bool keepsAlive);
    void refuse(int status, std::string_view what);
    void sendResponses();
    void beginClose();
    void updateReading();
    void noteSendProgress(TimePoint now);
    std::string render(const HttpResponse& response, bool bodiless, bool closes) const;

    HttpServer& m_server;
    TcpStream m_stream;
    HttpRequestReader m_reader;
    std::deque<Slot> m_slots;
    std::uint64_t m_firstSlot = 0; ///< Number of m_slots.front().
    TimePoint m_lastProgress;
    std::uint64_t m_bytesSent = 0; ///< Bytes sent when m_lastProgress was last updated for them.
    std::optional<TimePoint> m_requestBegan;
    TimerId m_readTimer = 0; ///< Pending while requests are to be read that arrived earlier.
    bool m_reading = false; ///< Within readRequests().
    bool m_closing = false; ///< No further requests are read.
    bool m_dropped = false;
    bool m_sentContinue = false; ///< "100 Continue" was sent for the request being read.
};

} // namespace pw::detail
