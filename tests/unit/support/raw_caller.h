#pragma once

#include <boost/test/unit_test.hpp>

#include <event2/util.h>

#include <array>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace pw::test {

/// A non-blocking connection of a caller, which sends bytes as they are.
class RawCaller {
public:
    explicit RawCaller(const std::string& address)
    {
        sockaddr_storage to {};
        int length = sizeof(to);
        BOOST_REQUIRE(evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr*>(&to), &length) == 0);
        m_fd = ::socket(AF_INET, SOCK_STREAM, 0);
        BOOST_REQUIRE(::connect(m_fd, reinterpret_cast<const sockaddr*>(&to), static_cast<socklen_t>(length)) == 0);
        evutil_make_socket_nonblocking(m_fd);
    }

    ~RawCaller() { close(); }
    RawCaller(const RawCaller&) = delete;
    RawCaller& operator=(const RawCaller&) = delete;

    void send(const std::string& bytes) const { BOOST_REQUIRE(::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size())); }

    /// \returns the bytes that have arrived.
    std::string receive()
    {
        std::string bytes;
        std::array<char, 4096> buf {};
        auto n = ::recv(m_fd, buf.data(), buf.size(), 0);
        for (; n > 0; n = ::recv(m_fd, buf.data(), buf.size(), 0)) {
            bytes.append(buf.data(), static_cast<std::size_t>(n));
        }
        m_ended = m_ended || n == 0;
        return bytes;
    }

    /// \returns whether receive() has seen the end of the connection.
    bool ended() const { return m_ended; }

    /// \param reset sends a reset instead of an orderly end.
    void close(bool reset = false)
    {
        if (m_fd < 0) {
            return;
        }
        const linger atOnce { 1, 0 };
        if (reset) {
            setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
        }
        ::close(std::exchange(m_fd, -1));
    }

private:
    int m_fd = -1;
    bool m_ended = false;
};

} // namespace pw::test
