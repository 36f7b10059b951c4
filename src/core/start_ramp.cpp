#include "core/start_ramp.h"

#include "config.h"

#include <algorithm>
#include <array>
#include <utility>

namespace pw {
namespace {

    struct RampRow {
        std::string_view name;
        std::unique_ptr<StartRamp> (*make)(double capacity);
    };

    constexpr std::array<RampRow, 2> rampTable { {
        { "count", detail::makeCountRamp },
        { "answers", detail::makeAnswersRamp },
    } };

    constexpr std::array<std::string_view, static_cast<std::size_t>(RampCause::Count)> causeNames {
        "started",
        "started-warming-up",
        "warmed-up",
        "failing",
        "recovered",
    };

    /// Rises by one for each complete response and halves with each failure. Does not look at service times.
    class CountRamp : public StartRamp {
    public:
        explicit CountRamp(double capacity)
            : m_capacity(capacity)
            , m_bound(capacity)
        {
        }

        /// A server that announces its warm-up time adjusts its slots itself.
        bool appliesTo(RampCause cause) const override { return cause == RampCause::Started; }

        void begin(double capacity, TimePoint /*now*/) override
        {
            m_capacity = capacity;
            m_bound = initialBound();
        }

        void setCapacity(double capacity) override
        {
            m_bound = isDone() ? capacity : std::min(m_bound, capacity);
            m_capacity = capacity;
        }

        void onSample(const LimitSample& sample, TimePoint /*now*/) override
        {
            if (sample.outcome == RunOutcome::Ok) {
                m_bound = std::min(m_capacity, m_bound + 1);
            } else if (!isDone()) {
                m_bound = std::max(initialBound(), m_bound / 2);
            }
        }

        double bound() const override { return m_bound; }
        bool isDone() const override { return m_bound >= m_capacity; }

    private:
        double initialBound() const { return std::clamp(m_capacity * config::coldStartShare, 1.0, m_capacity); }

        double m_capacity;
        double m_bound;
    };

} // namespace

std::string_view rampCauseName(RampCause cause)
{
    return causeNames.at(static_cast<std::size_t>(cause));
}

std::unique_ptr<StartRamp> makeStartRamp(std::string_view name, double capacity)
{
    const auto* row = std::ranges::find(rampTable, name, &RampRow::name);
    return row == rampTable.end() ? nullptr : row->make(capacity);
}

std::vector<std::string_view> startRampNames()
{
    std::vector<std::string_view> names(rampTable.size());
    std::ranges::transform(rampTable, names.begin(), &RampRow::name);
    return names;
}

std::string_view defaultStartRampName()
{
    return rampTable.front().name;
}

ResponseChange ResponseMonitor::onSample(const LimitSample& sample, TimePoint now)
{
    if (sample.outcome == RunOutcome::Ok) {
        m_failures = 0;
        m_lastComplete = now;
        return std::exchange(m_stopped, false) ? ResponseChange::Resumed : ResponseChange::None;
    }
    if (sample.outcome != RunOutcome::Failed && sample.outcome != RunOutcome::Timeout) {
        return ResponseChange::None;
    }
    ++m_failures;
    const auto hasStopped = m_failures >= config::failuresWithoutResponse && m_lastComplete < sample.startedAt(now);
    return hasStopped && !std::exchange(m_stopped, true) ? ResponseChange::Stopped : ResponseChange::None;
}

std::unique_ptr<StartRamp> detail::makeCountRamp(double capacity)
{
    return std::make_unique<CountRamp>(capacity);
}

} // namespace pw
