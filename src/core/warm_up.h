#pragma once

#include "core/limit.h"
#include "core/token_bucket.h"
#include "core/types.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace pw {

/// Request rate that a backend server tolerates while it warms up.
struct WarmUpSettings {
    double requestsPerSecond = 0; ///< Zero: the server does not warm up and is not limited.
    double overage = 1; ///< In any one-second window the server gets at most requestsPerSecond * overage + slack requests.
    double slack = 0;
    bool rises = false; ///< The rate rises towards requestsPerSecond * overage while the server's responses stay fast.

    bool operator==(const WarmUpSettings&) const = default;
};

/// Limits the rate of requests to a backend server that is cold or may be cold, and decides when its remaining warm-up time
/// must be probed.
///
/// A server may become cold at any moment, and what it announces may have been sent before that. After an event that can
/// have made it cold, its state is therefore unknown, which is treated as cold, until a probe sent after the event is
/// answered.
class WarmUp {
public:
    /// Applies settings. Without a rate, nothing is limited and no probe is wanted.
    void configure(const WarmUpSettings& settings);

    /// Handles an announcement of the remaining warm-up time. It can lengthen the warm-up time, but never shorten it or end
    /// an unknown state, since it may have been sent before the server became cold.
    void onAnnounced(Duration left, TimePoint now);

    /// Handles an event after which the server may be cold: a new process of this daemon, a new start of the server, a lost
    /// connection to it, or the end of an evacuation. No tokens are gained by it.
    void onStateUnknown(TimePoint now);

    /// Handles the sending of a probe, which counts as a request to the server.
    void onProbeSent(TimePoint now);

    /// Handles the outcome of a probe that was sent at \p askedAt.
    /// \param left remaining warm-up time; empty if the probe failed.
    void onProbed(std::optional<Duration> left, TimePoint askedAt, TimePoint now);

    /// Adapts the rate to a finished run that began at \p startedAt, where the settings let it rise. Addresses service times
    /// without nested calls: a cold server that slows down under the risen rate gets the tolerated one again.
    void onSample(const LimitSample& sample, TimePoint startedAt, TimePoint now);

    /// \returns whether the server is cold or may be.
    bool isLimiting(TimePoint now) const;

    /// \returns whether the state is unknown.
    bool isUnknown() const { return m_settings.requestsPerSecond > 0 && m_unknownSince.has_value(); }

    /// \returns whether a probe is to be sent now: the state is unknown, no probe is in progress, and the last one was sent
    /// and has failed at least config::warmUpProbeInterval ago.
    bool wantsProbe(TimePoint now) const;

    /// \returns the requests per second that may be sent; empty while the server is not limited.
    std::optional<double> rate(TimePoint now) const;

    /// \returns whether a request may be sent now.
    bool hasToken(TimePoint now) const;

    /// Records that a request is sent. Must also be called while the server is not limited.
    void takeToken(TimePoint now);

    /// \returns the time until \p count more requests may have been sent; zero while the server is not limited.
    Duration timeToSend(std::size_t count, TimePoint now) const;

    /// \returns when the next request may be sent; empty while the server is not limited.
    std::optional<TimePoint> nextToken(TimePoint now) const;

private:
    void beginLimiting(TimePoint now);
    void configureBucket();
    double highestRate() const;
    void setRate(double requestsPerSecond, TimePoint now);
    void forgetSamples(TimePoint now);
    void endRound(TimePoint now);
    void record(TimePoint now, double lowestLevel);
    std::size_t windowLimit() const;
    TimePoint windowAllows(std::size_t count) const;

    WarmUpSettings m_settings;
    double m_rate = 0; ///< Requests per second while limiting.
    TokenBucket m_bucket; ///< Paces the requests.
    std::deque<TimePoint> m_sent; ///< Times of the last windowLimit() requests, whether or not they were limited.
    TimePoint m_coldUntil {};
    TimePoint m_announcedUntil {}; ///< Latest end of the warm-up time that was announced since m_probeSentAt.
    std::optional<TimePoint> m_unknownSince; ///< Last event after which the server may be cold.
    /// Responses of the current round.
    struct Round {
        std::uint32_t count = 0;
        Duration total { 0 }; ///< Sum of their service times.
    };
    Round m_round;
    Duration m_fastestRound { 0 }; ///< Average service time of the fastest round since limiting began; zero if there was none.
    TimePoint m_samplesSince {}; ///< Runs that began earlier do not count.
    bool m_probing = false;
    TimePoint m_probeSentAt {};
    TimePoint m_nextProbe {};
};

} // namespace pw
