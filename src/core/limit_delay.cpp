#include "config.h"
#include "core/limit.h"

#include <algorithm>

namespace pw::detail {
namespace {

    /// Takes the announced capacity until the backend server itself refuses, fails or times out; the queue delay
    /// in front of the limit, not the service time behind it, is what admission sheds by.
    class DelayLimit : public Limit {
    public:
        explicit DelayLimit(const LimitSettings& settings)
            : Limit(settings)
            , m_limit(capacity())
        {
        }

    protected:
        double wanted() const override { return m_limit; }
        void rescale(double factor) override { m_limit = std::max(1.0, m_limit * factor); }

        void learn(const LimitSample& sample, TimePoint now) override
        {
            if (sample.outcome == RunOutcome::Ok) {
                m_limit = std::min(capacity(), m_limit + config::delayLimitGrowth * capacity() / m_limit);
                m_lastWhole = now;
            } else if (tooMany(sample, now) && now >= m_nextDecrease) {
                m_limit = std::max(1.0, m_limit * config::limitDecrease);
                m_nextDecrease = now + config::delayLimitInterval;
            }
        }

    private:
        /// A run that timed out at a server which answered others meanwhile shows a slow server or a late start; fewer
        /// runs at once would only lower its throughput.
        bool tooMany(const LimitSample& sample, TimePoint now) const
        {
            return sample.outcome != RunOutcome::Timeout || m_lastWhole < now - sample.serviceTime;
        }

        double m_limit;
        TimePoint m_nextDecrease {};
        TimePoint m_lastWhole {};
    };

} // namespace

std::unique_ptr<Limit> makeDelayLimit(const LimitSettings& settings)
{
    return std::make_unique<DelayLimit>(settings);
}

} // namespace pw::detail
