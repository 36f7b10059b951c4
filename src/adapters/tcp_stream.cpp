#include "adapters/tcp_stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace pw {
namespace {

    /// Maximum number of bytes read per system call.
    constexpr std::size_t receiveBytes = 64 * 1024;
    /// Buffer capacity that a connection keeps between messages.
    constexpr std::size_t keptBufferBytes = 4 * 1024;

    constexpr std::array<std::string_view, static_cast<std::size_t>(StreamEnd::Count)> endNames { "end-of-stream", "reset",
        "not-connected" };

    bool isTransient(int error)
    {
        return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
    }

    void releaseSpare(std::string& buffer)
    {
        buffer.clear();
        if (buffer.capacity() > keptBufferBytes) {
            std::string().swap(buffer);
        }
    }

} // namespace

std::string_view streamEndName(StreamEnd end)
{
    return endNames.at(static_cast<std::size_t>(end));
}

StreamLoop::StreamLoop(event_base* base)
    : m_base(base)
    , m_flushEvent(event_new(base, -1, 0, onFlush, this))
{
}

StreamLoop::~StreamLoop() = default;

void StreamLoop::onFlush(evutil_socket_t, short, void* argument)
{
    static_cast<StreamLoop*>(argument)->flush();
}

void StreamLoop::scheduleFlush(TcpStream* stream)
{
    if (m_dirty.empty()) {
        event_active(m_flushEvent.get(), EV_TIMEOUT, 0);
    }
    m_dirty.push_back(stream);
}

void StreamLoop::removeStream(TcpStream* stream)
{
    std::ranges::replace(m_dirty, stream, nullptr);
    std::ranges::replace(m_flushing, stream, nullptr);
}

void StreamLoop::flush()
{
    m_flushing.swap(m_dirty);
    for (auto* stream : m_flushing) {
        if (stream) {
            stream->m_dirty = false;
            stream->flush();
        }
    }
    m_flushing.clear();
}

TcpStream::TcpStream(StreamLoop& loop, StreamUser& user)
    : m_loop(loop)
    , m_user(user)
{
}

TcpStream::~TcpStream()
{
    close();
}

void TcpStream::close()
{
    if (std::exchange(m_dirty, false)) {
        m_loop.removeStream(this);
    }
    m_event.reset();
    m_watched = 0;
    m_ended = true;
    m_connected = false;
    if (m_fd >= 0) {
        ::close(std::exchange(m_fd, -1));
    }
}

bool TcpStream::dial(const detail::SocketAddress& peer, const detail::SocketAddress* source)
{
    m_fd = socket(peer.get()->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_fd < 0 || (source && bind(m_fd, source->get(), source->length) != 0)) {
        return false;
    }
    configure();
    if (connect(m_fd, peer.get(), peer.length) != 0 && errno != EINPROGRESS) {
        return false;
    }
    watch();
    return true;
}

void TcpStream::adopt(evutil_socket_t fd)
{
    m_fd = fd;
    m_connected = true;
    configure();
    watch();
}

void TcpStream::configure()
{
    detail::configureSocket(m_fd);
    setUnacknowledgedTimeout(std::exchange(m_unacknowledgedTimeout, std::chrono::milliseconds(0)));
}

void TcpStream::setUnacknowledgedTimeout(std::chrono::milliseconds timeout)
{
    if (std::exchange(m_unacknowledgedTimeout, timeout) == timeout || m_fd < 0) {
        return;
    }
    const auto value = static_cast<unsigned>(timeout.count());
    setsockopt(m_fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof(value));
}

void TcpStream::consume(std::size_t n)
{
    m_consumed += n;
    if (m_consumed == m_input.size()) {
        releaseSpare(m_input);
        m_consumed = 0;
    } else if (m_consumed > receiveBytes) {
        m_input.erase(0, std::exchange(m_consumed, 0));
    }
}

void TcpStream::write(std::string_view bytes)
{
    if (m_ended || m_finishing) {
        return;
    }
    m_output += bytes;
    if (m_connected && !m_dirty && !(m_watched & EV_WRITE)) {
        m_dirty = true;
        m_loop.scheduleFlush(this);
    }
}

void TcpStream::pauseReading(bool pause)
{
    if (m_paused != pause) {
        m_paused = pause;
        watch();
    }
}

void TcpStream::finishWriting()
{
    m_finishing = true;
    flush();
}

/// Registers for the readiness events that are needed now.
void TcpStream::watch()
{
    const bool wantsWrite = !m_connected || backlog() > 0;
    const auto wanted = static_cast<short>((m_paused || !m_connected ? 0 : EV_READ) | (wantsWrite ? EV_WRITE : 0));
    if (m_ended || m_fd < 0 || (wanted == m_watched && m_event)) {
        return;
    }
    m_watched = wanted;
    if (!m_event) {
        m_event.reset(event_new(m_loop.base(), m_fd, static_cast<short>(wanted | EV_PERSIST), onReady, this));
    } else {
        event_del(m_event.get());
        event_assign(m_event.get(), m_loop.base(), m_fd, static_cast<short>(wanted | EV_PERSIST), onReady, this);
    }
    if (wanted) {
        event_add(m_event.get(), nullptr);
    }
}

void TcpStream::onReady(evutil_socket_t, short what, void* argument)
{
    auto* stream = static_cast<TcpStream*>(argument);
    if (!stream->m_connected) {
        stream->finishConnect();
        return;
    }
    if (what & EV_WRITE) {
        stream->flush();
    }
    if (what & EV_READ) {
        stream->receive();
    }
}

void TcpStream::finishConnect()
{
    int error = 0;
    socklen_t size = sizeof(error);
    if (getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        end(StreamEnd::NotConnected);
        return;
    }
    m_connected = true;
    flush();
    watch();
    m_user.streamConnected();
}

void TcpStream::receive()
{
    static std::array<char, receiveBytes> buf;
    const auto n = recv(m_fd, buf.data(), buf.size(), 0);
    if (n > 0) {
        m_input.append(buf.data(), static_cast<std::size_t>(n));
        m_user.streamReadable();
    } else if (n == 0) {
        end(m_reset ? StreamEnd::Reset : StreamEnd::EndOfStream);
    } else if (!isTransient(errno)) {
        end(StreamEnd::Reset);
    }
}

void TcpStream::flush()
{
    while (m_connected && backlog() > 0) {
        const auto n = send(m_fd, m_output.data() + m_sent, backlog(), MSG_NOSIGNAL);
        if (n < 0) {
            if (!isTransient(errno)) {
                onWriteFailed(errno);
            }
            break;
        }
        m_sent += static_cast<std::size_t>(n);
        m_bytesSent += static_cast<std::uint64_t>(n);
    }
    if (backlog() == 0) {
        releaseSpare(m_output);
        m_sent = 0;
    }
    if (m_finishing && m_connected && backlog() == 0) {
        shutdown(m_fd, SHUT_WR);
    }
    watch();
}

/// Discards the unsent bytes. What the peer sent before is still read, then end() reports how the connection ended.
void TcpStream::onWriteFailed(int error)
{
    m_sent = m_output.size();
    m_writeFailed = true;
    // The error is reported only once, so that a read returns the end of the stream after it. EPIPE means that the peer had
    // closed its side orderly before the reset.
    m_reset = m_reset || error != EPIPE;
}

void TcpStream::end(StreamEnd end)
{
    if (std::exchange(m_ended, true)) {
        return;
    }
    m_event.reset();
    m_watched = 0;
    m_user.streamEnded(end);
}

} // namespace pw
