#include "core/warm_up.h"

#include "config.h"

#include <algorithm>
#include <cmath>

namespace pw {
namespace {

    constexpr Duration countedWindow = config::warmUpWindow + config::warmUpArrivalSpread;

    Duration withMargin(Duration left)
    {
        return left > Duration::zero() ? left + config::warmUpEndMargin : Duration::zero();
    }

} // namespace

void WarmUp::configure(const WarmUpSettings& settings)
{
    if (settings == m_settings) {
        return;
    }
    m_settings = settings;
    m_rate = settings.requestsPerSecond;
    m_round = {};
    m_fastestRound = {};
    configureBucket();
}

void WarmUp::configureBucket()
{
    if (m_rate > 0) {
        m_bucket.configure(m_rate, std::max(1.0, m_settings.slack * config::warmUpBurstShare));
    }
}

void WarmUp::onAnnounced(Duration left, TimePoint now)
{
    if (left <= Duration::zero()) {
        return;
    }
    beginLimiting(now);
    const auto until = now + withMargin(left);
    m_announcedUntil = std::max(m_announcedUntil, until);
    m_coldUntil = std::max(m_coldUntil, until);
}

void WarmUp::onStateUnknown(TimePoint now)
{
    beginLimiting(now);
    m_unknownSince = now;
    forgetSamples(now);
}

void WarmUp::onProbeSent(TimePoint now)
{
    m_probing = true;
    m_probeSentAt = now;
    m_nextProbe = now + config::warmUpProbeInterval;
    m_announcedUntil = {};
    // A probe is not held back by the rate, because only its answer can lift the limit; the requests after it wait longer.
    record(now, -static_cast<double>(windowLimit()));
}

void WarmUp::onProbed(std::optional<Duration> left, TimePoint askedAt, TimePoint now)
{
    m_probing = false;
    if (!left) {
        m_nextProbe = now + config::warmUpProbeInterval;
        return;
    }
    if (m_unknownSince && askedAt < *m_unknownSince) {
        onAnnounced(*left, now); // The server may have become cold since it was asked.
        return;
    }
    if (*left > Duration::zero()) {
        beginLimiting(now);
    }
    m_unknownSince.reset();
    // An announcement that arrived while the probe was in progress may tell of a warm-up that began after the answer was sent.
    m_coldUntil = std::max(now + withMargin(*left), m_announcedUntil);
}

bool WarmUp::isLimiting(TimePoint now) const
{
    return m_settings.requestsPerSecond > 0 && (m_unknownSince || now < m_coldUntil);
}

bool WarmUp::wantsProbe(TimePoint now) const
{
    // A probe whose outcome is not reported in time counts as failed.
    const auto inProgress = m_probing && now < m_probeSentAt + config::warmUpProbeTimeout + config::warmUpProbeInterval;
    return isUnknown() && !inProgress && now >= m_nextProbe;
}

std::optional<double> WarmUp::rate(TimePoint now) const
{
    return isLimiting(now) ? std::optional(m_rate) : std::nullopt;
}

bool WarmUp::hasToken(TimePoint now) const
{
    return !isLimiting(now) || (m_bucket.hasToken(now) && windowAllows(1) <= now);
}

void WarmUp::takeToken(TimePoint now)
{
    record(now, 0);
}

Duration WarmUp::timeToSend(std::size_t count, TimePoint now) const
{
    if (!isLimiting(now)) {
        return Duration::zero();
    }
    const auto paced = std::max(m_bucket.timeToTake(count, now), windowAllows(count) - now);
    return m_unknownSince ? paced : std::min(paced, m_coldUntil - now);
}

std::optional<TimePoint> WarmUp::nextToken(TimePoint now) const
{
    if (!isLimiting(now)) {
        return std::nullopt;
    }
    const auto next = std::max(m_bucket.nextToken(), windowAllows(1));
    return m_unknownSince ? next : std::min(next, m_coldUntil);
}

void WarmUp::beginLimiting(TimePoint now)
{
    if (!isLimiting(now)) {
        m_bucket.clear(now);
        forgetSamples(now);
    }
}

void WarmUp::onSample(const LimitSample& sample, TimePoint startedAt, TimePoint now)
{
    if (!m_settings.rises || !isLimiting(now) || m_unknownSince || startedAt < m_samplesSince || sample.outcome == RunOutcome::Cancelled) {
        return;
    }
    if (sample.outcome != RunOutcome::Ok) {
        m_round = {};
        setRate(m_settings.requestsPerSecond, now);
        return;
    }
    ++m_round.count;
    m_round.total += sample.serviceTime;
    if (m_round.count >= config::warmUpRoundResponses) {
        endRound(now);
    }
}

/// Raises the rate after a round that was about as fast as the fastest one, otherwise returns to the tolerated rate.
void WarmUp::endRound(TimePoint now)
{
    const auto average = m_round.total / m_round.count;
    m_round = {};
    m_fastestRound = m_fastestRound == Duration::zero() ? average : std::min(m_fastestRound, average);
    const auto fast = std::chrono::duration<double>(average) <= config::warmUpFastRatio * std::chrono::duration<double>(m_fastestRound);
    setRate(fast ? std::min(m_rate * config::warmUpRateGrowth, highestRate()) : m_settings.requestsPerSecond, now);
}

/// Goes back to the tolerated rate and forgets the service times, which were those of another state of the server.
void WarmUp::forgetSamples(TimePoint now)
{
    m_round = {};
    m_fastestRound = {};
    m_samplesSince = now;
    setRate(m_settings.requestsPerSecond, now);
}

void WarmUp::setRate(double requestsPerSecond, TimePoint now)
{
    if (requestsPerSecond != m_rate) {
        m_bucket.refill(now);
        m_rate = requestsPerSecond;
        configureBucket();
    }
}

/// \returns the highest rate that the settings allow; the window of sent requests keeps the bound.
double WarmUp::highestRate() const
{
    return std::max(m_settings.requestsPerSecond, m_settings.requestsPerSecond * m_settings.overage);
}

void WarmUp::record(TimePoint now, double lowestLevel)
{
    if (m_settings.requestsPerSecond <= 0) {
        return;
    }
    m_bucket.take(now, lowestLevel);
    m_sent.push_back(now);
    while (m_sent.size() > windowLimit()) {
        m_sent.pop_front();
    }
}

/// \returns how many requests may be sent within the counted window.
std::size_t WarmUp::windowLimit() const
{
    const auto bound = m_settings.requestsPerSecond * m_settings.overage + m_settings.slack;
    const auto limit = std::floor(bound - std::min(config::warmUpMargin, m_settings.slack / 2));
    return static_cast<std::size_t>(std::max(1.0, limit));
}

/// \returns when the window allows \p count more requests, if all but the last of them are sent as early as it allows.
TimePoint WarmUp::windowAllows(std::size_t count) const
{
    const auto limit = windowLimit();
    const auto used = m_sent.size() + count;
    if (used <= limit || m_sent.empty()) {
        return TimePoint {};
    }
    return m_sent[std::min(used - limit, m_sent.size()) - 1] + countedWindow;
}

} // namespace pw
