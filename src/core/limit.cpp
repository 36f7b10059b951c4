#include "core/limit.h"

#include "config.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace pw {
namespace {

    struct LimitRow {
        std::string_view name;
        std::unique_ptr<Limit> (*make)(const LimitSettings&);
    };

    constexpr std::array<LimitRow, 4> limitTable { {
        { "delay", detail::makeDelayLimit },
        { "static", detail::makeStaticLimit },
        { "aimd", detail::makeAimdLimit },
        { "gradient", detail::makeGradientLimit },
    } };

    double capacityOf(std::uint32_t slots, std::uint32_t connections)
    {
        return std::max(1U, std::min(slots, connections));
    }

    std::unique_ptr<StartRamp> rampFrom(const LimitSettings& settings, double capacity)
    {
        auto ramp = makeStartRamp(settings.start.empty() ? defaultStartRampName() : settings.start, capacity);
        assert(ramp);
        return ramp;
    }

} // namespace

Limit::Limit(const LimitSettings& settings)
    : m_capacity(capacityOf(settings.slots, settings.connections))
    , m_ramp(rampFrom(settings, m_capacity))
{
    if (settings.coldStart) {
        m_ramp->begin(m_capacity, {});
    }
}

std::uint32_t Limit::current() const
{
    return static_cast<std::uint32_t>(std::max(1.0, std::min({ strategyLimit(), m_ramp->bound(), m_capacity })));
}

void Limit::onSample(const LimitSample& sample, TimePoint now)
{
    if (sample.outcome == RunOutcome::Cancelled) {
        return;
    }
    m_ramp->onSample(sample, now);
    onFinishedRun(sample, now);
    watchResponses(sample, now);
}

void Limit::setCapacity(std::uint32_t slots, std::uint32_t connections)
{
    auto capacity = capacityOf(slots, connections);
    m_ramp->setCapacity(capacity);
    rescale(capacity / m_capacity);
    m_capacity = capacity;
}

bool Limit::beginColdStart(RampCause cause, TimePoint now)
{
    if (!m_ramp->appliesTo(cause)) {
        return false;
    }
    m_rampCause = cause;
    m_ramp->begin(m_capacity, now);
    if (m_ramp->replacesStrategy()) {
        reset();
    }
    return true;
}

bool Limit::isLimitInUse(const LimitSample& sample) const
{
    return sample.running >= config::limitInUseThreshold * current();
}

/// The bound is lowered as soon as the server fails, not only when it responds again: it may then get as many requests as the
/// limit allows before the first response.
void Limit::watchResponses(const LimitSample& sample, TimePoint now)
{
    const auto change = m_monitor.onSample(sample, now);
    if (change != ResponseChange::None) {
        beginColdStart(change == ResponseChange::Stopped ? RampCause::Failing : RampCause::Recovered, now);
    }
}

std::unique_ptr<Limit> makeLimit(std::string_view name, const LimitSettings& settings)
{
    const auto* row = std::ranges::find(limitTable, name, &LimitRow::name);
    return row == limitTable.end() ? nullptr : row->make(settings);
}

std::vector<std::string_view> limitNames()
{
    std::vector<std::string_view> names(limitTable.size());
    std::ranges::transform(limitTable, names.begin(), &LimitRow::name);
    return names;
}

std::string_view defaultLimitName()
{
    return limitTable.front().name;
}

} // namespace pw
