#include "core/start_order.h"

#include "config.h"

#include <algorithm>

namespace pw {

StartVerdict StartOrder::judge(const AnnouncedStart& announced, TimePoint now)
{
    if (!m_current) {
        return StartVerdict::New;
    }
    if (announced.isSameStart(*m_current)) {
        return announced.started != 0 && announced.sequence < m_current->sequence ? StartVerdict::Outdated : StartVerdict::Current;
    }
    const auto isLater = announced.started >= m_current->started && !isEarlier(announced);
    return announced.started == 0 || isLater ? StartVerdict::New : challenge(announced, now);
}

StartVerdict StartOrder::challenge(const AnnouncedStart& announced, TimePoint now)
{
    if (!m_challenger || !m_challenger->announced.isSameStart(announced)) {
        m_challenger = Challenger { announced, now };
        return StartVerdict::Unproven;
    }
    if (announced.sequence <= m_challenger->announced.sequence) {
        return StartVerdict::Unproven;
    }
    m_challenger->announced.sequence = announced.sequence;
    return now - m_challenger->since >= config::startTakeoverTime ? StartVerdict::New : StartVerdict::Unproven;
}

void StartOrder::accept(const AnnouncedStart& announced)
{
    m_challenger.reset();
    if (m_current && !m_current->isSameStart(announced)) {
        m_earlier.push_back(*m_current);
        if (m_earlier.size() > config::maxEarlierStarts) {
            m_earlier.pop_front();
        }
    }
    m_current = announced;
}

bool StartOrder::isEarlier(const AnnouncedStart& announced) const
{
    return std::ranges::any_of(m_earlier, [&](const AnnouncedStart& it) { return it.isSameStart(announced); });
}

} // namespace pw
