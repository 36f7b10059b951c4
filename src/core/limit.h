#pragma once

#include "core/types.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace pw {

/// How a run at a backend server ended, as far as limits and pickers care.
enum class RunOutcome : std::uint8_t {
    Ok, ///< Whole answer.
    Failed, ///< Closed, truncated or mis-framed answer.
    Timeout, ///< No answer by the deadline.
    Refused, ///< The backend server said that it did not run the request.
    Cancelled, ///< The caller is gone; says nothing of the backend server.
    Count
};

/// What one finished run tells a concurrency limit.
struct LimitSample {
    Duration serviceTime { 0 }; ///< At the backend server, without the time spent waiting for nested calls.
    Duration queueDelay { 0 }; ///< In the daemon's queue before the run.
    std::uint32_t running = 0; ///< Runs at the backend server when this one ended, itself included.
    RunOutcome outcome = RunOutcome::Ok;
};

/// What a limit starts from.
struct LimitSettings {
    std::uint32_t slots = 1; ///< Announced by the backend server.
    std::uint32_t connections = 1;
    bool coldStart = true; ///< Begin low and grow with answers.
};

/// Strategy: how many requests the backend server beside this daemon may run at once.
/// Never above the announced slots and connections; a new server's limit begins low and grows with answers.
class Limit {
public:
    explicit Limit(const LimitSettings& settings);
    virtual ~Limit() = default;

    /// \returns the limit now, at least one.
    std::uint32_t current() const;

    /// \returns the announced capacity: the smaller of slots and connections.
    double announced() const { return m_capacity; }

    /// Learns from a finished run.
    void onSample(const LimitSample& sample, TimePoint now);

    /// Takes a new announcement of the backend server; the limit keeps its share of the capacity.
    void setCapacity(std::uint32_t slots, std::uint32_t connections);

    /// Begins low again: another start of the backend server has the place, and it does not say whether it is slow.
    void beginColdStart();

protected:
    /// \returns what the strategy would allow; bounded by current().
    virtual double wanted() const = 0;
    /// Adjusts the strategy's own state.
    virtual void learn(const LimitSample& sample, TimePoint now) = 0;
    /// Follows a change of the capacity by \p factor.
    virtual void rescale(double /*factor*/) { }

    /// \returns the announced capacity: the smaller of slots and connections.
    double capacity() const { return m_capacity; }
    /// \returns whether the runs in flight used the limit well enough to judge a higher one.
    bool limitInUse(const LimitSample& sample) const;

private:
    void grow(const LimitSample& sample);

    double m_capacity;
    double m_ramp; ///< Cold start bound; reaches the capacity and stays there.
};

/// \returns the limit strategy called \p name, or nothing when there is none.
std::unique_ptr<Limit> makeLimit(std::string_view name, const LimitSettings& settings);

/// \returns the names that makeLimit() knows.
std::vector<std::string_view> limitNames();

/// \returns the name of the strategy used when settings give none.
std::string_view defaultLimitName();

namespace detail {

    std::unique_ptr<Limit> makeStaticLimit(const LimitSettings& settings);
    std::unique_ptr<Limit> makeAimdLimit(const LimitSettings& settings);
    std::unique_ptr<Limit> makeGradientLimit(const LimitSettings& settings);
    std::unique_ptr<Limit> makeDelayLimit(const LimitSettings& settings);

} // namespace detail

} // namespace pw
