#include "core/route_outlook.h"

#include "config_outlook.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <ranges>

namespace pw {
namespace {

    constexpr int internalErrorStatus = 500;
    constexpr int gatewayTimeoutStatus = 504;
    constexpr int firstServerErrorStatus = 500;

    /// \returns whether the backend server reported that the request failed after it had started.
    bool isFailure(const Answer& answer)
    {
        return answer.status == internalErrorStatus || answer.status == gatewayTimeoutStatus;
    }

    /// \returns whether \p answer says that the route works, or that it does not. Other server errors say neither.
    bool isResult(const Answer& answer)
    {
        return answer.isComplete() && (answer.status < firstServerErrorStatus || isFailure(answer));
    }

    /// \returns the lowest share to which failures may reduce the admitted share.
    double lowestShare(double failedShare)
    {
        const auto odds = failedShare / std::max(1 - failedShare, config::minOutlookShare);
        return std::max(1 - config::refusedSharePerOdds * odds, config::minOutlookShare);
    }

} // namespace

RouteOutlook::Counts RouteOutlook::countRecent(const State& state, TimePoint now)
{
    const auto window = state.lowered ? config::outlookLoweredWindow : config::outlookWindow;
    Counts counts;
    for (const auto& it : state.results | std::views::reverse) {
        if (now - it.at > window) {
            break;
        }
        ++counts.results;
        counts.failed += it.failed ? 1 : 0;
    }
    return counts;
}

bool RouteOutlook::isFailing(const Counts& counts, bool idempotent)
{
    const auto results = static_cast<double>(counts.results);
    const auto threshold = idempotent ? config::failingShareIdempotent : config::failingShare;
    const auto deviation = std::sqrt(results * threshold * (1 - threshold)); // Of the failures, if their probability is the threshold.
    return counts.results >= config::minOutlookResults
        && static_cast<double>(counts.failed) > results * threshold + config::failingConfidence * deviation;
}

/// The fastest response decides: with the 0.1 quantile, one fast response after a slow phase was not enough to admit again.
bool RouteOutlook::isTooLate(const State& state, Duration timeLeft, TimePoint now)
{
    auto responses = std::size_t(0);
    auto fastest = Duration::max();
    for (const auto& it : state.results) {
        if (!it.failed && now - it.at <= config::outlookWindow) {
            ++responses;
            fastest = std::min(fastest, it.took);
        }
    }
    return responses >= config::minOutlookResults && fastest > timeLeft;
}

std::optional<Refusal> RouteOutlook::check(const Route& route, Duration timeLeft, TimePoint now)
{
    const auto it = m_routes.find(route.name);
    if (it == m_routes.end()) {
        return std::nullopt;
    }
    auto& state = it->second;
    expire(state, now);
    if (now - state.lastStart >= config::outlookTestInterval) {
        return std::nullopt;
    }
    if (isTooLate(state, timeLeft, now)) {
        return Refusal { Verdict::NotRun, Reason::TooLate, {} };
    }
    state.credit = std::min(state.credit + state.share, 1 + state.share);
    if (state.credit < 1) {
        return failingRefusal(state, timeLeft, now);
    }
    state.credit -= 1;
    return std::nullopt;
}

std::optional<OutlookChange> RouteOutlook::ended(const Route& route, const Answer& answer, Duration took, TimePoint now)
{
    if (!isResult(answer)) {
        return std::nullopt;
    }
    auto& state = m_routes[route.name];
    expire(state, now);
    const auto failed = isFailure(answer);
    state.results.push_back({ now, took, failed });
    if (state.results.size() > config::outlookResults) {
        state.results.pop_front();
    }
    const auto counts = countRecent(state, now);
    if (failed) {
        state.successes = 0;
        if (isFailing(counts, route.idempotent)) {
            lower(state, counts, now);
        }
        return report(state, counts, now);
    }
    const auto sample = static_cast<double>(took.count());
    state.usualTime = state.usualTime == 0 ? sample : state.usualTime + (sample - state.usualTime) * config::usualResponseTimeWeight;
    ++state.successes;
    state.share = 1;
    if (state.lowered && state.successes >= config::outlookSuccesses) {
        restore(state, now);
    }
    return report(state, counts, now);
}

void RouteOutlook::lower(State& state, const Counts& counts, TimePoint now)
{
    if (!state.lowered) {
        state.lowered = true;
        // Trouble that returns soon counts as one.
        state.loweredAt = now - state.restoredAt > config::outlookWindow ? now : state.loweredAt;
    }
    state.share = std::max(state.share * config::outlookDecrease, lowestShare(counts.failedShare()));
}

/// Earlier results say nothing about a route that works again.
void RouteOutlook::restore(State& state, TimePoint now)
{
    state.lowered = false;
    state.share = 1;
    state.restoredAt = now;
    state.results.clear();
}

/// Removes old results and ends a lowered share that too few results are left for.
void RouteOutlook::expire(State& state, TimePoint now)
{
    while (!state.results.empty() && now - state.results.front().at > config::outlookLoweredWindow) {
        state.results.pop_front();
    }
    if (state.lowered && state.results.size() < config::minOutlookResults) {
        restore(state, now);
    }
}

std::optional<OutlookChange> RouteOutlook::report(State& state, const Counts& counts, TimePoint now)
{
    if (state.lowered == state.reportedLowered || now - state.lastReport < config::outlookLogInterval) {
        return std::nullopt;
    }
    state.reportedLowered = state.lowered;
    state.lastReport = now;
    return OutlookChange { state.lowered, counts.failedShare(), counts.results, now - state.loweredAt };
}

Refusal RouteOutlook::failingRefusal(const State& state, Duration timeLeft, TimePoint now)
{
    const auto wait = std::clamp<Duration>(now - state.loweredAt, config::minFailingRetryAfter, config::maxFailingRetryAfter);
    const auto factor = 1 + config::failingRetryJitter * (2 * uniform(m_random) - 1);
    const auto retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(wait * factor);
    const auto usual = Duration(static_cast<Duration::rep>(state.usualTime));
    if (timeLeft - retryAfter < usual) {
        return { Verdict::NotRun, Reason::RouteFailing, {} };
    }
    return { Verdict::NotRun, Reason::RouteFailing, retryAfter };
}

void RouteOutlook::configure(const std::vector<Route>& routes)
{
    std::erase_if(m_routes, [&routes](const auto& entry) { return std::ranges::find(routes, entry.first, &Route::name) == routes.end(); });
}

double RouteOutlook::admittedShare(const std::string& route) const
{
    const auto it = m_routes.find(route);
    return it == m_routes.end() ? 1 : it->second.share;
}

double RouteOutlook::lowestAdmittedShare() const
{
    return std::accumulate(m_routes.begin(), m_routes.end(), 1.0, [](double lowest, const auto& entry) { return std::min(lowest, entry.second.share); });
}

std::size_t RouteOutlook::loweredCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_routes, [](const auto& entry) { return entry.second.lowered; }));
}

} // namespace pw
