#pragma once

#include "adapters/http_server.h"
#include "core/header_rules.h"

#include <algorithm>
#include <arpa/inet.h>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace pw::test {

/// \returns an address on loopback at which nothing listens.
inline std::string freeAddress()
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof(address);
    const auto fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto bound = ::bind(fd, reinterpret_cast<const sockaddr*>(&address), n) == 0
        && ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n) == 0;
    ::close(fd);
    return "127.0.0.1:" + std::to_string(bound ? ntohs(address.sin_port) : 0);
}

/// Backend server with the platform's HTTP protocol and a warm-up time.
class StubServer {
public:
    /// A request that has reached the server.
    struct Received {
        TimePoint at;
        bool probe = false;
    };

    StubServer(StreamLoop& loop, Timers& timers, std::string address)
        : m_loop(loop)
        , m_timers(timers)
        , m_address(std::move(address))
    {
    }

    /// Starts the server, which stays cold for \p cold.
    bool start(Duration cold)
    {
        coldUntil = m_timers.now() + cold;
        m_http = std::make_unique<HttpServer>(m_loop, m_timers, [this](const std::shared_ptr<HttpExchange>& exchange) { onRequest(exchange); });
        std::string reason;
        return m_http->init(m_address, reason);
    }

    /// Ends the server: all connections are closed and new ones refused.
    void stop()
    {
        m_held.clear();
        m_http.reset();
    }

    /// Closes the connections without a request.
    void closeIdle() { m_http->closeIdle(); }

    /// \returns the largest number of requests within one second, from \p begin on.
    std::size_t mostInOneSecond(TimePoint begin) const
    {
        std::size_t most = 0;
        for (auto first = received.begin(); first != received.end(); ++first) {
            const auto last = std::find_if(first, received.end(), [&](const Received& it) { return it.at >= first->at + std::chrono::seconds(1); });
            most = first->at < begin ? most : std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

    std::size_t probes() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(received, &Received::probe));
    }

    std::string instance = "i-1"; ///< Named in health responses.
    int healthStatus = 200;
    bool statesColdTime = true; ///< Otherwise the header of health responses cannot be read. A warm server leaves it out.
    bool answers = true; ///< Otherwise requests are held without a response.
    bool closes = false; ///< Closes each connection after the response.
    TimePoint coldUntil {};
    std::vector<Received> received;

private:
    void onRequest(const std::shared_ptr<HttpExchange>& exchange)
    {
        const auto isProbe = exchange->request().target == "/healthz";
        received.push_back({ m_timers.now(), isProbe });
        if (!answers) {
            m_held.push_back(exchange);
            return;
        }
        HttpResponse response { isProbe ? healthStatus : 200, {}, "ok" };
        if (const auto id = singleHeader(exchange->request().headers, "Pistachiowheel-Request-Id")) {
            response.headers.push_back({ "Pistachiowheel-Request-Id", std::string(*id) });
        }
        if (isProbe) {
            response.headers.push_back({ "Pistachiowheel-Instance-Id", instance });
        } else {
            response.headers.push_back({ "Pistachiowheel-Response-Signature", "3e1b.07" });
        }
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(std::max(coldUntil - m_timers.now(), Duration::zero()));
        if (isProbe && !statesColdTime) {
            response.headers.push_back({ "Pistachiowheel-Cold-Ms", "soon" });
        } else if (isProbe && left.count() > 0) {
            response.headers.push_back({ "Pistachiowheel-Cold-Ms", std::to_string(left.count()) });
        }
        if (closes) {
            m_http->leave();
        }
        exchange->reply(response);
    }

    StreamLoop& m_loop;
    Timers& m_timers;
    std::string m_address;
    std::unique_ptr<HttpServer> m_http;
    std::vector<std::shared_ptr<HttpExchange>> m_held;
};

} // namespace pw::test
