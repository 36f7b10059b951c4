#pragma once

#include "core/grants.h"
#include "core/request_rate_estimate.h"

#include <cstdint>
#include <optional>

namespace pw {

/// Time limits of a GrantHolder.
struct GrantTimes {
    Duration lifetime {}; ///< Time from a request during which the tokens that it brought may be spent.
    Duration horizon {}; ///< Tokens are held for the demand expected in this time.
    Duration demandWindow {}; ///< Time constant of the demand estimate.
    Duration requestSpacing {}; ///< Minimum interval between requests for tokens that callers' requests wait for.
    Duration prefetchSpacing {}; ///< Minimum interval between requests that prefetch tokens, or that only raise the number of waiting requests.
    Duration requestRetry {}; ///< Time after which a request without a reply is sent again.
    Duration reportInterval {}; ///< Maximum time until spent tokens are reported.
};

/// The tokens that a daemon holds of one workspace: spends them, and decides when to request more and how many.
class GrantHolder {
public:
    explicit GrantHolder(const GrantTimes& times);

    /// Adapts the report interval to rate and burst; a burst that accrues quickly needs spent tokens to be reported sooner.
    void configure(double rate, double burst);

    /// Adds a caller's request to the demand estimate.
    void addDemand(TimePoint now) { m_demand.add(now); }

    /// Spends one token. \returns false when none may be spent now.
    bool takeToken(TimePoint now);

    /// \returns when makeRequest() is due, given the number of \p waiting requests; nothing if there is nothing to request or
    /// report.
    std::optional<TimePoint> requestDue(TimePoint now, std::uint32_t waiting) const;

    /// Makes the next request; replies to earlier ones are ignored from now on.
    /// \param sequence greater than that of every earlier request of this process.
    GrantRequest makeRequest(std::uint64_t sequence, std::uint32_t waiting, TimePoint now);

    /// Makes a request that returns all unspent tokens and asks for none. Later replies are ignored.
    GrantRequest makeReturnRequest(std::uint64_t sequence, TimePoint now);

    /// Adds the tokens granted in reply to the last request.
    void applyReply(const GrantReply& reply, TimePoint now);

    /// \returns the number of tokens that may be spent now.
    std::uint64_t held(TimePoint now) const;

    /// \returns whether the last request has had no reply.
    bool unanswered() const { return m_unanswered; }

    /// \returns whether the last request has had no reply within the retry time.
    bool overdue(TimePoint now) const { return m_unanswered && now - m_requestTime >= m_times.requestRetry; }

    /// \returns the time until a token can be expected, as of the last reply.
    std::chrono::milliseconds expectedWait() const { return m_wait; }

    /// \returns whether this holder can be destroyed without loss: it has no token to spend, no pending request and no demand.
    bool idle(TimePoint now) const;

private:
    /// Tokens of one grant series.
    struct Series {
        std::uint64_t generation = 0;
        std::uint64_t granted = 0;
        std::uint64_t spent = 0;
        TimePoint expiry;

        std::uint64_t held(TimePoint now) const { return now < expiry ? granted - spent : 0; }
    };

    std::uint64_t targetTokens(TimePoint now) const;
    bool isLow(std::uint64_t held, std::uint64_t want) const;

    GrantTimes m_times;
    Duration m_reportInterval;
    RequestRateEstimate m_demand;
    Series m_current;
    Series m_previous; ///< Series of the previous owner: may be spent until it expires, no longer reported.
    std::uint64_t m_lastSequence = 0;
    TimePoint m_requestTime;
    bool m_unanswered = false;
    bool m_scarce = false;
    bool m_returned = false; ///< All tokens were returned; replies are ignored.
    std::uint32_t m_waitingReported = 0; ///< Waiting requests that were reported to the owner and have had no token since.
    std::uint64_t m_spentReported = 0; ///< Spent tokens of the current series in the last request.
    std::uint64_t m_heldAtReply = 0; ///< Tokens of the current series after the last reply.
    std::chrono::milliseconds m_wait { 0 }; ///< Expected wait, as of the last reply.
};

} // namespace pw
