#pragma once

#include "core/limit_sample.h"
#include "core/types.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace pw {

/// Why the concurrency limit of a backend server starts low.
enum class RampCause : std::uint8_t {
    Started, ///< It has just started.
    StartedWarmingUp, ///< It has just started, and announces for how long it is slow.
    WarmedUp, ///< Its announced warm-up time is over.
    Failing, ///< Its connections are refused or reset, or it is silent.
    Recovered, ///< It responds again after failures.
    Count
};

/// \returns the name of \p cause in log lines.
std::string_view rampCauseName(RampCause cause);

/// What a ramp has decided so far, for log lines and metrics.
struct RampState {
    std::uint64_t begun = 0; ///< Number of ramps begun.
    std::uint64_t stepsBack = 0; ///< Number of times that the bound was lowered, over all ramps.
    Duration reference { 0 }; ///< Service time that rounds are compared with; zero: unknown or not used.
    Duration lastRound { 0 }; ///< Average service time of the last round.
};

/// Base of the strategies that raise the concurrency limit after a start: an upper bound that begins low and rises with the
/// backend server's responses until it reaches the announced capacity. It addresses load that a server with empty caches,
/// or one that has just recovered, cannot yet take.
class StartRamp {
public:
    virtual ~StartRamp() = default;

    /// \returns whether the bound is to be lowered for \p cause.
    virtual bool appliesTo(RampCause cause) const = 0;

    /// \returns whether the limit's strategy starts anew with each ramp, because the ramp decides how fast the limit rises.
    virtual bool replacesStrategy() const { return false; }

    /// Restarts with a low bound.
    virtual void begin(double capacity, TimePoint now) = 0;

    /// Applies a new announcement. A ramp that is done follows the capacity at once.
    virtual void setCapacity(double capacity) = 0;

    /// Adapts the bound to a finished run.
    virtual void onSample(const LimitSample& sample, TimePoint now) = 0;

    /// \returns the upper bound of the concurrency limit.
    virtual double bound() const = 0;

    /// \returns whether the ramp has ended, with the bound at the capacity.
    virtual bool isDone() const = 0;

    virtual RampState state() const { return {}; }
};

/// \returns a ramp with the strategy \p name that is done, or null if there is no such strategy.
std::unique_ptr<StartRamp> makeStartRamp(std::string_view name, double capacity);

/// \returns the strategy names that makeStartRamp() accepts.
std::vector<std::string_view> startRampNames();

/// \returns the name of the default strategy.
std::string_view defaultStartRampName();

/// Change that a finished run makes to whether a backend server responds.
enum class ResponseChange : std::uint8_t {
    None,
    Stopped, ///< It fails or is silent.
    Resumed, ///< It responds again.
    Count
};

/// Detects from finished runs that a backend server has stopped to respond, and that it responds again. A few failures
/// among responses, such as a reused connection that was just closed, are no such change.
class ResponseMonitor {
public:
    ResponseChange onSample(const LimitSample& sample, TimePoint now);

private:
    std::uint32_t m_failures = 0; ///< Since the last complete response.
    TimePoint m_lastComplete {};
    bool m_stopped = false;
};

namespace detail {

    std::unique_ptr<StartRamp> makeCountRamp(double capacity);
    std::unique_ptr<StartRamp> makeAnswersRamp(double capacity);

} // namespace detail

} // namespace pw
