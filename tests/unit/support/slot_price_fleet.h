#pragma once

#include "config.h"
#include "core/admission.h"
#include "core/demand_cache.h"
#include "core/picker.h"
#include "core/root_throttle.h"
#include "core/server_demand.h"
#include "core/slot_price_table.h"

#include <array>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

/// Services, kinds of requests and daemons of the simulated fleet; see slot_price_simulation.h.
namespace pw::play::detail {

using namespace std::chrono_literals;

inline constexpr std::size_t daemons = 93;
inline constexpr std::size_t domains = 3;
inline constexpr Duration linkLatency = 500us;
inline constexpr Duration warmUp = 4s; ///< Before the measured time.
inline constexpr Duration faultLength = 3s;
/// Time after which a daemon notices that another one does not respond.
inline constexpr Duration detectionTime = config::peerUnresponsiveAfter;
inline constexpr double wavePeriod = 13;
/// Share of the slots in use from which the deepest service slows down, and the factor.
inline constexpr double slowdownThreshold = 0.95;
inline constexpr double slowdownFactor = 1.3;
inline constexpr double headroom = 0.05; ///< limit.headroom
/// Servers of the two upper services are slower by this factor for a share of the time, in periods of this length.
inline constexpr double stallFactor = 2.5;
inline constexpr double stallShare = 0.15;
inline constexpr Duration stallPeriod = 600ms;
/// Deadline of nested calls whose route states none.
inline constexpr Duration nestedDeadline = 3s;

struct ServiceSpec {
    const char* name;
    std::size_t servers;
    std::uint32_t slots;
    std::array<double, 3> speeds;
    bool stalls;
    bool slowsDown;
};
inline constexpr std::array<ServiceSpec, 4> services { {
    { "quotes", 43, 78, { 0.6, 1.0, 1.6 }, true, false },
    { "orders", 30, 80, { 0.7, 0.7, 1.6 }, true, false },
    { "notes", 9, 267, { 0.6, 1.0, 1.4 }, false, false },
    { "positions", 6, 177, { 0.7, 0.7, 1.6 }, false, true },
} };
inline constexpr std::size_t deepest = 3;

/// A kind of request, with the calls that it makes one after another.
struct Kind {
    const char* route;
    std::size_t service;
    Duration work;
    Duration deadline;
    int calls;
    const Kind* callee;
    double perSecond; ///< Of callers.
    Duration target;
};
inline constexpr Kind positionCall { "position-call", 3, 71ms, 700ms, 0, nullptr, 0, 0ms };
inline constexpr Kind noteCall { "note-call", 2, 15ms, nestedDeadline, 4, &positionCall, 0, 0ms };
inline constexpr Kind orderCall { "order-call", 1, 15ms, nestedDeadline, 1, &noteCall, 0, 0ms };
inline constexpr std::array<Kind, 4> rootKinds { {
    { "quote-history", 0, 240ms, 5s, 2, &orderCall, 945, 2s },
    { "order-place", 1, 310ms, 5s, 1, &noteCall, 378, 2s },
    { "note-upload", 2, 290ms, 5s, 0, nullptr, 110, 2s },
    { "position-read", 3, 94ms, 1500ms, 0, nullptr, 327, 400ms },
} };

inline double seconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

inline Duration scaled(Duration time, double factor)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(static_cast<double>(time.count()) * factor));
}

struct Daemon {
    Daemon(std::size_t n, std::uint64_t seed)
        : address("10.0.0." + std::to_string(n) + ":7100")
        , domain("d" + std::to_string(n % domains))
        , picker(seed)
    {
    }
    PeerAddress address;
    std::string domain;
    Picker picker;
    DemandCache board;
    SlotPriceTable prices;
    RootThrottle throttle;
};

struct Root {
    const Kind* kind;
    TimePoint sent;
    double work = 0; ///< Slot time used so far, in seconds.
};

/// A request at one hop.
struct Job {
    const Kind* kind;
    Daemon* sender;
    std::shared_ptr<Root> root;
    std::shared_ptr<Job> parent; ///< Null for a root.
    TimePoint deadline;
    std::size_t server = 0;
    std::uint64_t id = 0;
    int callsLeft = 0;
    std::vector<std::string> tried {};
    TimePoint sentAt {};
    TimePoint startedAt {};
    bool ended = false;
    bool running = false;
};
using JobPtr = std::shared_ptr<Job>;

struct Server {
    Server(const ServiceSpec& spec, std::size_t index, Daemon& beside, const PriceControl& control)
        : service(&spec)
        , daemon(beside)
        , slots(static_cast<std::uint32_t>(spec.slots * (1 - headroom)))
        , admission(makeLimit("delay", { slots, 1000, false }))
        , demand(beside.board, control)
        , speed(spec.speeds.at(index % spec.speeds.size()))
    {
    }
    const ServiceSpec* service;
    Daemon& daemon;
    std::uint32_t slots;
    Admission admission;
    ServerDemand demand;
    double speed;
    bool alive = true;
    bool stalled = false;
    std::unordered_map<std::uint64_t, JobPtr> jobs {}; ///< Queued or running.
};

} // namespace pw::play::detail
