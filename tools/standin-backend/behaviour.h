#pragma once

#include "support/http_server.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace pw::standin {

/// How a request is answered.
enum class Mode : std::uint8_t {
    Normal,
    Slow, ///< Service time multiplied by the factor.
    Silent, ///< Accepted and never answered.
    Truncate, ///< Closes in the middle of the answer.
    Late, ///< Answered after the delay, whatever the caller does.
    Refuse, ///< 503 with the "not run" header; nothing runs.
    Close, ///< Runs, then closes without an answer.
    Duplicate, ///< The same answer is sent twice on one connection.
    Count
};

/// Failure mode in force, switched at run time.
struct Behaviour {
    Mode mode = Mode::Normal;
    double factor = 1; ///< Mode::Slow.
    std::chrono::milliseconds delay { 0 }; ///< Mode::Late.
    std::string prefix = "/"; ///< Paths that it holds for.
    std::uint64_t remaining = 0; ///< Requests that it still holds for; zero is without end.

    /// Reads the parameters mode, factor, delay-ms, path and count.
    static std::optional<Behaviour> parse(const support::ControlRequest& request);

    /// \returns the mode of a request for \p path, and counts it.
    Mode take(const std::string& path);
};

} // namespace pw::standin
