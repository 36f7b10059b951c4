#pragma once

#include "core/limit_sample.h"
#include "core/start_ramp.h"
#include "core/types.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace pw {

/// Initial settings of a concurrency limit.
struct LimitSettings {
    std::uint32_t slots = 1; ///< Announced by the backend server.
    std::uint32_t connections = 1;
    bool coldStart = true; ///< Start with a low limit that the ramp raises.
    std::string_view start {}; ///< One of startRampNames(); empty: the default.
};

/// Base of the concurrency limit strategies: how many requests the backend server beside this daemon may run at once.
/// The limit never exceeds the announced slots and connections; that of a new server starts low and is raised by a StartRamp.
class Limit {
public:
    explicit Limit(const LimitSettings& settings);
    virtual ~Limit() = default;

    /// \returns the current limit, at least one.
    std::uint32_t current() const;

    /// \returns the announced capacity: the smaller of slots and connections.
    double announced() const { return m_capacity; }

    /// Adapts the limit to a finished run.
    void onSample(const LimitSample& sample, TimePoint now);

    /// Applies a new announcement of the backend server; the limit is scaled with the capacity.
    void setCapacity(std::uint32_t slots, std::uint32_t connections);

    /// Restarts with a low limit where the ramp provides for \p cause.
    /// \returns whether it does.
    bool beginColdStart(RampCause cause, TimePoint now);

    /// \returns the ramp that bounds the limit after a start.
    const StartRamp& ramp() const { return *m_ramp; }
    /// \returns why the last ramp began.
    RampCause rampCause() const { return m_rampCause; }

protected:
    /// \returns the limit that the strategy computes, before current() bounds it.
    virtual double strategyLimit() const = 0;
    /// Updates the strategy's state.
    virtual void onFinishedRun(const LimitSample& sample, TimePoint now) = 0;
    /// Scales the strategy's limit after the capacity changed by \p factor.
    virtual void rescale(double /*factor*/) { }
    /// Forgets what the strategy has learned of a backend server that has failed or is replaced.
    virtual void reset() { }

    /// \returns the announced capacity: the smaller of slots and connections.
    double capacity() const { return m_capacity; }
    /// \returns whether enough of the limit was in use for \p sample to justify a higher one.
    bool isLimitInUse(const LimitSample& sample) const;

private:
    void watchResponses(const LimitSample& sample, TimePoint now);

    double m_capacity;
    std::unique_ptr<StartRamp> m_ramp;
    RampCause m_rampCause = RampCause::Started;
    ResponseMonitor m_monitor;
};

/// \returns a limit with the strategy \p name, or null if there is no such strategy.
std::unique_ptr<Limit> makeLimit(std::string_view name, const LimitSettings& settings);

/// \returns the strategy names that makeLimit() accepts.
std::vector<std::string_view> limitNames();

/// \returns the name of the default strategy.
std::string_view defaultLimitName();

namespace detail {

    std::unique_ptr<Limit> makeStaticLimit(const LimitSettings& settings);
    std::unique_ptr<Limit> makeAimdLimit(const LimitSettings& settings);
    std::unique_ptr<Limit> makeGradientLimit(const LimitSettings& settings);
    std::unique_ptr<Limit> makeDelayLimit(const LimitSettings& settings);

} // namespace detail

} // namespace pw
