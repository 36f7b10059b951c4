#include "config.h"
#include "core/limit.h"
#include "core/service_time.h"
#include "core/windowed_minimum.h"

#include <algorithm>

namespace pw::detail {
namespace {

    /// Adds while the average service time stays near the best one lately, multiplies down when it does not.
    class AimdLimit : public Limit {
    public:
        explicit AimdLimit(const LimitSettings& settings)
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
                m_recent.add(sample.serviceTime, now);
                m_best.add(m_recent.estimate(now), now);
            }
            if (tooSlow(sample, now)) {
                decrease(sample, now);
            } else if (limitInUse(sample)) {
                m_limit = std::min(capacity(), m_limit + 1 / m_limit);
            }
        }

    private:
        bool tooSlow(const LimitSample& sample, TimePoint now) const
        {
            return sample.outcome != RunOutcome::Ok || m_recent.estimate(now) > config::limitLatencyTolerance * m_best.value();
        }

        void decrease(const LimitSample& sample, TimePoint now)
        {
            // One step for all the runs that overlapped the slow one.
            if (now < m_nextDecrease) {
                return;
            }
            m_limit = std::max(1.0, m_limit * config::limitDecrease);
            m_nextDecrease = now + sample.serviceTime;
        }

        double m_limit;
        TimePoint m_nextDecrease {};
        ServiceTime m_recent;
        WindowedMinimum m_best { config::limitBaselineWindow };
    };

} // namespace

std::unique_ptr<Limit> makeAimdLimit(const LimitSettings& settings)
{
    return std::make_unique<AimdLimit>(settings);
}

} // namespace pw::detail
