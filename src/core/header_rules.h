#pragma once

#include "core/http_message.h"

#include <optional>
#include <string_view>
#include <vector>

/// Rules for the headers of HTTP messages that pass through a daemon.
namespace pw {

namespace header {
    inline constexpr std::string_view key = "Pistachio-Key";
    inline constexpr std::string_view requestId = "Pistachio-Request-Id";
    inline constexpr std::string_view deadline = "Pistachio-Deadline-Ms";
    inline constexpr std::string_view context = "Pistachio-Context";
    inline constexpr std::string_view workspace = "Pistachio-Workspace";
    inline constexpr std::string_view exchange = "Pistachio-Exchange";
    inline constexpr std::string_view notRun = "Pistachio-Not-Run";
    inline constexpr std::string_view verdict = "Pistachio-Verdict";
    inline constexpr std::string_view reason = "Pistachio-Reason";
    inline constexpr std::string_view retryAfterMs = "Pistachio-Retry-After-Ms";
    /// Begins the name of every header of the product's own interface.
    inline constexpr std::string_view ownPrefix = "Pistachio-";
} // namespace header

/// Prefix of every key, by which a key in the wrong place is recognised.
inline constexpr std::string_view keyPrefix = "pwk_";

/// \returns whether two header names are the same, case aside.
bool sameHeader(std::string_view a, std::string_view b);

/// \returns the value of the one header \p name; nothing when it is absent or repeated.
std::optional<std::string_view> singleHeader(const std::vector<HeaderLine>& headers, std::string_view name);

/// \returns how often \p name occurs.
std::size_t countHeader(const std::vector<HeaderLine>& headers, std::string_view name);

/// \returns the headers that may be passed on: none that is hop-by-hop, that every message is given anew, or whose name
/// begins with \p ownPrefix; an empty prefix is none.
std::vector<HeaderLine> forwardedHeaders(const std::vector<HeaderLine>& headers, std::string_view ownPrefix);

/// \returns whether the end of \p answer was marked by its header, not only by the end of its connection.
bool endIsMarked(const HttpResponse& answer);

/// \returns whether the request carries a key anywhere but in its key header.
bool hasMisplacedKey(std::string_view target, const std::vector<HeaderLine>& headers, std::string_view body);

} // namespace pw
