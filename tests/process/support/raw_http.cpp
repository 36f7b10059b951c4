#include "support/raw_http.h"

#include "support/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <stdexcept>
#include <thread>
#include <vector>

namespace pw::test {
namespace {

    constexpr std::size_t readBytes = 4096;
    constexpr suseconds_t sendBoundMicros = 500'000;

    std::size_t contentLengthIn(const std::string& head)
    {
        constexpr std::string_view name = "Content-Length: ";
        const auto at = head.find(name);
        return at == std::string::npos ? 0 : std::strtoul(head.c_str() + at + name.size(), nullptr, 10);
    }

} // namespace

RawConnection::RawConnection(const std::string& address)
    : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const auto parsed = support::parseAddress(address).value();
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(parsed.port);
    inet_pton(AF_INET, parsed.host.c_str(), &to.sin_addr);
    if (connect(m_fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
        close(m_fd);
        throw std::runtime_error("cannot connect to " + address);
    }
}

RawConnection::RawConnection(int fd)
    : m_fd(fd)
{
    timeval bound { 0, sendBoundMicros };
    (void)setsockopt(m_fd, SOL_SOCKET, SO_SNDTIMEO, &bound, sizeof(bound));
}

RawConnection::~RawConnection()
{
    close(m_fd);
}

void RawConnection::resetOnClose() const
{
    const linger now { 1, 0 };
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

void RawConnection::finishSending() const
{
    ::shutdown(m_fd, SHUT_WR);
}

bool RawConnection::send(const std::string& text) const
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto n = ::send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

bool RawConnection::waitReadable(std::chrono::steady_clock::time_point end) const
{
    const auto left = std::chrono::duration_cast<milliseconds>(end - std::chrono::steady_clock::now());
    pollfd wanted { m_fd, POLLIN, 0 };
    return left.count() > 0 && poll(&wanted, 1, static_cast<int>(left.count())) > 0;
}

std::string RawConnection::readAll(milliseconds bound, bool& closed) const
{
    const auto end = std::chrono::steady_clock::now() + bound;
    std::string text;
    closed = false;
    while (!closed && waitReadable(end)) {
        std::array<char, readBytes> buffer {};
        const auto n = recv(m_fd, buffer.data(), buffer.size(), 0);
        closed = n <= 0;
        text.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
    }
    return text;
}

std::size_t RawConnection::readPaced(std::size_t bytesPerSecond, milliseconds bound) const
{
    constexpr milliseconds pause { 10 };
    std::vector<char> buffer(bytesPerSecond * static_cast<std::size_t>(pause.count()) / 1000);
    std::size_t total = 0;
    while (waitReadable(std::chrono::steady_clock::now() + bound)) {
        const auto n = recv(m_fd, buffer.data(), buffer.size(), 0);
        if (n <= 0) {
            break;
        }
        total += static_cast<std::size_t>(n);
        std::this_thread::sleep_for(pause);
    }
    return total;
}

std::string RawConnection::readAnswer(milliseconds bound) const
{
    const auto end = std::chrono::steady_clock::now() + bound;
    std::string text;
    const auto complete = [&] {
        const auto head = text.find("\r\n\r\n");
        return head != std::string::npos && text.size() >= head + 4 + contentLengthIn(text.substr(0, head + 2));
    };
    while (!complete() && waitReadable(end)) {
        std::array<char, readBytes> buffer {};
        const auto n = recv(m_fd, buffer.data(), buffer.size(), 0);
        if (n <= 0) {
            break;
        }
        text.append(buffer.data(), static_cast<std::size_t>(n));
    }
    return text;
}

int statusIn(const std::string& text)
{
    constexpr std::string_view prefix = "HTTP/1.1 ";
    return text.starts_with(prefix) ? std::atoi(text.c_str() + prefix.size()) : 0;
}

} // namespace pw::test
