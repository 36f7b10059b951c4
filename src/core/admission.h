#pragma once

#include "config.h"
#include "core/admission_queue.h"
#include "core/backend_rate.h"
#include "core/call.h"
#include "core/limit.h"
#include "core/request_rate_estimate.h"
#include "core/service_time.h"
#include "core/types.h"
#include "core/warm_up.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pw {

/// Outcome of Admission::offer().
enum class AdmissionOutcome : std::uint8_t {
    Started, ///< The caller must run the request now.
    Queued, ///< A later poll() starts or sheds the request.
    Refused, ///< The request must not be run; see OfferResult::refusal.
    Count
};

/// Result of Admission::offer().
struct OfferResult {
    AdmissionOutcome outcome = AdmissionOutcome::Started;
    Refusal refusal;
};

/// Result of an admitted request.
struct RunResult {
    RunOutcome outcome = RunOutcome::Ok;
    Duration nestedTime { 0 }; ///< Part of the run spent waiting for nested calls.
};

/// A request that was shed from the queue.
struct ShedRequest {
    std::uint64_t id = 0;
    Refusal refusal;
};

/// Result of Admission::poll().
struct AdmissionWork {
    std::vector<std::uint64_t> start;
    std::vector<ShedRequest> shed;
};

/// Decides which requests the backend server beside this daemon runs, and when.
///
/// Call poll() after every offer(), finish(), cancel() and setter call, and at nextWake().
class Admission {
public:
    explicit Admission(std::unique_ptr<Limit> limit);

    /// Offers a request. A request that cannot finish before its deadline is refused immediately.
    OfferResult offer(const AdmissionItem& item, TimePoint now);

    /// Reports the end of a started request.
    void finish(std::uint64_t id, const RunResult& result, TimePoint now);

    /// Removes a queued request, or frees the slot of a started one whose exchange was closed.
    void cancel(std::uint64_t id, TimePoint now);

    /// Removes and \returns all queued requests.
    std::vector<std::uint64_t> removeAllQueued();

    /// \returns the queued requests to start now and those shed since the last call.
    AdmissionWork poll(TimePoint now);

    /// \returns when poll() must be called next even if no other event occurs.
    std::optional<TimePoint> nextWake() const;

    /// \returns the load hint to send with each answer.
    LoadHint loadHint(TimePoint now) const;

    /// \returns the expected time until all queued nested calls have started.
    Duration expectedNestedWait(TimePoint now) const;

    void setCapacity(std::uint32_t slots, std::uint32_t connections);

    /// Lowers the limit, for instance after a restart of the backend server, where the start ramp provides for \p cause. That
    /// the server fails or responds again, and the end of its warm-up time, are detected here.
    /// \returns whether the limit was lowered.
    bool beginColdStart(RampCause cause, TimePoint now);

    /// \returns the ramp that bounds the limit after a start.
    const StartRamp& ramp() const { return m_limit->ramp(); }
    /// \returns why the last ramp began.
    RampCause rampCause() const { return m_limit->rampCause(); }

    /// While leaving, new requests are refused; queued and running requests are completed.
    void setLeaving(bool leaving);

    /// Sets the workspace rates, in proportion to which workspaces share this server when it is saturated.
    void setWorkspaceWeights(std::map<std::string, double> rates);

    /// Request rate limit that the backend server states.
    BackendRate& rate() { return m_rate; }
    const BackendRate& rate() const { return m_rate; }

    /// Request rate while the backend server warms up.
    WarmUp& warmUp() { return m_warmUp; }
    const WarmUp& warmUp() const { return m_warmUp; }

    std::uint32_t running() const { return static_cast<std::uint32_t>(m_running.size()); }
    std::uint32_t queued() const { return static_cast<std::uint32_t>(m_queue.size()); }
    std::uint32_t limit() const { return m_limit->current(); }
    /// \returns how many requests the backend server can run at once: the smaller of its announced slots and connections, and
    /// of what its rate limit or its warm-up rate keeps busy.
    double capacity(TimePoint now) const;

private:
    struct Running {
        TimePoint started;
        Duration queueDelay { 0 };
    };

    void start(const AdmissionItem& item, TimePoint queuedAt, TimePoint now);
    bool canMeetDeadline(const AdmissionItem& item, Duration wait, TimePoint now) const;
    Duration waitOfTurn(std::size_t turn, TimePoint now) const;
    Duration expectedWait(const AdmissionItem& item, TimePoint now) const;
    bool evictForNewcomer(const AdmissionItem& item, TimePoint now);
    bool canStart(TimePoint now) const;
    void watchWarmUp(TimePoint now);
    std::size_t queueCapacity(bool standing, TimePoint now) const;
    std::optional<double> requestRate(TimePoint now) const;
    std::optional<TimePoint> nextToken() const;
    void updateQueueState(TimePoint now);
    Refusal refusal(Reason reason, TimePoint now) const;
    void recordShed(const Rank& rank, TimePoint now);
    void recordStart(const Rank& rank, TimePoint now);
    void updateAdmissionFloor(TimePoint now);

    std::unique_ptr<Limit> m_limit;
    AdmissionQueue m_queue;
    std::unordered_map<std::uint64_t, Running> m_running;
    std::vector<ShedRequest> m_shed;
    ServiceTime m_serviceTime;
    BackendRate m_rate;
    WarmUp m_warmUp;
    bool m_wasCold = false; ///< Known to be cold at some time since the warm-up rate began to limit.
    RequestRateEstimate m_offered { config::offeredRateWindow };
    bool m_leaving = false;
    std::optional<TimePoint> m_nonEmptySince; ///< When the queue last became non-empty; empty while the queue is.
    bool m_hasStandingQueue = false; ///< Whether the queue persists beyond a burst, so that it adds delay but no throughput.
    TimePoint m_lastShed {};
    TimePoint m_polledAt {}; ///< Time of the last poll().

    /// Numbers of started and shed requests of one importance in the current interval.
    struct Tally {
        std::uint32_t started = 0;
        std::uint32_t shed = 0;
    };
    std::array<Tally, static_cast<std::size_t>(Importance::Count)> m_tally {};
    TimePoint m_intervalBegan {};
    Importance m_floor = Importance::Low;
};

} // namespace pw
