#pragma once

#include "adapters/http_server.h"

#include <deque>

namespace pw::detail {

/// One connection of a caller to an HttpServer.
class HttpConnection final : public StreamUser {
public:
    HttpConnection(HttpServer& server, evutil_socket_t fd);

    void streamReadable() override;
    void streamEnded(StreamEnd end) override;

    /// Takes the answer to the request of \p slot; it leaves when all before it have left.
    void answer(std::uint64_t slot, const HttpResponse& response);

    /// Closes the connection when its caller has been idle or too slow.
    void check(TimePoint now);

    /// \returns whether nothing is being received, worked on or sent.
    bool idle() const;
    /// \returns whether a request is not read whole or an answer not taken whole.
    bool unfinished() const;

    TimePoint lastProgress() const { return m_lastProgress; }

    /// Drops the connection and tells the requests under way.
    void drop();

private:
    /// A request in its place among the others of the connection.
    struct Slot {
        HttpExchange* exchange = nullptr; ///< Null once answered.
        bool keepsAlive = true;
        bool bodiless = false;
        std::string answer; ///< Empty until answered.
        bool closes = false; ///< The connection ends after this answer.
    };

    void readRequests();
    void take(HttpRequest request, bool keepsAlive);
    void refuse(int status, std::string_view what);
    void sendAnswers();
    void beginClose();
    void holdBack();
    bool lastOnConnection(std::uint64_t slot) const;
    std::string render(const HttpResponse& response, bool bodiless, bool closes) const;

    HttpServer& m_server;
    TcpStream m_stream;
    HttpRequestReader m_reader;
    std::deque<Slot> m_slots;
    std::uint64_t m_firstSlot = 0; ///< Number of m_slots.front().
    TimePoint m_lastProgress;
    std::optional<TimePoint> m_requestBegan;
    bool m_reading = false;
    bool m_closing = false; ///< No further request is read.
    bool m_dropped = false;
    bool m_continued = false; ///< "100 Continue" was sent for the request being read.
};

} // namespace pw::detail
