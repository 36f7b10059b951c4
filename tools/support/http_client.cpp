#include "support/http_client.h"

#include "support/loop.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace pw::support {
namespace {

    constexpr std::array<std::pair<const char*, evhttp_cmd_type>, 6> methods { {
        { "GET", EVHTTP_REQ_GET },
        { "POST", EVHTTP_REQ_POST },
        { "PUT", EVHTTP_REQ_PUT },
        { "DELETE", EVHTTP_REQ_DELETE },
        { "HEAD", EVHTTP_REQ_HEAD },
        { "PATCH", EVHTTP_REQ_PATCH },
    } };

    evhttp_cmd_type commandOf(const std::string& method)
    {
        const auto* it = std::ranges::find_if(methods, [&](const auto& row) { return method == row.first; });
        return it == methods.end() ? EVHTTP_REQ_GET : it->second;
    }

    std::string lowerCase(std::string text)
    {
        std::ranges::transform(text, text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return text;
    }

    const char* errorName(evhttp_request_error error)
    {
        switch (error) {
        case EVREQ_HTTP_TIMEOUT:
            return "timeout";
        case EVREQ_HTTP_EOF:
            return "closed";
        case EVREQ_HTTP_INVALID_HEADER:
            return "invalid header";
        case EVREQ_HTTP_DATA_TOO_LONG:
            return "too long";
        default:
            return "failed";
        }
    }

    HttpResult failure(std::string error)
    {
        HttpResult result;
        result.error = std::move(error);
        return result;
    }

    HttpResult readAnswer(evhttp_request* request)
    {
        HttpResult result;
        result.status = evhttp_request_get_response_code(request);
        result.whole = result.status != 0;
        if (!result.whole) {
            result.error = "not connected";
        }
        for (auto* it = evhttp_request_get_input_headers(request)->tqh_first; it; it = it->next.tqe_next) {
            result.headers[lowerCase(it->key)] = it->value;
        }
        evbuffer* input = evhttp_request_get_input_buffer(request);
        result.body.resize(evbuffer_get_length(input));
        evbuffer_remove(input, result.body.data(), result.body.size());
        return result;
    }

} // namespace

std::string HttpResult::header(std::string name) const
{
    const auto it = headers.find(lowerCase(std::move(name)));
    return it == headers.end() ? std::string() : it->second;
}

struct HttpClient::Exchange {
    HttpClient& client;
    evhttp_connection* connection;
    evhttp_request* request = nullptr;
    Done done;
    EventPtr timer;
    std::string error = "failed";
};

HttpClient::HttpClient(event_base* base, Address server)
    : m_base(base)
    , m_server(std::move(server))
{
}

HttpClient::~HttpClient()
{
    std::ranges::for_each(m_idle, evhttp_connection_free);
}

evhttp_connection* HttpClient::takeConnection()
{
    if (m_idle.empty()) {
        return evhttp_connection_base_new(m_base, nullptr, m_server.host.c_str(), m_server.port);
    }
    evhttp_connection* connection = m_idle.back();
    m_idle.pop_back();
    return connection;
}

void HttpClient::send(const HttpRequest& request, std::chrono::milliseconds timeout, Done done)
{
    auto* exchange = new Exchange { *this, takeConnection(), nullptr, std::move(done), nullptr };
    ++m_running;
    exchange->request = evhttp_request_new(
        [](evhttp_request* answer, void* arg) {
            auto* self = static_cast<Exchange*>(arg);
            self->client.finish(*self, answer ? readAnswer(answer) : failure(self->error));
        },
        exchange);
    evhttp_request_set_error_cb(exchange->request, [](evhttp_request_error error, void* arg) { static_cast<Exchange*>(arg)->error = errorName(error); });
    auto* headers = evhttp_request_get_output_headers(exchange->request);
    evhttp_add_header(headers, "Host", m_server.text().c_str());
    for (const auto& [name, value] : request.headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(exchange->request), request.body.data(), request.body.size());
    exchange->timer.reset(evtimer_new(
        m_base,
        [](evutil_socket_t, short, void* arg) {
            auto* self = static_cast<Exchange*>(arg);
            evhttp_cancel_request(self->request);
            self->client.finish(*self, failure("timeout"));
        },
        exchange));
    const timeval tv = toTimeval(timeout);
    evtimer_add(exchange->timer.get(), &tv);
    // On failure evhttp frees the request and does not call back.
    if (evhttp_make_request(exchange->connection, exchange->request, commandOf(request.method), request.target.c_str()) != 0) {
        finish(*exchange, failure("not sent"));
    }
}

void HttpClient::finish(Exchange& exchange, HttpResult result)
{
    const std::unique_ptr<Exchange> owned(&exchange);
    --m_running;
    if (result.whole && lowerCase(result.header("connection")) != "close") {
        m_idle.push_back(owned->connection);
    } else {
        // evhttp still uses the connection after this callback.
        after(m_base, std::chrono::microseconds(0), [connection = owned->connection] { evhttp_connection_free(connection); });
    }
    owned->timer.reset();
    owned->done(std::move(result));
}

HttpResult fetch(const Address& server, const HttpRequest& request, std::chrono::milliseconds timeout)
{
    const BasePtr base = makeBase();
    HttpResult result;
    {
        HttpClient client(base.get(), server);
        client.send(request, timeout, [&](HttpResult ended) {
            result = std::move(ended);
            event_base_loopexit(base.get(), nullptr);
        });
        event_base_dispatch(base.get());
    }
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
    return result;
}

HttpResult fetch(const Address& server, const std::string& target, std::chrono::milliseconds timeout)
{
    HttpRequest request;
    request.target = target;
    return fetch(server, request, timeout);
}

} // namespace pw::support
