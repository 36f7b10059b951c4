#include "support/raw_server.h"

#include "support/address.h"
#include "support/http_client.h"
#include "support/http_names.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace pw::test {
namespace {

    constexpr milliseconds pollTime { 20 };
    constexpr milliseconds announceInterval { 500 };
    constexpr milliseconds announceTimeout { 900 };
    constexpr int backlog = 64;

    int listenOn(const std::string& address)
    {
        const auto parsed = support::parseAddress(address).value();
        sockaddr_in at {};
        at.sin_family = AF_INET;
        at.sin_port = htons(parsed.port);
        inet_pton(AF_INET, parsed.host.c_str(), &at.sin_addr);
        const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 || listen(fd, backlog) != 0) {
            close(fd);
            throw std::runtime_error("cannot listen on " + address);
        }
        return fd;
    }

} // namespace

RawServer::RawServer(std::string address, Script script)
    : m_address(std::move(address))
    , m_script(std::move(script))
    , m_listener(listenOn(m_address))
    , m_accepting([this] { acceptAll(); })
{
}

RawServer::~RawServer()
{
    m_stopping = true;
    m_accepting.join();
    if (m_announcing.joinable()) {
        m_announcing.join();
    }
    std::ranges::for_each(m_connections, [](auto& it) { it.join(); });
    close(m_listener);
}

void RawServer::announceTo(const std::string& daemon, const std::string& service, std::size_t slots)
{
    support::HttpRequest request;
    request.method = "POST";
    request.target = std::string(support::http::announcePath) + "?service=" + service + "&address=" + m_address + "&slots=" + std::to_string(slots) + "&connections=330";
    m_announcing = std::thread([this, daemon = support::parseAddress(daemon).value(), request] {
        while (!m_stopping) {
            (void)support::fetch(daemon, request, announceTimeout);
            std::this_thread::sleep_for(announceInterval);
        }
    });
}

void RawServer::acceptAll()
{
    while (!m_stopping) {
        pollfd wanted { m_listener, POLLIN, 0 };
        if (poll(&wanted, 1, static_cast<int>(pollTime.count())) <= 0) {
            continue;
        }
        const auto fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) {
            m_connections.emplace_back([this, fd, number = m_connections.size()] {
                const RawConnection connection(fd);
                m_script(connection, number);
            });
        }
    }
}

} // namespace pw::test
