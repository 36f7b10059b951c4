#pragma once

#include "core/suspects.h"

#include <functional>

namespace pw {

/// Port: the suspect requests in the replicated state, as applied by this daemon.
class SuspectRegistry {
public:
    virtual ~SuspectRegistry() = default;

    virtual const SuspectMap& suspects() const = 0;

    /// Adds a handler that is called after the suspects have changed.
    virtual void onSuspectsChanged(std::function<void()> handler) = 0;
};

} // namespace pw
