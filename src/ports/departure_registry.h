#pragma once

#include <cstdint>
#include <functional>

namespace pw {

/// Port: the starts of backend servers that have left, in the replicated state as applied by this daemon.
class DepartureRegistry {
public:
    virtual ~DepartureRegistry() = default;

    /// \returns whether the state holds every departure that was recorded before this process started.
    virtual bool holdsEarlierDepartures() const = 0;

    /// \returns whether \p start, a ServerEntry::backendIncarnation, has left.
    virtual bool hasDeparted(std::uint64_t start) const = 0;

    /// Adds a handler that is called after the result of one of the functions above may have changed.
    virtual void onDeparturesChanged(std::function<void()> handler) = 0;
};

} // namespace pw
