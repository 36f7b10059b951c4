#pragma once

#include <string_view>

namespace pw {

namespace http_status {
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

/// \returns the reason phrase of an HTTP status, or "Status" if it is unknown.
std::string_view reasonPhrase(int status);

} // namespace pw
