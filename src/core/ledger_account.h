#pragma once

#include "core/grants.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pw {

/// Identifies one process of a daemon that holds tokens.
struct GrantHolderId {
    std::string address;
    std::uint64_t incarnation = 0; ///< Differs at every start of the daemon.

    auto operator<=>(const GrantHolderId&) const = default;
};

/// Limits of the token bucket of a workspace.
struct RateLimits {
    double rate = 0; ///< Tokens a second.
    double burst = 0; ///< Tokens.
    double reserve = 0; ///< Tokens above the burst that may be outstanding while the owner of the rates changes.
};

/// How far a workspace may exceed its rate and burst while the owner of the rates changes; by default not at all.
struct RateTolerance {
    std::chrono::milliseconds window { 0 }; ///< Length of the windows in which the requests are counted.
    double share = 0; ///< Excess allowed, as a fraction of what rate and burst allow in a window.
    double extra = 0; ///< Excess allowed in addition, in requests.

    bool operator==(const RateTolerance&) const = default;

    /// \returns the number of tokens above the burst that keeps every window within the tolerance.
    double reserve(double rate, double burst) const;
};

/// Token bucket of one workspace at the owner of the rates, which grants its tokens to daemons.
/// Invariant: the tokens in the bucket and those that daemons may still spend are never more than the burst in total, and
/// never more than burst and reserve while the owner changes; docs/design/rates.md gives the argument.
class LedgerAccount {
public:
    using Push = std::pair<GrantHolderId, GrantReply>;

    /// Starts with an empty bucket.
    /// \param lifetime time for which grants of this owner and of earlier owners can be spent.
    LedgerAccount(RateLimits limits, Duration lifetime, TimePoint now);

    /// Changes rate and burst; outstanding grants stay valid.
    void configure(RateLimits limits, TimePoint now);

    /// Applies the counters reported by \p holder and grants tokens to it.
    /// \param newGeneration number of the series that is begun if the request does not name the holder's current one.
    /// \returns false for an outdated or repeated request, which changes nothing.
    bool handleRequest(const GrantHolderId& holder, const GrantRequest& request, std::uint64_t newGeneration, TimePoint now, GrantReply& reply);

    /// Grants accrued tokens to the daemons that wait for them, in turn.
    /// \param pushes receives the replies to send.
    void grantToWaiting(TimePoint now, const std::string& workspace, std::vector<Push>& pushes);

    /// \returns whether any daemon waits for tokens.
    bool hasWaiting() const { return !m_queue.empty(); }

    /// \returns the number of tokens in the bucket.
    double level() const { return m_level; }

    /// \returns the number of tokens that are granted and neither reported as spent nor expired.
    std::uint64_t outstanding() const { return m_outstanding; }

    /// \returns the maximum number of outstanding tokens.
    double outstandingLimit() const;

private:
    /// Tokens granted to one holder, in its current series.
    struct HolderTokens {
        std::uint64_t lastSequence = 0;
        std::uint64_t generation = 0;
        std::uint64_t granted = 0;
        std::uint64_t spent = 0;
        std::uint64_t unfilled = 0; ///< Tokens still needed for waiting requests.
        bool queued = false; ///< Whether the holder is in m_queue.
        TimePoint expiry;

        std::uint64_t held() const { return granted - spent; }
    };

    void accrue(TimePoint now);
    double accruedTokens(TimePoint from, TimePoint to) const;
    void applyCounters(HolderTokens& tokens, const GrantRequest& request);
    void reclaim(HolderTokens& tokens);
    void expire(TimePoint now);
    void grant(HolderTokens& tokens, std::uint64_t amount);
    std::uint64_t available(double limit) const;
    std::uint64_t immediateGrant(const GrantRequest& request, const HolderTokens& tokens) const;
    void enqueue(const GrantHolderId& holder, HolderTokens& tokens, std::uint64_t unfilled);
    GrantReply makeReply(const HolderTokens& tokens, const std::string& workspace) const;

    RateLimits m_limits;
    Duration m_lifetime;
    double m_level = 0;
    std::uint64_t m_outstanding = 0;
    std::uint64_t m_unfilled = 0; ///< Sum over all holders.
    TimePoint m_accrued; ///< Time up to which tokens have accrued.
    TimePoint m_slowUntil; ///< Grants of earlier owners may be outstanding until then, so tokens accrue slowly.
    TimePoint m_nextExpiry; ///< Next time to look for expired grants.
    std::map<GrantHolderId, HolderTokens> m_holders;
    std::deque<GrantHolderId> m_queue; ///< Holders with waiting requests, each once.
};

} // namespace pw
