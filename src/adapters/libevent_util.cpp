#include "adapters/libevent_util.h"

#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <charconv>

namespace pw::detail {

bool parseAddress(const std::string& text, SocketAddress& result)
{
    int length = sizeof(result.storage);
    if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&result.storage), &length) != 0) {
        return false;
    }
    result.length = static_cast<socklen_t>(length);
    return true;
}

void SocketAddress::setPort(std::uint16_t port)
{
    if (storage.ss_family == AF_INET) {
        reinterpret_cast<sockaddr_in&>(storage).sin_port = htons(port);
    } else {
        reinterpret_cast<sockaddr_in6&>(storage).sin6_port = htons(port);
    }
}

bool splitAddress(const std::string& text, std::string& host, std::uint16_t& port)
{
    auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return false;
    }
    host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    auto [end, ec] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    return ec == std::errc() && end == text.data() + text.size() && port != 0;
}

void configureSocket(evutil_socket_t fd)
{
    int noDelay = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
}

std::string drain(evbuffer* buffer)
{
    std::string result(evbuffer_get_length(buffer), '\0');
    if (!result.empty()) {
        evbuffer_remove(buffer, result.data(), result.size());
    }
    return result;
}

} // namespace pw::detail
