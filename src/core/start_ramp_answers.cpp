#include "config.h"
#include "core/start_ramp.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pw::detail {
namespace {

    /// Doubles the bound after each round of responses that were about as fast as the reference, and lowers it when they were
    /// not. A round is as many responses as the bound: a single one says little, as work varies by route.
    ///
    /// Responses are counted by their end. Counting only runs that started in the round would prefer short ones: in the
    /// simulation, averages were then 0.65 of the true ones.
    class AnswersRamp : public StartRamp {
    public:
        explicit AnswersRamp(double capacity)
            : m_capacity(capacity)
            , m_bound(capacity)
        {
        }

        bool appliesTo(RampCause /*cause*/) const override { return true; }
        bool replacesStrategy() const override { return true; }

        void begin(double capacity, TimePoint now) override
        {
            ++m_state.begun;
            m_capacity = capacity;
            m_reference = m_usual;
            m_state.lastRound = Duration(0);
            m_isDoubling = true;
            m_trial = {};
            m_began = now;
            m_bound = initialBound();
            m_isDone = m_bound >= m_capacity;
            // The first runs begin together, so the short ones end first.
            beginRound(now, std::floor(m_bound));
        }

        void setCapacity(double capacity) override
        {
            m_bound = isDone() ? capacity : std::min(m_bound, capacity);
            m_capacity = capacity;
        }

        void onSample(const LimitSample& sample, TimePoint now) override
        {
            const auto isFailure = indicatesFailure(sample, now);
            if (sample.outcome == RunOutcome::Ok) {
                m_lastComplete = now;
            }
            if (isDone()) {
                learnUsual(sample);
            } else if (isFailure) {
                addFailure(sample, now);
            } else if (sample.startedAt(now) >= m_began) {
                addResponse(sample, now);
            }
        }

        double bound() const override { return m_bound; }
        bool isDone() const override { return m_isDone; }

        RampState state() const override
        {
            auto result = m_state;
            result.reference = Duration(static_cast<Duration::rep>(m_reference));
            return result;
        }

    private:
        struct Round {
            TimePoint began {};
            double ignored = 0; ///< Responses still to be ignored, because they are not of the present bound.
            double total = 0; ///< Sum of the service times, in clock ticks.
            std::uint32_t responses = 0;
            std::uint32_t failures = 0;
        };

        /// A lower bound that is tried to find out whether responses are slow because of the bound.
        struct Trial {
            double average = 0; ///< Average of the slow round before it; zero: no trial.
            double bound = 0; ///< Bound of that round.
        };

        double initialBound() const
        {
            return std::min(m_capacity, std::max(config::minAnswersBound, m_capacity * config::answersStartShare));
        }

        void setBound(double bound, TimePoint now, double ignored = 0)
        {
            m_bound = std::clamp(bound, initialBound(), m_capacity);
            m_held = 0;
            beginRound(now, ignored);
        }

        void beginRound(TimePoint now, double ignored = 0) { m_round = { now, ignored }; }

        /// A server that answered others during a run that timed out is slow, or waits for a slow server; the run then counts
        /// as a slow response.
        bool indicatesFailure(const LimitSample& sample, TimePoint now) const
        {
            const auto isSlow = sample.outcome == RunOutcome::Timeout && m_lastComplete >= sample.startedAt(now);
            return sample.outcome != RunOutcome::Ok && !isSlow;
        }

        /// The weight of a new sample is small, so that a slow phase just before a failure changes the average little.
        void learnUsual(const LimitSample& sample)
        {
            if (sample.outcome != RunOutcome::Ok || sample.warmingUp) {
                return;
            }
            ++m_usualSamples;
            const auto weight = std::max(config::usualServiceTimeWeight, 1.0 / static_cast<double>(m_usualSamples));
            m_usual += (static_cast<double>(sample.serviceTime.count()) - m_usual) * weight;
        }

        /// Runs that started before the bound was last changed may have failed because of the bound before.
        void addFailure(const LimitSample& sample, TimePoint now)
        {
            m_round.failures += sample.startedAt(now) >= m_round.began ? 1 : 0;
            if (m_round.failures > config::tolerableFailureShare * m_bound) {
                m_trial = {};
                stepBack(sample, now);
            }
        }

        void addResponse(const LimitSample& sample, TimePoint now)
        {
            if (m_round.ignored >= 1) {
                --m_round.ignored;
                return;
            }
            m_round.total += static_cast<double>(sample.serviceTime.count());
            ++m_round.responses;
            // The rest of a round that is already too slow cannot change what follows.
            const auto planned = std::floor(m_bound);
            const auto isTooSlow = m_reference > 0 && m_round.total > config::fastRoundRatio * m_reference * planned;
            if (m_round.responses >= planned || isTooSlow) {
                endRound(m_round.total / m_round.responses, sample, now);
            }
        }

        void endRound(double average, const LimitSample& sample, TimePoint now)
        {
            m_state.lastRound = Duration(static_cast<Duration::rep>(average));
            if (m_reference == 0) {
                m_reference = average;
            }
            const auto trial = std::exchange(m_trial, {});
            if (average <= config::fastRoundRatio * m_reference) {
                m_reference = std::max(m_usual, std::min(m_reference, average));
                // Only a fast round at all slots shows that the last step up was right.
                m_isDone = m_bound >= m_capacity;
                setBound(m_bound * (m_isDoubling ? 2 : 1 + config::carefulGrowth), now);
            } else if (trial.average > 0 && average >= config::unchangedRoundRatio * trial.average) {
                acceptAsReference(average, trial.bound, now);
            } else if (isAtInitialBound()) {
                ++m_held < config::heldInitialRounds ? beginRound(now) : acceptAsReference(average, m_bound, now);
            } else if (m_isDoubling || ++m_held >= config::heldRounds) {
                m_trial = { average, m_bound };
                stepBack(sample, now);
            } else {
                beginRound(now);
            }
        }

        /// Slow responses that do not depend on the bound, as of a slow nested service, must not stop the ramp.
        void acceptAsReference(double average, double bound, TimePoint now)
        {
            m_reference = average;
            m_isDoubling = true;
            setBound(bound, now);
        }

        /// The runs in progress started under the higher bound.
        void stepBack(const LimitSample& sample, TimePoint now)
        {
            m_state.stepsBack += isAtInitialBound() ? 0 : 1;
            m_isDoubling = false;
            setBound(m_bound / 2, now, sample.running);
        }

        bool isAtInitialBound() const { return m_bound <= initialBound(); }

        double m_capacity;
        double m_bound;
        bool m_isDone = true;
        double m_reference = 0; ///< In clock ticks; zero: unknown.
        double m_usual = 0; ///< Average service time outside of ramps; zero: unknown.
        std::uint64_t m_usualSamples = 0;
        TimePoint m_began {};
        Round m_round;
        Trial m_trial;
        bool m_isDoubling = false; ///< False since the last step back.
        std::uint32_t m_held = 0; ///< Slow rounds at the present bound.
        TimePoint m_lastComplete {};
        RampState m_state;
    };

} // namespace

std::unique_ptr<StartRamp> makeAnswersRamp(double capacity)
{
    return std::make_unique<AnswersRamp>(capacity);
}

} // namespace pw::detail
