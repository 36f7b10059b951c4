#pragma once

#include "core/suspects.h"
#include "core/types.h"

#include <cstdint>

namespace pw {

/// How a request may run, given the crashes of backend servers during its runs.
enum class SuspectMode : std::uint8_t {
    Clear, ///< Like any other request.
    Isolated, ///< With few other suspects at one backend server.
    Trial, ///< Once in the whole fleet, and only while the service can lose a backend server.
    Held, ///< Not at all.
    Count
};

/// \returns how long a request is held after its last crash, given \p holdTime for the crash that makes it held.
Duration holdTimeAfter(std::uint32_t crashes, Duration holdTime);

/// \param age time since this daemon learned of the last crash.
SuspectMode suspectMode(std::uint32_t crashes, Duration age, Duration holdTime);

/// \returns how many of \p suspects suspects may run at one backend server at the same time.
std::size_t isolationLimit(std::size_t suspects);

} // namespace pw
