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

    double initialColdStartLimit(double capacity)
    {
        return std::clamp(capacity * config::coldStartShare, 1.0, capacity);
    }

} // namespace

Limit::Limit(const LimitSettings& settings)
    : m_capacity(capacityOf(settings.slots, settings.connections))
    , m_coldStartLimit(settings.coldStart ? initialColdStartLimit(m_capacity) : m_capacity)
{
}

std::uint32_t Limit::current() const
{
    return static_cast<std::uint32_t>(std::max(1.0, std::min({ strategyLimit(), m_coldStartLimit, m_capacity })));
}

void Limit::onSample(const LimitSample& sample, TimePoint now)
{
    if (sample.outcome == RunOutcome::Cancelled) {
        return;
    }
    updateColdStartLimit(sample);
    onFinishedRun(sample, now);
}

void Limit::setCapacity(std::uint32_t slots, std::uint32_t connections)
{
    auto capacity = capacityOf(slots, connections);
    if (m_coldStartLimit >= m_capacity) {
        // After the cold start, an increased capacity applies immediately.
        m_coldStartLimit = capacity;
    }
    rescale(capacity / m_capacity);
    m_capacity = capacity;
    m_coldStartLimit = std::min(m_coldStartLimit, capacity);
}

void Limit::beginColdStart()
{
    m_coldStartLimit = initialColdStartLimit(m_capacity);
}

bool Limit::isLimitInUse(const LimitSample& sample) const
{
    return sample.running >= config::limitInUseThreshold * current();
}

void Limit::updateColdStartLimit(const LimitSample& sample)
{
    if (sample.outcome == RunOutcome::Ok) {
        m_coldStartLimit = std::min(m_capacity, m_coldStartLimit + 1);
    } else if (m_coldStartLimit < m_capacity) {
        m_coldStartLimit = std::max(initialColdStartLimit(m_capacity), m_coldStartLimit / 2);
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
