#include "adapters/http_server.h"

#include "adapters/http_methods.h"
#include "config.h"
#include "core/header_rules.h"

#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace pw {
namespace {

    HttpRequest readRequest(evhttp_request* raw)
    {
        HttpRequest request;
        request.method = methodName(evhttp_request_get_command(raw));
        request.target = evhttp_request_get_uri(raw);
        for (auto* it = evhttp_request_get_input_headers(raw)->tqh_first; it; it = it->next.tqe_next) {
            request.headers.push_back({ it->key, it->value });
        }
        request.body = detail::drain(evhttp_request_get_input_buffer(raw));
        return request;
    }

    /// A message whose length can be read in two ways, or whose target is not a path, is not taken.
    const char* framingFault(const HttpRequest& request)
    {
        auto lengths = countHeader(request.headers, "Content-Length");
        auto codings = countHeader(request.headers, "Transfer-Encoding");
        if (lengths > 1 || codings > 1 || (lengths && codings)) {
            return "ambiguous body length";
        }
        if (codings && !sameHeader(*singleHeader(request.headers, "Transfer-Encoding"), "chunked")) {
            return "transfer coding not supported";
        }
        return request.target.starts_with('/') ? nullptr : "the target must be a path";
    }

} // namespace

HttpExchange::HttpExchange(HttpServer& server, evhttp_request* raw, HttpRequest request)
    : m_server(&server)
    , m_raw(raw)
    , m_request(std::move(request))
{
    m_server->m_pending.insert(this);
    // The library does not watch the connection while a request is worked on.
    auto* buffer = evhttp_connection_get_bufferevent(evhttp_request_get_connection(raw));
    bufferevent_setcb(buffer, nullptr, nullptr, onEvent, this);
    bufferevent_setwatermark(buffer, EV_READ, 0, config::maxHeaderBytes);
    bufferevent_enable(buffer, EV_READ);
}

HttpExchange::~HttpExchange()
{
    reply({ 500, {}, "" });
}

void HttpExchange::reply(const HttpResponse& response)
{
    auto* raw = std::exchange(m_raw, nullptr);
    if (!raw) {
        return;
    }
    m_gone = nullptr;
    m_server->m_pending.erase(this);
    auto* buffer = evhttp_connection_get_bufferevent(evhttp_request_get_connection(raw));
    bufferevent_setwatermark(buffer, EV_READ, 0, 0);
    auto* headers = evhttp_request_get_output_headers(raw);
    std::ranges::for_each(response.headers, [&](const HeaderLine& it) { evhttp_add_header(headers, it.name.c_str(), it.value.c_str()); });
    if (m_server->m_leaving) {
        evhttp_add_header(headers, "Connection", "close");
    }
    auto* output = evhttp_request_get_output_buffer(raw);
    evbuffer_add(output, response.body.data(), response.body.size());
    evhttp_send_reply(raw, response.status, nullptr, nullptr);
}

void HttpExchange::onEvent(bufferevent* buffer, short what, void* argument)
{
    auto* exchange = static_cast<HttpExchange*>(argument);
    if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) || !exchange->m_raw) {
        return;
    }
    bufferevent_disable(buffer, EV_READ);
    if (auto gone = std::exchange(exchange->m_gone, nullptr)) {
        gone();
    }
}

HttpServer::HttpServer(event_base* base, Handler handler)
    : m_base(base)
    , m_handler(std::move(handler))
{
}

HttpServer::~HttpServer()
{
    shutdown();
}

bool HttpServer::init(const std::string& address, std::string& reason)
{
    std::string host;
    std::uint16_t port = 0;
    if (!detail::splitAddress(address, host, port)) {
        reason = "not an ip:port address: " + address;
        return false;
    }
    m_http.reset(evhttp_new(m_base));
    evhttp_set_allowed_methods(m_http.get(), allowedMethods());
    evhttp_set_max_headers_size(m_http.get(), config::maxHeaderBytes);
    evhttp_set_max_body_size(m_http.get(), config::maxBodyBytes);
    auto timeout = detail::toTimeval(config::callerIdleTimeout);
    evhttp_set_timeout_tv(m_http.get(), &timeout);
    evhttp_set_default_content_type(m_http.get(), nullptr);
    evhttp_set_gencb(m_http.get(), onRequest, this);
    m_socket = evhttp_bind_socket_with_handle(m_http.get(), host.c_str(), port);
    if (!m_socket) {
        reason = "cannot listen on " + address + ": " + std::strerror(errno);
        return false;
    }
    return true;
}

void HttpServer::stopListening()
{
    if (m_socket) {
        evhttp_del_accept_socket(m_http.get(), std::exchange(m_socket, nullptr));
    }
}

void HttpServer::shutdown()
{
    std::ranges::for_each(m_pending, [](HttpExchange* it) { it->m_raw = nullptr; });
    m_pending.clear();
    m_http.reset();
    m_socket = nullptr;
}

void HttpServer::onRequest(evhttp_request* raw, void* argument)
{
    auto* server = static_cast<HttpServer*>(argument);
    auto exchange = std::make_shared<HttpExchange>(*server, raw, readRequest(raw));
    if (const auto* fault = framingFault(exchange->request())) {
        const auto& info = reasonInfo(Reason::Malformed);
        exchange->reply({ info.httpStatus,
            { { std::string(header::verdict), std::string(verdictName(Verdict::NotRun)) },
                { std::string(header::reason), std::string(info.name) },
                { "Connection", "close" } },
            std::string(fault) + "\n" });
        return;
    }
    server->m_handler(std::move(exchange));
}

} // namespace pw
