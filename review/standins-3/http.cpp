#include "http.h"

#include "record.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cmath>
#include <cstdlib>
#include <sstream>

namespace review {
namespace {

    sockaddr_in socketAddress(const Address& address)
    {
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
        return result;
    }

    bool sameName(const std::string& a, const std::string& b)
    {
        return std::ranges::equal(a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
    }

    int millisUntil(double until)
    {
        return std::max(0, static_cast<int>(std::ceil((until - now()) * 1000)));
    }

    /// Reads the start line and the headers. \returns whether they are valid.
    bool parseHead(const std::string& head, Message& message)
    {
        std::istringstream lines(head);
        std::string line;
        std::getline(lines, line);
        std::istringstream first(line);
        std::string a;
        std::string b;
        first >> a >> b;
        if (a.starts_with("HTTP/")) {
            message.status = std::atoi(b.c_str());
        } else {
            message.method = a;
            message.target = b;
        }
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const auto colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            const auto value = line.find_first_not_of(" \t", colon + 1);
            message.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
        }
        return !a.empty() && !b.empty();
    }

} // namespace

std::string Message::header(const std::string& name) const
{
    const auto it = std::ranges::find_if(headers, [&](const auto& entry) { return sameName(entry.first, name); });
    return it == headers.end() ? "" : it->second;
}

Connection::Connection(int fd)
    : m_fd(fd)
{
}

Connection::~Connection()
{
    close();
}

void Connection::close()
{
    if (m_fd >= 0) {
        ::close(m_fd);
    }
    m_fd = -1;
    m_input.clear();
}

bool Connection::dial(const Address& to, double until)
{
    close();
    m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int flags = fcntl(m_fd, F_GETFL);
    fcntl(m_fd, F_SETFL, flags | O_NONBLOCK);
    const auto address = socketAddress(to);
    if (connect(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 && errno != EINPROGRESS) {
        close();
        return false;
    }
    pollfd wait { m_fd, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof error;
    if (poll(&wait, 1, millisUntil(until)) != 1 || getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        close();
        return false;
    }
    fcntl(m_fd, F_SETFL, flags);
    const int on = 1;
    setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return true;
}

bool Connection::send(const std::string& bytes)
{
    std::size_t sent = 0;
    while (m_fd >= 0 && sent < bytes.size()) {
        const auto n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return m_fd >= 0;
}

bool Connection::fill(double until)
{
    pollfd wait { m_fd, POLLIN, 0 };
    if (m_fd < 0) {
        return false;
    }
    if (poll(&wait, 1, millisUntil(until)) != 1) {
        m_timedOut = true;
        return false;
    }
    std::array<char, 65536> buffer;
    const auto n = recv(m_fd, buffer.data(), buffer.size(), 0);
    if (n <= 0) {
        return false;
    }
    m_input.append(buffer.data(), static_cast<std::size_t>(n));
    return true;
}

std::optional<Message> Connection::read(double until)
{
    m_timedOut = false;
    auto end = m_input.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!fill(until)) {
            return std::nullopt;
        }
        end = m_input.find("\r\n\r\n");
    }
    Message message;
    if (!parseHead(m_input.substr(0, end + 2), message)) {
        return std::nullopt;
    }
    const auto length = static_cast<std::size_t>(std::atoll(message.header("Content-Length").c_str()));
    const auto begin = end + 4;
    while (m_input.size() < begin + length) {
        if (!fill(until)) {
            return std::nullopt;
        }
    }
    message.body = m_input.substr(begin, length);
    m_input.erase(0, begin + length);
    return message;
}

bool Connection::peerClosed() const
{
    pollfd wait { m_fd, POLLRDHUP, 0 };
    return m_fd < 0 || (poll(&wait, 1, 0) == 1 && (wait.revents & (POLLRDHUP | POLLHUP | POLLERR)));
}

std::string render(const std::string& method, const std::string& target, const Headers& headers, const std::string& body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

std::string renderAnswer(int status, const Headers& headers, const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::optional<Message> exchange(const Address& to, const std::string& request, double until)
{
    Connection connection;
    if (!connection.dial(to, until) || !connection.send(request)) {
        return std::nullopt;
    }
    return connection.read(until);
}

int listenOn(const Address& address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto bound = socketAddress(address);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&bound), sizeof bound) != 0 || listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

} // namespace review
