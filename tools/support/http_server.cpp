#include "support/http_server.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <cstdlib>
#include <utility>

namespace pw::support {

std::string ControlRequest::text(const std::string& name, const std::string& fallback) const
{
    const auto it = query.find(name);
    return it == query.end() ? fallback : it->second;
}

double ControlRequest::number(const std::string& name, double fallback) const
{
    const auto it = query.find(name);
    return it == query.end() ? fallback : std::strtod(it->second.c_str(), nullptr);
}

ControlRequest parseTarget(const std::string& target)
{
    ControlRequest result;
    const auto mark = target.find('?');
    result.path = target.substr(0, mark);
    evkeyvalq parameters;
    if (mark == std::string::npos || evhttp_parse_query_str(target.c_str() + mark + 1, &parameters) != 0) {
        return result;
    }
    for (auto* it = parameters.tqh_first; it; it = it->next.tqe_next) {
        result.query[it->key] = it->value;
    }
    evhttp_clear_headers(&parameters);
    return result;
}

ControlRequest parseTarget(evhttp_request* request)
{
    return parseTarget(std::string(evhttp_request_get_uri(request)));
}

void ControlServer::Deleter::operator()(evhttp* http) const
{
    evhttp_free(http);
}

ControlServer::ControlServer(event_base* base, Handler handler)
    : m_handler(std::move(handler))
    , m_http(evhttp_new(base))
{
    evhttp_set_gencb(
        m_http.get(),
        [](evhttp_request* request, void* self) {
            const ControlAnswer answer = static_cast<ControlServer*>(self)->m_handler(parseTarget(request));
            evbuffer* body = evbuffer_new();
            evbuffer_add(body, answer.text.data(), answer.text.size());
            evhttp_send_reply(request, answer.status, nullptr, body);
            evbuffer_free(body);
        },
        this);
}

bool ControlServer::listen(const Address& address)
{
    return evhttp_bind_socket(m_http.get(), address.host.c_str(), address.port) == 0;
}

} // namespace pw::support
