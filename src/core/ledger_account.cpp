#include "core/ledger_account.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace pw {
namespace {

    /// Fraction of the outstanding limit that may be granted ahead of demand; the rest is for waiting requests.
    constexpr double prefetchFraction = 0.75;
    /// Number of times within a grant lifetime that expired grants are looked for.
    constexpr int expiryChecksPerLifetime = 16;

    double seconds(Duration time)
    {
        return std::chrono::duration<double>(time).count();
    }

    /// Fraction of burst and reserve that may be outstanding; with the rest a new owner can start before these grants expire.
    constexpr double outstandingFraction = 0.4;
    /// Fraction of the tolerance that is used; the rest allows for requests that are counted later than they are admitted.
    constexpr double usedToleranceFraction = 0.8;

} // namespace

double RateTolerance::reserve(double rate, double burst) const
{
    return usedToleranceFraction * (share * (rate * seconds(window) + burst) + extra);
}

LedgerAccount::LedgerAccount(RateLimits limits, Duration lifetime, TimePoint now)
    : m_limits(limits)
    , m_lifetime(lifetime)
    , m_accrued(now)
    , m_slowUntil(now + lifetime)
    , m_nextExpiry(now)
{
}

void LedgerAccount::configure(RateLimits limits, TimePoint now)
{
    accrue(now);
    m_limits = limits;
    const auto room = std::max(0.0, m_limits.burst - static_cast<double>(m_outstanding));
    m_level = std::min(m_level, room);
}

double LedgerAccount::outstandingLimit() const
{
    const auto limit = std::max(m_limits.burst / 2, (m_limits.burst + m_limits.reserve) * outstandingFraction);
    return std::min(m_limits.burst, std::max(1.0, limit));
}

/// \returns the tokens that accrue in a period. While grants of earlier owners may be outstanding, the rate is limited so
///     that these grants and the new tokens stay within burst and reserve.
double LedgerAccount::accruedTokens(TimePoint from, TimePoint to) const
{
    const auto spare = m_limits.burst + m_limits.reserve - outstandingLimit();
    const auto slowRate = std::min(m_limits.rate, spare / seconds(m_lifetime));
    const auto slowEnd = std::clamp(m_slowUntil, from, to);
    return slowRate * seconds(slowEnd - from) + m_limits.rate * seconds(to - slowEnd);
}

void LedgerAccount::accrue(TimePoint now)
{
    if (now <= m_accrued) {
        return;
    }
    const auto room = m_limits.burst - static_cast<double>(m_outstanding) - m_level;
    m_level += std::clamp(accruedTokens(m_accrued, now), 0.0, std::max(0.0, room));
    m_accrued = now;
}

bool LedgerAccount::handleRequest(const GrantHolderId& holder, const GrantRequest& request, std::uint64_t newGeneration, TimePoint now, GrantReply& reply)
{
    accrue(now);
    expire(now);
    auto& tokens = m_holders[holder];
    if (request.sequence <= tokens.lastSequence) {
        return false;
    }
    tokens.lastSequence = request.sequence;
    if (!tokens.generation || request.generation != tokens.generation) {
        // The holder has not accepted the current series and never will, because it ignores replies to earlier requests.
        reclaim(tokens);
        tokens.generation = newGeneration;
    } else {
        applyCounters(tokens, request);
    }
    tokens.expiry = now + m_lifetime;
    grant(tokens, immediateGrant(request, tokens));
    enqueue(holder, tokens, request.waiting > tokens.held() ? request.waiting - tokens.held() : 0);
    reply = makeReply(tokens, request.workspace);
    return true;
}

/// Applies the holder's counters; tokens that it has not accepted or has returned go back to the bucket.
void LedgerAccount::applyCounters(HolderTokens& tokens, const GrantRequest& request)
{
    const auto granted = std::clamp(request.granted, tokens.spent, tokens.granted);
    const auto spent = std::clamp(request.spent, tokens.spent, granted);
    m_level += static_cast<double>(tokens.granted - granted);
    m_outstanding -= tokens.held();
    tokens.granted = granted;
    tokens.spent = spent;
    m_outstanding += tokens.held();
    const auto room = std::max(0.0, m_limits.burst - static_cast<double>(m_outstanding));
    m_level = std::min(m_level, room);
}

/// Takes back all unspent tokens of a holder.
void LedgerAccount::reclaim(HolderTokens& tokens)
{
    const auto unspent = tokens.held();
    m_outstanding -= unspent;
    const auto room = std::max(0.0, m_limits.burst - static_cast<double>(m_outstanding));
    m_level = std::min(m_level + static_cast<double>(unspent), room);
    tokens.granted = 0;
    tokens.spent = 0;
}

/// Counts the tokens of holders that have sent no request for a grant lifetime as spent.
void LedgerAccount::expire(TimePoint now)
{
    if (now < m_nextExpiry) {
        return;
    }
    m_nextExpiry = now + m_lifetime / expiryChecksPerLifetime;
    std::erase_if(m_holders, [this, now](auto& entry) {
        auto& tokens = entry.second;
        if (now < tokens.expiry) {
            return false;
        }
        m_outstanding -= tokens.held();
        m_unfilled -= tokens.unfilled;
        return true;
    });
}

std::uint64_t LedgerAccount::available(double limit) const
{
    const auto room = limit - static_cast<double>(m_outstanding);
    return static_cast<std::uint64_t>(std::floor(std::max(0.0, std::min(m_level, room))));
}

/// \returns the tokens to grant at once: at most half of those available, and none while daemons wait.
std::uint64_t LedgerAccount::immediateGrant(const GrantRequest& request, const HolderTokens& tokens) const
{
    if (!m_queue.empty()) {
        return 0;
    }
    const auto urgent = request.waiting > tokens.held() ? request.waiting - tokens.held() : 0;
    const auto wanted = std::max<std::uint64_t>(request.want, request.waiting);
    const auto lacking = wanted > tokens.held() ? wanted - tokens.held() : 0;
    const auto immediate = std::min<std::uint64_t>(urgent, available(outstandingLimit()));
    const auto ahead = std::min<std::uint64_t>(lacking, available(outstandingLimit() * prefetchFraction));
    const auto most = std::max<std::uint64_t>(1, available(outstandingLimit()) / 2);
    return std::min(std::max(immediate, ahead), most);
}

void LedgerAccount::grant(HolderTokens& tokens, std::uint64_t amount)
{
    assert(static_cast<double>(amount) <= m_level);
    tokens.granted += amount;
    m_outstanding += amount;
    m_level -= static_cast<double>(amount);
}

void LedgerAccount::enqueue(const GrantHolderId& holder, HolderTokens& tokens, std::uint64_t unfilled)
{
    m_unfilled = m_unfilled - tokens.unfilled + unfilled;
    tokens.unfilled = unfilled;
    if (unfilled && !tokens.queued) {
        tokens.queued = true;
        m_queue.push_back(holder);
    }
}

void LedgerAccount::grantToWaiting(TimePoint now, const std::string& workspace, std::vector<Push>& pushes)
{
    accrue(now);
    expire(now);
    const auto turns = m_queue.size();
    for (std::size_t n = 0; n < turns && available(outstandingLimit()); ++n) {
        const auto holder = m_queue.front();
        m_queue.pop_front();
        const auto it = m_holders.find(holder);
        if (it == m_holders.end()) {
            continue;
        }
        auto& tokens = it->second;
        tokens.queued = false;
        if (!tokens.unfilled) {
            continue;
        }
        const auto fair = std::max<std::uint64_t>(1, available(outstandingLimit()) / (turns - n));
        const auto amount = std::min(tokens.unfilled, fair);
        grant(tokens, amount);
        enqueue(holder, tokens, tokens.unfilled - amount);
        pushes.emplace_back(holder, makeReply(tokens, workspace));
    }
}

GrantReply LedgerAccount::makeReply(const HolderTokens& tokens, const std::string& workspace) const
{
    GrantReply reply;
    reply.workspace = workspace;
    reply.sequence = tokens.lastSequence;
    reply.generation = tokens.generation;
    reply.granted = tokens.granted;
    reply.scarce = !m_queue.empty() || !available(outstandingLimit() * prefetchFraction);
    if (m_unfilled && m_limits.rate > 0) {
        const auto wait = static_cast<double>(m_unfilled) / m_limits.rate;
        constexpr double maxSeconds = 3600;
        reply.wait = std::chrono::milliseconds(std::llround(std::min(wait, maxSeconds) * 1000));
    }
    return reply;
}

} // namespace pw
