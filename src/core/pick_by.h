#pragma once

#include <cstdint>

namespace pw {

/// By what a picker compares backend servers.
enum class PickBy : std::uint8_t {
    Load, ///< Running and queued requests relative to the concurrency limit.
    Completion, ///< Expected completion of the call; load where that is unknown.
    Count
};

} // namespace pw
