#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstddef>

namespace pw::measure {

/// \returns the processor time that process \p id has used, user and system.
std::chrono::microseconds processorTime(pid_t id);

/// \returns the resident memory of process \p id in bytes.
std::size_t residentBytes(pid_t id);

} // namespace pw::measure
