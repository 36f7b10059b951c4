#pragma once

#include "core/types.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace pw {

/// Outcome of a run at a backend server, as used by concurrency limits and pickers.
enum class RunOutcome : std::uint8_t {
    Ok, ///< Complete answer.
    Failed, ///< The connection was closed, or the answer was truncated or malformed.
    Timeout, ///< No answer by the deadline.
    Refused, ///< The backend server reported that it did not run the request.
    Cancelled, ///< The caller disconnected; implies nothing about the backend server.
    Count
};

/// Measurements of one finished run, from which a concurrency limit adapts.
struct LimitSample {
    Duration serviceTime { 0 }; ///< Time at the backend server, excluding time spent waiting for nested calls.
    Duration queueDelay { 0 }; ///< Time in the daemon's queue before the run.
    std::uint32_t running = 0; ///< Concurrent runs at the backend server when this one ended, including itself.
    RunOutcome outcome = RunOutcome::Ok;
};

/// Initial settings of a concurrency limit.
struct LimitSettings {
    std::uint32_t slots = 1; ///< Announced by the backend server.
    std::uint32_t connections = 1;
    bool coldStart = true; ///< Start with a low limit that rises with each complete answer.
};

/// Base of the concurrency limit strategies: how many requests the backend server beside this daemon may run at once.
/// The limit never exceeds the announced slots and connections; that of a new server starts low and rises with each
/// complete answer.
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

    /// Restarts with a low limit: the backend server was restarted and may be slow at first.
    void beginColdStart();

protected:
    /// \returns the limit that the strategy computes, before current() bounds it.
    virtual double strategyLimit() const = 0;
    /// Updates the strategy's state.
    virtual void onFinishedRun(const LimitSample& sample, TimePoint now) = 0;
    /// Scales the strategy's limit after the capacity changed by \p factor.
    virtual void rescale(double /*factor*/) { }

    /// \returns the announced capacity: the smaller of slots and connections.
    double capacity() const { return m_capacity; }
    /// \returns whether enough of the limit was in use for \p sample to justify a higher one.
    bool isLimitInUse(const LimitSample& sample) const;

private:
    void updateColdStartLimit(const LimitSample& sample);

    double m_capacity;
    double m_coldStartLimit; ///< Upper bound during cold start; equals m_capacity afterwards.
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
