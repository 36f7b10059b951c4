#pragma once

#include "adapters/libevent_util.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pw {

class TcpStream;

/// The loop as streams use it. What streams write within one turn of the loop leaves at the end of that turn, in as few
/// system calls as there are streams.
class StreamLoop {
public:
    explicit StreamLoop(event_base* base);
    ~StreamLoop();
    StreamLoop(const StreamLoop&) = delete;
    StreamLoop& operator=(const StreamLoop&) = delete;

    event_base* base() const { return m_base; }

private:
    friend class TcpStream;

    static void onFlush(evutil_socket_t, short, void* argument);

    void flushLater(TcpStream* stream);
    void forget(TcpStream* stream);
    void flush();

    event_base* m_base;
    detail::EventPtr m_flushEvent;
    std::vector<TcpStream*> m_dirty;
    std::vector<TcpStream*> m_flushing;
};

/// Why a stream is of no more use.
enum class StreamEnd : std::uint8_t {
    EndOfStream, ///< The peer closed its side in good order.
    Reset, ///< The connection was reset, or nothing was acknowledged for too long.
    NotConnected, ///< It never came about; nothing was sent.
    Count
};

/// \returns the stable name of \p end.
std::string_view streamEndName(StreamEnd end);

/// Whoever uses a stream. It may destroy the stream within any of these calls.
class StreamUser {
public:
    virtual ~StreamUser() = default;

    /// A dialled connection is there.
    virtual void streamConnected() { }
    /// New bytes stand in TcpStream::input().
    virtual void streamReadable() = 0;
    /// Called once; what was read before may still stand in input().
    virtual void streamEnded(StreamEnd end) = 0;
};

/// One TCP connection without waiting.
class TcpStream {
public:
    TcpStream(StreamLoop& loop, StreamUser& user);
    ~TcpStream();
    TcpStream(const TcpStream&) = delete;
    TcpStream& operator=(const TcpStream&) = delete;

    /// Dials \p peer, from the IP of \p source when that is set. \returns false when it failed at once.
    bool dial(const detail::SocketAddress& peer, const detail::SocketAddress* source = nullptr);
    /// Takes over an accepted connection.
    void adopt(evutil_socket_t fd);

    /// Sets for how long what was sent may stay unacknowledged before the connection counts as reset.
    void setUnacknowledgedTimeout(std::chrono::milliseconds timeout);

    /// Bytes received and not consumed.
    std::string_view input() const { return std::string_view(m_input).substr(m_consumed); }
    void consume(std::size_t n);

    /// Queues bytes to be sent at the end of this turn of the loop.
    void write(std::string_view bytes);
    /// \returns bytes that the system has not taken yet.
    std::size_t backlog() const { return m_output.size() - m_sent; }

    /// Stops or resumes receiving; the peer is held back by its window.
    void pauseReading(bool pause);

    /// Sends what is queued and then the end of this side.
    void finishWriting();

    bool connected() const { return m_connected; }

private:
    friend class StreamLoop;

    static void onReady(evutil_socket_t, short what, void* argument);

    void watch();
    void settleConnect();
    void receive();
    void flush();
    void end(StreamEnd end);

    StreamLoop& m_loop;
    StreamUser& m_user;
    evutil_socket_t m_fd = -1;
    bool m_connected = false;
    bool m_ended = false;
    bool m_paused = false;
    bool m_finishing = false;
    bool m_dirty = false;
    short m_watched = 0;
    detail::EventPtr m_event;
    std::string m_input;
    std::size_t m_consumed = 0;
    std::string m_output;
    std::size_t m_sent = 0;
};

} // namespace pw
