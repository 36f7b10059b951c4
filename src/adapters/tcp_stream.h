#pragma once

#include "adapters/libevent_util.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pw {

class TcpStream;

/// Event loop of TCP streams. Writes are collected during one loop iteration and flushed at its end, with one system call
/// per stream.
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

    void scheduleFlush(TcpStream* stream);
    void removeStream(TcpStream* stream);
    void flush();

    event_base* m_base;
    detail::EventPtr m_flushEvent;
    std::vector<TcpStream*> m_dirty;
    std::vector<TcpStream*> m_flushing;
};

/// Why a stream ended.
enum class StreamEnd : std::uint8_t {
    EndOfStream, ///< The peer closed its side orderly.
    Reset, ///< The connection was reset, or the peer acknowledged no data within the timeout.
    NotConnected, ///< The connection was never established; nothing was sent.
    Count
};

/// \returns the stable name of \p end.
std::string_view streamEndName(StreamEnd end);

/// Receiver of a stream's events. It may destroy the stream within any of these calls.
class StreamUser {
public:
    virtual ~StreamUser() = default;

    /// A dialled connection was established.
    virtual void streamConnected() { }
    /// New bytes are available in TcpStream::input().
    virtual void streamReadable() = 0;
    /// Called once; input() may still hold unconsumed bytes.
    virtual void streamEnded(StreamEnd end) = 0;
};

/// Non-blocking TCP connection.
class TcpStream {
public:
    TcpStream(StreamLoop& loop, StreamUser& user);
    ~TcpStream();
    TcpStream(const TcpStream&) = delete;
    TcpStream& operator=(const TcpStream&) = delete;

    /// Dials \p peer, from the IP address of \p source if set. \returns false if it failed immediately.
    bool dial(const detail::SocketAddress& peer, const detail::SocketAddress* source = nullptr);
    /// Takes over an accepted connection.
    void adopt(evutil_socket_t fd);

    /// Sets how long sent data may stay unacknowledged before the connection is treated as reset; zero, the default: any time.
    /// A peer that is alive and does not read for that long counts as well once its receive window is full.
    void setUnacknowledgedTimeout(std::chrono::milliseconds timeout);

    /// \returns the bytes received and not yet consumed.
    std::string_view input() const { return std::string_view(m_input).substr(m_consumed); }
    void consume(std::size_t n);

    /// Queues bytes to be sent at the end of the current loop iteration.
    void write(std::string_view bytes);
    /// \returns the number of queued bytes not yet passed to the operating system.
    std::size_t backlog() const { return m_output.size() - m_sent; }

    /// \returns whether bytes could not be sent because the connection has failed; they no longer count as backlog.
    bool writeFailed() const { return m_writeFailed; }

    /// \returns the total number of bytes passed to the operating system.
    std::uint64_t bytesSent() const { return m_bytesSent; }

    /// Pauses or resumes receiving; TCP flow control then holds back the peer.
    void pauseReading(bool pause);

    /// Sends the queued bytes and then closes the sending side.
    void finishWriting();

    /// Closes the connection without sending the queued bytes. Afterwards nothing is sent or reported any more.
    void close();

    bool connected() const { return m_connected; }

private:
    friend class StreamLoop;

    static void onReady(evutil_socket_t, short what, void* argument);

    void configure();
    void watch();
    void finishConnect();
    void receive();
    void flush();
    void onWriteFailed(int error);
    void end(StreamEnd end);

    StreamLoop& m_loop;
    StreamUser& m_user;
    evutil_socket_t m_fd = -1;
    bool m_connected = false;
    bool m_ended = false;
    bool m_paused = false;
    bool m_finishing = false;
    bool m_writeFailed = false;
    bool m_reset = false; ///< A write has taken the error that a read would report.
    bool m_dirty = false;
    short m_watched = 0;
    std::chrono::milliseconds m_unacknowledgedTimeout { 0 };
    detail::EventPtr m_event;
    std::string m_input;
    std::size_t m_consumed = 0;
    std::string m_output;
    std::size_t m_sent = 0;
    std::uint64_t m_bytesSent = 0;
};

} // namespace pw
