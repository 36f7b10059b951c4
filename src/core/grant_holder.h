#pragma once

#include "core/demand_estimate.h"
#include "core/grants.h"

#include <cstdint>
#include <optional>

namespace pw {

/// Times that rule a holder's asks.
struct GrantTimes {
    Duration lifetime {}; ///< Time from an ask for which what it brought may be spent.
    Duration horizon {}; ///< Time ahead for which tokens are held.
    Duration demandWindow {};
    Duration askSpacing {}; ///< Shortest time between asks for requests that wait.
    Duration aheadSpacing {}; ///< Shortest time between other asks.
    Duration askRetry {};
    Duration reportInterval {};
};

/// Daemon's tokens of one workspace: spends them, and decides when to ask for more and how many.
class GrantHolder {
public:
    explicit GrantHolder(const GrantTimes& times);

    /// Adapts to rate and burst: a small burst needs spent tokens to be reported sooner.
    void configure(double rate, double burst);

    /// Counts a request, for the estimate of demand.
    void arrived(TimePoint now) { m_demand.add(now); }

    /// Spends one token. \returns false when none may be spent now.
    bool take(TimePoint now);

    /// \returns when ask() is due, given how many requests wait; nothing when there is nothing to ask or report.
    std::optional<TimePoint> askDue(TimePoint now, std::uint32_t waiting) const;

    /// Makes the next ask; replies to earlier ones are ignored from now on.
    /// \param sequence greater than that of every earlier ask of this process.
    GrantAsk ask(std::uint64_t sequence, std::uint32_t waiting, TimePoint now);

    /// Makes an ask that gives all unspent tokens back and wants none.
    GrantAsk giveBack(std::uint64_t sequence, TimePoint now);

    /// Takes what the owner granted in reply to the last ask.
    void replied(const GrantReply& reply, TimePoint now);

    /// \returns tokens that may be spent now.
    std::uint64_t held(TimePoint now) const;

    /// \returns whether the last ask has had no reply.
    bool unanswered() const { return m_unanswered; }

    /// \returns whether the last ask went out and had no reply within the retry time.
    bool overdue(TimePoint now) const { return m_unanswered && now - m_sent >= m_times.askRetry; }

    /// \returns time until a token can be expected, as the owner last said.
    std::chrono::milliseconds expectedWait() const { return m_wait; }

    /// \returns whether nothing is lost when this holder is destroyed: no token may be spent and no demand is seen.
    bool idle(TimePoint now) const;

private:
    /// Tokens of one series of one owner.
    struct Series {
        std::uint64_t generation = 0;
        std::uint64_t granted = 0;
        std::uint64_t spent = 0;
        TimePoint expiry;

        std::uint64_t held(TimePoint now) const { return now < expiry ? granted - spent : 0; }
    };

    std::uint64_t wanted(TimePoint now) const;
    bool isLow(std::uint64_t held, std::uint64_t want) const;

    GrantTimes m_times;
    Duration m_reportInterval;
    DemandEstimate m_demand;
    Series m_current;
    Series m_previous; ///< Of the owner before: spent until it expires, no longer reported.
    std::uint64_t m_lastSequence = 0;
    TimePoint m_sent;
    bool m_unanswered = false;
    bool m_scarce = false;
    bool m_closed = false; ///< All was given back: no reply is taken any more.
    std::uint32_t m_waitingAsked = 0; ///< Waiting requests that the owner knows of and has not served.
    std::uint64_t m_spentReported = 0;
    std::uint64_t m_heldAtReply = 0; ///< Tokens of the series after the last reply.
    std::chrono::milliseconds m_wait { 0 };
};

} // namespace pw
