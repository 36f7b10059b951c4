#include "core/limit.h"

#include "config.h"

#include <algorithm>
#include <array>

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

    double rampStart(double capacity)
    {
        return std::clamp(capacity * config::coldStartShare, 1.0, capacity);
    }

} // namespace

Limit::Limit(const LimitSettings& settings)
    : m_capacity(capacityOf(settings.slots, settings.connections))
    , m_ramp(settings.coldStart ? rampStart(m_capacity) : m_capacity)
{
}

std::uint32_t Limit::current() const
{
    return static_cast<std::uint32_t>(std::max(1.0, std::min({ wanted(), m_ramp, m_capacity })));
}

void Limit::onSample(const LimitSample& sample, TimePoint now)
{
    if (sample.outcome == RunOutcome::Cancelled) {
        return;
    }
    grow(sample);
    learn(sample, now);
}

void Limit::setCapacity(std::uint32_t slots, std::uint32_t connections)
{
    auto capacity = capacityOf(slots, connections);
    if (m_ramp >= m_capacity) {
        // Past its cold start, the server gets what it announces at once.
        m_ramp = capacity;
    }
    rescale(capacity / m_capacity);
    m_capacity = capacity;
    m_ramp = std::min(m_ramp, capacity);
}

void Limit::beginColdStart()
{
    m_ramp = rampStart(m_capacity);
}

bool Limit::limitInUse(const LimitSample& sample) const
{
    return sample.running >= config::limitInUseShare * current();
}

void Limit::grow(const LimitSample& sample)
{
    if (sample.outcome == RunOutcome::Ok) {
        m_ramp = std::min(m_capacity, m_ramp + 1);
    } else if (m_ramp < m_capacity) {
        m_ramp = std::max(rampStart(m_capacity), m_ramp / 2);
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
