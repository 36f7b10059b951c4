#include "adapters/http_server.h"

#include "adapters/http_connection.h"
#include "adapters/http_status.h"
#include "config.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <utility>

namespace pw {

HttpExchange::HttpExchange(std::shared_ptr<std::size_t> pending, detail::HttpConnection& connection, std::uint64_t slot, HttpRequest request)
    : m_pending(std::move(pending))
    , m_connection(&connection)
    , m_slot(slot)
    , m_request(std::move(request))
{
    ++*m_pending;
}

HttpExchange::~HttpExchange()
{
    reply({ http_status::internalError, {}, "" });
}

void HttpExchange::reply(const HttpResponse& response)
{
    const auto pending = std::exchange(m_pending, nullptr);
    if (!pending) {
        return;
    }
    --*pending;
    m_gone = nullptr;
    if (auto* connection = std::exchange(m_connection, nullptr)) {
        connection->answer(m_slot, response);
    }
}

void HttpExchange::notifyDisconnected()
{
    if (auto gone = std::exchange(m_gone, nullptr)) {
        gone();
    }
}

HttpServer::HttpServer(StreamLoop& loop, Timers& timers, Handler handler, FaultAnswer faultAnswer)
    : m_loop(loop)
    , m_timers(timers)
    , m_handler(std::move(handler))
    , m_faultAnswer(std::move(faultAnswer))
    , m_limits({ { config::maxHeaderBytes, config::maxBodyBytes }, config::callerIdleTimeout, config::callerIdleTimeout,
          config::maxCallerConnections })
{
}

HttpServer::~HttpServer()
{
    shutdown();
    m_timers.cancel(m_sweepTimer);
    m_timers.cancel(m_releaseTimer);
    m_timers.cancel(m_acceptTimer);
}

bool HttpServer::init(const std::string& address, std::string& reason)
{
    detail::SocketAddress parsed;
    if (!detail::parseAddress(address, parsed)) {
        reason = "not an ip:port address: " + address;
        return false;
    }
    constexpr unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC;
    m_listener.reset(evconnlistener_new_bind(m_loop.base(), onAccepted, this, flags, config::listenBacklog, parsed.get(),
        static_cast<int>(parsed.length)));
    if (!m_listener) {
        reason = "cannot listen on " + address + ": " + std::strerror(errno);
        return false;
    }
    evconnlistener_set_error_cb(m_listener.get(), onAcceptFailed);
    return true;
}

void HttpServer::stopListening()
{
    acceptQueued();
    m_listener.reset();
}

/// Accepts the queued connections, which the operating system would reset when the listener is closed.
void HttpServer::acceptQueued()
{
    if (!m_listener) {
        return;
    }
    const auto listening = evconnlistener_get_fd(m_listener.get());
    for (auto fd = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC); fd >= 0;
         fd = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) {
        accept(fd);
    }
}

std::size_t HttpServer::unfinished() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_connections, [](const auto& it) { return it.first->unfinished(); }));
}

void HttpServer::pauseListening(bool pause)
{
    if (m_listener) {
        pause ? evconnlistener_disable(m_listener.get()) : evconnlistener_enable(m_listener.get());
    }
}

void HttpServer::closeIdle()
{
    std::vector<detail::HttpConnection*> idle;
    for (const auto& [connection, owned] : m_connections) {
        if (connection->idle()) {
            idle.push_back(connection);
        }
    }
    std::ranges::for_each(idle, [](auto* it) { it->drop(); });
}

void HttpServer::shutdown()
{
    m_listener.reset();
    while (!m_connections.empty()) {
        m_connections.begin()->first->drop();
    }
}

void HttpServer::onAccepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* argument)
{
    static_cast<HttpServer*>(argument)->accept(fd);
}

/// File descriptors or another temporary resource are exhausted; new connections wait in the listen queue.
void HttpServer::onAcceptFailed(evconnlistener* listener, void* argument)
{
    auto* server = static_cast<HttpServer*>(argument);
    server->closeIdlestConnections();
    evconnlistener_disable(listener);
    server->m_acceptTimer = server->m_timers.after(config::acceptRetryDelay, [server] {
        server->m_acceptTimer = 0;
        server->pauseListening(false);
    });
}

/// Closes several connections that were idle longest.
void HttpServer::closeIdlestConnections()
{
    std::vector<detail::HttpConnection*> idle;
    for (const auto& [connection, owned] : m_connections) {
        if (connection->idle()) {
            idle.push_back(connection);
        }
    }
    const auto wanted = std::min(idle.size(), m_connections.size() / config::idleCloseDivisor + 1);
    const auto last = idle.begin() + static_cast<std::ptrdiff_t>(wanted);
    std::ranges::partial_sort(idle, last, {}, &detail::HttpConnection::lastProgress);
    std::for_each(idle.begin(), last, [](auto* it) { it->drop(); });
}

void HttpServer::accept(evutil_socket_t fd)
{
    if (m_connections.size() >= m_limits.connections) {
        closeIdlestConnections();
    }
    auto connection = std::make_unique<detail::HttpConnection>(*this, fd);
    auto* raw = connection.get();
    m_connections.emplace(raw, std::move(connection));
    scheduleSweep();
}

void HttpServer::remove(detail::HttpConnection* connection)
{
    auto node = m_connections.extract(connection);
    if (node.empty()) {
        return;
    }
    m_removed.push_back(std::move(node.mapped()));
    if (!m_releaseTimer) {
        m_releaseTimer = m_timers.after(Duration::zero(), [this] {
            m_releaseTimer = 0;
            m_removed.clear();
        });
    }
}

void HttpServer::scheduleSweep()
{
    if (!m_sweepTimer && !m_connections.empty()) {
        m_sweepTimer = m_timers.after(config::httpIdleCheckInterval, [this] { sweep(); });
    }
}

void HttpServer::sweep()
{
    m_sweepTimer = 0;
    const auto now = m_timers.now();
    std::vector<detail::HttpConnection*> connections;
    connections.reserve(m_connections.size());
    std::ranges::transform(m_connections, std::back_inserter(connections), [](const auto& it) { return it.first; });
    for (auto* connection : connections) {
        if (m_connections.contains(connection)) {
            connection->check(now);
        }
    }
    scheduleSweep();
}

} // namespace pw
