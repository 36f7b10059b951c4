#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace pw::load {

/// One kind of request with its own arrival process.
struct Mix {
    std::string name;
    std::string workspace; ///< Only for the report.
    std::string key; ///< Empty: no key is sent.
    std::string method = "GET";
    std::string path = "/";
    double rate = 1; ///< Requests a second, Poisson arrivals.
    std::chrono::milliseconds from { 0 }; ///< Arrivals begin and end, after the start of the run.
    std::chrono::milliseconds to = std::chrono::hours(24);
    std::chrono::milliseconds timeout { 5000 };
    std::uint32_t retries = 0; ///< Further attempts after a refusal or a failure.
    bool obeyRetryAfter = true; ///< False: asks again at once.
    bool requestId = false; ///< Sends a request id, the same at each attempt.
};

/// Reads "name=..;path=..;rate=..;from-ms=..": the members above by their names.
/// \param reason receives what is wrong when nothing is returned.
std::optional<Mix> parseMix(const std::string& text, std::string& reason);

} // namespace pw::load
