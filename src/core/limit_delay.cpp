#include "config.h"
#include "core/limit.h"

#include <algorithm>

namespace pw::detail {
namespace {

    /// Uses the announced capacity until the backend server itself refuses, fails or times out. Slow answers do not lower the
    /// limit, because admission sheds by the queue delay in front of the limit, not by the service time behind it.
    class DelayLimit : public Limit {
    public:
        explicit DelayLimit(const LimitSettings& settings)
            : Limit(settings)
            , m_limit(capacity())
        {
        }

    protected:
        double strategyLimit() const override { return m_limit; }
        void rescale(double factor) override { m_limit = std::max(1.0, m_limit * factor); }
        void reset() override { m_limit = capacity(); }

        void onFinishedRun(const LimitSample& sample, TimePoint now) override
        {
            if (sample.outcome == RunOutcome::Ok) {
                m_limit = std::min(capacity(), m_limit + config::delayLimitGrowth * capacity() / m_limit);
                m_lastSuccess = now;
            } else if (indicatesOverload(sample, now) && now >= m_nextDecrease) {
                m_limit = std::max(1.0, m_limit * config::limitDecrease);
                m_nextDecrease = now + config::delayLimitDecreaseInterval;
            }
        }

    private:
        /// A timeout at a server that answered other requests during the run indicates a slow server or a late start, where
        /// fewer concurrent runs would only reduce throughput.
        bool indicatesOverload(const LimitSample& sample, TimePoint now) const
        {
            return sample.outcome != RunOutcome::Timeout || m_lastSuccess < now - sample.serviceTime;
        }

        double m_limit;
        TimePoint m_nextDecrease {};
        TimePoint m_lastSuccess {};
    };

} // namespace

std::unique_ptr<Limit> makeDelayLimit(const LimitSettings& settings)
{
    return std::make_unique<DelayLimit>(settings);
}

} // namespace pw::detail
