#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

/// An address on loopback.
struct Address {
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

/// A request or an answer.
struct Message {
    std::string method;
    std::string target;
    int status = 0;
    Headers headers;
    std::string body;

    std::string header(const std::string& name) const;
};

/// One HTTP/1.1 connection with blocking calls that end at a time of now().
class Connection {
public:
    Connection() = default;
    explicit Connection(int fd);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /// Connects from the address \p from, or from any if it is empty.
    bool dial(const Address& to, double until);
    bool send(const std::string& bytes);
    /// Reads one message. \returns nothing if the connection ended, the time passed or the bytes are no message.
    std::optional<Message> read(double until);
    /// \returns whether the peer has closed or reset the connection.
    bool peerClosed() const;
    /// \returns whether the last read() ended because of the time.
    bool timedOut() const { return m_timedOut; }
    bool isOpen() const { return m_fd >= 0; }
    void close();

private:
    bool fill(double until);

    int m_fd = -1;
    bool m_timedOut = false;
    std::string m_input;
};

std::string render(const std::string& method, const std::string& target, const Headers& headers, const std::string& body);
std::string renderAnswer(int status, const Headers& headers, const std::string& body);

/// Sends one request on a new connection. \returns nothing without a whole answer.
std::optional<Message> exchange(const Address& to, const std::string& request, double until);

/// \returns a listening socket, or -1.
int listenOn(const Address& address);

} // namespace review
