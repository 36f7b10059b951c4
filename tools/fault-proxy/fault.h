#pragma once

#include "support/http_server.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace pw::proxy {

/// Which way bytes flow through a connection pair.
enum class Direction : std::uint8_t {
    Forward, ///< From the connecting side to the target.
    Backward,
    Count
};

/// What happens to the bytes of one direction.
enum class Fault : std::uint8_t {
    None,
    Delay, ///< Each chunk waits for the delay and a seeded share of the jitter.
    Drop, ///< Bytes vanish silently and the connection stays open.
    Reset, ///< The pair is reset at the first byte.
    HalfClose, ///< This direction is shut down at the first byte, the other goes on.
    Truncate, ///< The pair is closed after the given number of bytes.
    Duplicate, ///< Each chunk is sent again after the delay.
    Count
};

/// Fault of one direction, with its parameters.
struct Rule {
    Fault fault = Fault::None;
    std::chrono::milliseconds delay { 0 };
    std::chrono::milliseconds jitter { 0 };
    std::uint64_t bytes = 0; ///< Fault::Truncate.

    /// Reads the parameters fault, delay-ms, jitter-ms and bytes.
    static std::optional<Rule> parse(const support::ControlRequest& request);
};

} // namespace pw::proxy
