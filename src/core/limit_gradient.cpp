#include "config.h"
#include "core/limit.h"

#include <algorithm>
#include <cmath>

namespace pw::detail {
namespace {

    /// Adjusts the limit by the ratio of the long-term to the recent service time, with an allowance for a short queue.
    class GradientLimit : public Limit {
    public:
        explicit GradientLimit(const LimitSettings& settings)
            : Limit(settings)
            , m_limit(capacity())
        {
        }

    protected:
        double strategyLimit() const override { return m_limit; }
        void rescale(double factor) override { m_limit = std::max(1.0, m_limit * factor); }
        void reset() override { m_limit = capacity(); }

        void onFinishedRun(const LimitSample& sample, TimePoint /*now*/) override
        {
            if (sample.outcome != RunOutcome::Ok) {
                m_limit = std::max(1.0, m_limit * config::limitDecrease);
                return;
            }
            average(sample.serviceTime);
            if (isLimitInUse(sample)) {
                step();
            }
        }

    private:
        void average(Duration serviceTime)
        {
            auto value = static_cast<double>(serviceTime.count());
            if (m_longTerm == 0) {
                m_longTerm = m_recent = value;
            }
            m_recent += (value - m_recent) * config::gradientRecentWeight;
            m_longTerm += (value - m_longTerm) * config::gradientLongTermWeight;
            // Makes the long-term average fall quickly after a slow phase.
            if (m_longTerm > 2 * m_recent) {
                m_longTerm *= config::gradientLongTermDecay;
            }
        }

        void step()
        {
            auto gradient = std::clamp(config::limitLatencyRatio * m_longTerm / std::max(1.0, m_recent), 0.5, 1.0);
            auto target = m_limit * gradient + std::sqrt(m_limit);
            m_limit += (target - m_limit) * config::gradientSmoothing / m_limit;
            m_limit = std::clamp(m_limit, 1.0, capacity());
        }

        double m_limit;
        double m_recent = 0;
        double m_longTerm = 0;
    };

} // namespace

std::unique_ptr<Limit> makeGradientLimit(const LimitSettings& settings)
{
    return std::make_unique<GradientLimit>(settings);
}

} // namespace pw::detail
