#pragma once

#include <string_view>

namespace pw {

namespace http_status {
    inline constexpr int firstInterim = 100;
    inline constexpr int switchingProtocols = 101;
    inline constexpr int firstFinal = 200;
    inline constexpr int lastFinal = 599;
    inline constexpr int ok = 200;
    inline constexpr int noContent = 204;
    inline constexpr int notModified = 304;
    inline constexpr int badRequest = 400;
    inline constexpr int requestTimeout = 408;
    inline constexpr int bodyTooLarge = 413;
    inline constexpr int misdirected = 421;
    inline constexpr int headersTooLarge = 431;
    inline constexpr int internalError = 500;
    inline constexpr int unavailable = 503;
} // namespace http_status

/// \returns whether \p status ends an exchange.
constexpr bool isFinalStatus(int status)
{
    return status >= http_status::firstFinal && status <= http_status::lastFinal;
}

/// \returns whether \p status is that of an interim response, which another one follows on the same connection.
constexpr bool isInterimStatus(int status)
{
    return status >= http_status::firstInterim && status < http_status::firstFinal && status != http_status::switchingProtocols;
}

/// \returns whether a response with \p status ends with its header, whatever that says.
constexpr bool hasNoBody(int status)
{
    return isInterimStatus(status) || status == http_status::noContent || status == http_status::notModified;
}

/// \returns the reason phrase of an HTTP status, or "Status" if it is unknown.
std::string_view reasonPhrase(int status);

} // namespace pw
