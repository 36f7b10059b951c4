#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

#include <sys/socket.h>
#include <sys/time.h>

#include <chrono>
#include <memory>
#include <string>

/// Owning pointers and conversions for libevent's C types.
namespace pw::detail {

template <auto function>
struct Release {
    template <typename T>
    void operator()(T* object) const
    {
        function(object);
    }
};

using BasePtr = std::unique_ptr<event_base, Release<event_base_free>>;
using EventPtr = std::unique_ptr<event, Release<event_free>>;
using BufferEventPtr = std::unique_ptr<bufferevent, Release<bufferevent_free>>;
using ListenerPtr = std::unique_ptr<evconnlistener, Release<evconnlistener_free>>;
using HttpPtr = std::unique_ptr<evhttp, Release<evhttp_free>>;
using HttpConnectionPtr = std::unique_ptr<evhttp_connection, Release<evhttp_connection_free>>;

/// \returns \p duration as a timeval, rounded down to microseconds.
template <typename Rep, typename Period>
timeval toTimeval(std::chrono::duration<Rep, Period> duration)
{
    auto micros = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    return { static_cast<time_t>(micros / 1'000'000), static_cast<suseconds_t>(micros % 1'000'000) };
}

/// Socket address for system calls.
struct SocketAddress {
    sockaddr_storage storage {};
    socklen_t length = 0;

    const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
    void setPort(std::uint16_t port);
};

/// Parses "ip:port" or "[ip]:port". \returns whether \p text is such an address.
bool parseAddress(const std::string& text, SocketAddress& result);

/// Splits "ip:port" into host and port. \returns whether \p text is such an address.
bool splitAddress(const std::string& text, std::string& host, std::uint16_t& port);

/// Disables Nagle's algorithm.
void configureSocket(evutil_socket_t fd);

/// Removes the content of \p buffer and returns it.
std::string drain(evbuffer* buffer);

} // namespace pw::detail
