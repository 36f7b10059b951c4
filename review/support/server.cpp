#include "support.h"

#include <arpa/inet.h>
#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace review {

Server::Server(Options options, Handler handler)
    : m_options(std::move(options))
    , m_handler(std::move(handler))
    , m_born(static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1)))
{
}

bool Server::start(bool heartbeats)
{
    const auto file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(file, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (m_options.window.receiveBytes > 0) {
        setsockopt(file, SOL_SOCKET, SO_RCVBUF, &m_options.window.receiveBytes, sizeof(int));
    }
    if (m_options.window.segmentBytes > 0) {
        setsockopt(file, IPPROTO_TCP, TCP_MAXSEG, &m_options.window.segmentBytes, sizeof(int));
    }
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(Deployment::appPort);
    inet_pton(AF_INET, m_options.ip.c_str(), &address.sin_addr);
    if (bind(file, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(file, 256) != 0) {
        return false;
    }
    std::thread([this, file] {
        while (true) {
            const auto accepted = accept4(file, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted >= 0) {
                std::thread([this, accepted] { serve(accepted); }).detach();
            }
        }
    }).detach();
    if (heartbeats) {
        std::thread([this] {
            while (m_beats) {
                // Until it is acknowledged, a server reports again soon.
                sleepFor(sendHeartbeat(nextSequence(), "ready") ? Deployment::heartbeat : 0.3);
            }
        }).detach();
    }
    return true;
}

void Server::serve(int file)
{
    Connection connection(file);
    constexpr double idleSeconds = 10;
    while (auto message = connection.readHeader(idleSeconds)) {
        if (message->target() == "/healthz") {
            connection.readBody(*message, 1);
            connection.send("HTTP/1.1 200 OK\r\nPistachiowheel-Instance-Id: " + m_options.id + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        if (const auto expected = message->header("pistachiowheel-expect-instance"); !expected.empty() && expected != m_options.id) {
            connection.readBody(*message, 1);
            connection.send("HTTP/1.1 421 Misdirected Request\r\nPistachiowheel-Request-Id: " + message->header("pistachiowheel-request-id")
                + "\r\nPistachiowheel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        if (!m_handler(connection, *message)) {
            return;
        }
    }
}

bool Server::sendHeartbeat(std::uint64_t sequence, const std::string& state) const
{
    const auto body = R"({"born":)" + std::to_string(m_born) + R"(,"address":")" + m_options.ip + ":" + std::to_string(Deployment::appPort)
        + R"(","info":{"service":")" + m_options.service + R"(","config_version":"v1","zone":")" + m_options.zone + R"(","max_concurrency":)"
        + std::to_string(m_options.slots) + R"(},"status":{"state":")" + state + R"(","seq":)" + std::to_string(sequence)
        + R"(,"cold_remaining_s":0}})";
    const auto answer = request(m_options.ip, Deployment::controlPort,
        "POST /v1/instances/" + m_options.id + "/heartbeat HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body,
        1);
    return answer && answer->status() / 100 == 2;
}

bool Server::deregister() const
{
    const auto body = R"({"born":)" + std::to_string(m_born) + "}";
    const auto answer = request(m_options.ip, Deployment::controlPort,
        "POST /v1/instances/" + m_options.id + "/deregister HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body,
        1);
    return answer && answer->status() / 100 == 2;
}

std::string Server::answer(const Message& message, const std::string& body, bool withLength)
{
    return "HTTP/1.1 200 OK\r\nPistachiowheel-Request-Id: " + message.header("pistachiowheel-request-id")
        + "\r\nPistachiowheel-Response-Signature: 3e1b.07.5a2." + std::to_string(body.size()) + "\r\n"
        + (withLength ? "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" : "Connection: close\r\n\r\n") + body;
}

} // namespace review
