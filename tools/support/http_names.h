#pragma once

/// Header names of the daemon's HTTP interface, as the test programs use them.
namespace pw::support::http {

inline constexpr const char* keyHeader = "Pistachio-Key";
inline constexpr const char* requestIdHeader = "Pistachio-Request-Id";
inline constexpr const char* deadlineHeader = "Pistachio-Deadline-Ms";
inline constexpr const char* contextHeader = "Pistachio-Context";
inline constexpr const char* exchangeHeader = "Pistachio-Exchange";
inline constexpr const char* verdictHeader = "Pistachio-Verdict";
inline constexpr const char* reasonHeader = "Pistachio-Reason";
inline constexpr const char* notRunHeader = "Pistachio-Not-Run";
inline constexpr const char* rateLimitHeader = "Pistachio-Rate-Limit";
inline constexpr const char* leavingHeader = "Pistachio-Leaving";
inline constexpr const char* announcePath = "/v1/announce";
inline constexpr const char* leavePath = "/v1/leave";

} // namespace pw::support::http
