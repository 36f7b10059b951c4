#include "config.h"
#include "core/limit.h"
#include "core/service_time.h"
#include "core/windowed_minimum.h"

#include <algorithm>

namespace pw::detail {
namespace {

    /// Additive increase while the average service time stays close to the recent minimum, multiplicative decrease otherwise.
    class AimdLimit : public Limit {
    public:
        explicit AimdLimit(const LimitSettings& settings)
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
                m_recent.add(sample.serviceTime, now);
                m_best.add(m_recent.estimate(now), now);
            }
            if (tooSlow(sample, now)) {
                decrease(sample, now);
            } else if (isLimitInUse(sample)) {
                m_limit = std::min(capacity(), m_limit + 1 / m_limit);
            }
        }

    private:
        bool tooSlow(const LimitSample& sample, TimePoint now) const
        {
            return sample.outcome != RunOutcome::Ok || m_recent.estimate(now) > config::limitLatencyRatio * m_best.value();
        }

        void decrease(const LimitSample& sample, TimePoint now)
        {
            // Decrease only once for all runs that overlapped the slow one.
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
