#pragma once

#include "core/http_message.h"

#include <optional>
#include <string_view>
#include <vector>

/// Rules for the headers of HTTP messages that a daemon forwards.
namespace pw {

namespace header {
    inline constexpr std::string_view key = "Pistachio-Key";
    inline constexpr std::string_view requestId = "Pistachio-Request-Id";
    inline constexpr std::string_view deadline = "Pistachio-Deadline-Ms";
    inline constexpr std::string_view context = "Pistachio-Context";
    inline constexpr std::string_view workspace = "Pistachio-Workspace";
    inline constexpr std::string_view exchange = "Pistachio-Exchange";
    inline constexpr std::string_view notRun = "Pistachio-Not-Run";
    inline constexpr std::string_view rateLimit = "Pistachio-Rate-Limit";
    inline constexpr std::string_view leaving = "Pistachio-Leaving";
    inline constexpr std::string_view verdict = "Pistachio-Verdict";
    inline constexpr std::string_view reason = "Pistachio-Reason";
    inline constexpr std::string_view retryAfterMs = "Pistachio-Retry-After-Ms";
    /// Prefix of all headers that pistachiowheel defines.
    inline constexpr std::string_view ownPrefix = "Pistachio-";
} // namespace header

/// Prefix of every key, used to detect keys outside of the key header.
inline constexpr std::string_view keyPrefix = "pwk_";

/// \returns whether two header names are equal, ignoring case.
bool sameHeader(std::string_view a, std::string_view b);

/// \returns the value of the header \p name, or nothing if it is absent or repeated.
std::optional<std::string_view> singleHeader(const std::vector<HeaderLine>& headers, std::string_view name);

/// \returns how often \p name occurs.
std::size_t countHeader(const std::vector<HeaderLine>& headers, std::string_view name);

/// \returns the headers to forward: without hop-by-hop headers, headers that are generated for every message, and headers
/// whose name begins with \p ownPrefix. An empty prefix matches no header.
std::vector<HeaderLine> forwardedHeaders(const std::vector<HeaderLine>& headers, std::string_view ownPrefix);

/// \returns whether the length of \p answer is defined by its status or headers instead of the end of the connection.
bool hasExplicitFraming(const HttpResponse& answer);

/// \returns whether the request contains a key anywhere but in the key header.
bool hasMisplacedKey(std::string_view target, const std::vector<HeaderLine>& headers, std::string_view body);

} // namespace pw
