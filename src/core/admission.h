#pragma once

#include "core/admission_queue.h"
#include "core/call.h"
#include "core/limit.h"
#include "core/service_time.h"
#include "core/types.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pw {

/// What became of an offered request.
enum class AdmissionOutcome : std::uint8_t {
    Started, ///< Run it now.
    Queued, ///< poll() will start or shed it.
    Refused, ///< Not run; the refusal says why.
    Count
};

/// Answer to Admission::offer().
struct OfferResult {
    AdmissionOutcome outcome = AdmissionOutcome::Started;
    Refusal refusal;
};

/// How an admitted request ended.
struct RunResult {
    RunOutcome outcome = RunOutcome::Ok;
    Duration nestedTime { 0 }; ///< Part of the run in which it waited for nested calls.
};

/// A request that was shed from the queue.
struct Shed {
    std::uint64_t id = 0;
    Refusal refusal;
};

/// Work that poll() hands out.
struct AdmissionWork {
    std::vector<std::uint64_t> start;
    std::vector<Shed> shed;
};

/// Decides which requests the backend server beside this daemon runs, and when.
///
/// Call poll() after every offer(), finish(), cancel() and set call, and at nextWake().
class Admission {
public:
    explicit Admission(std::unique_ptr<Limit> limit);

    /// Offers a request. One that cannot be run in time is refused at once.
    OfferResult offer(const AdmissionItem& item, TimePoint now);

    /// Reports the end of a started request.
    void finish(std::uint64_t id, const RunResult& result, TimePoint now);

    /// Drops a queued request, or frees the slot of a started one whose exchange was closed.
    void cancel(std::uint64_t id, TimePoint now);

    /// Removes and \returns all queued requests.
    std::vector<std::uint64_t> takeQueued();

    /// \returns the queued requests to start now and those shed since the last call.
    AdmissionWork poll(TimePoint now);

    /// \returns when poll() has something to do although nothing else happens.
    std::optional<TimePoint> nextWake() const;

    /// \returns the load to send with each answer.
    LoadHint hint() const;

    /// \returns the time in which the nested calls that wait will have been started.
    Duration nestedWait(TimePoint now) const;

    void setCapacity(std::uint32_t slots, std::uint32_t connections);

    /// Another start of the backend server has the place, which may be slow at first.
    void beginColdStart();

    /// While leaving, new requests are refused; queued and running ones finish.
    void setLeaving(bool leaving);

    /// Sets the rates by which workspaces share this server when it is saturated.
    void setWorkspaceWeights(std::map<std::string, double> rates);

    std::uint32_t running() const { return static_cast<std::uint32_t>(m_running.size()); }
    std::uint32_t queued() const { return static_cast<std::uint32_t>(m_queue.size()); }
    std::uint32_t limit() const { return m_limit->current(); }
    /// \returns the slots that the backend server announced, as far as its connections allow.
    double capacity() const { return m_limit->announced(); }

private:
    struct Running {
        TimePoint started;
        Duration queueDelay { 0 };
    };

    void start(const AdmissionItem& item, TimePoint queuedAt, TimePoint now);
    bool canFinish(const AdmissionItem& item, Duration wait, TimePoint now) const;
    Duration expectedWait(const AdmissionItem& item, TimePoint now) const;
    bool makeRoom(const AdmissionItem& item, TimePoint now);
    std::size_t queueBound(bool standing) const;
    void watchQueue(TimePoint now);
    Refusal refusal(Reason reason, TimePoint now) const;
    void noteShed(const Rank& rank, TimePoint now);
    void noteStarted(const Rank& rank, TimePoint now);
    void rollInterval(TimePoint now);

    std::unique_ptr<Limit> m_limit;
    AdmissionQueue m_queue;
    std::unordered_map<std::uint64_t, Running> m_running;
    std::vector<Shed> m_shed;
    ServiceTime m_serviceTime;
    bool m_leaving = false;
    std::optional<TimePoint> m_waitingSince; ///< Since when the queue was never empty.
    bool m_standing = false; ///< The queue outlasts bursts: it adds delay and no throughput.
    TimePoint m_lastShed {};

    /// Started and shed requests of one importance in the current interval.
    struct Tally {
        std::uint32_t started = 0;
        std::uint32_t shed = 0;
    };
    std::array<Tally, static_cast<std::size_t>(Importance::Count)> m_tally {};
    TimePoint m_intervalBegan {};
    Importance m_floor = Importance::Low;
};

} // namespace pw
