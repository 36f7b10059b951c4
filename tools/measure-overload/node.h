#pragma once

#include "event_queue.h"
#include "scenario.h"

#include "core/admission.h"
#include "core/context_table.h"
#include "core/demand_cache.h"
#include "core/picker.h"
#include "core/retry.h"
#include "core/root_throttle.h"
#include "core/server_demand.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pw::measure {

/// Work done for one root request, wherever it is done.
struct Root {
    std::size_t route = 0;
    bool ended = false;
    bool whole = false;
    Duration work { 0 };
    std::vector<double> slotSeconds; ///< By service.
};
using RootPtr = std::shared_ptr<Root>;

/// Counts over one case.
struct Totals {
    std::uint64_t calls = 0; ///< Calls sent at any hop, each counted once.
    std::uint64_t attempts = 0; ///< Attempts at those calls.
    Duration useful { 0 };
    Duration wasted { 0 };
};

/// A call at one hop, before it is sent.
struct Request {
    std::size_t route = 0;
    std::string workspace;
    Rank rank;
    TimePoint deadline {};
    bool nested = false;
    std::uint8_t depth = 0;
    std::uint32_t attempts = 0; ///< Including the one that is sent.
    RootPtr root;
    const std::string* from = nullptr; ///< Daemon that sends it.
};

using Done = std::function<void(const Answer&)>;

class Node;

/// What the misled service does with more requests than the half of its announced slots that it really has.
enum class Misled : std::uint8_t {
    No, ///< It has the slots that it announces.
    Slows, ///< Runs them all, with less throughput the more there are.
    Refuses, ///< Says that it did not run them.
    Count
};

/// Everything that one case runs on.
struct World {
    World(const DeploymentModel& deploymentModel, const StrategyModel& strategyModel, std::uint64_t seed);
    ~World();

    Duration delayBetween(const Node& from, const Node& to) const;
    /// \param busy slots in use at the server that does the work.
    Duration sampleWork(std::size_t route, double busy);
    void endRoot(Root& root, bool whole);

    const DeploymentModel& deployment;
    const StrategyModel& strategy;
    EventQueue events;
    Random random;
    std::vector<std::vector<ServerEntry>> directory; ///< By service.
    std::vector<std::unique_ptr<Node>> nodes;
    std::unordered_map<std::string, Node*> byName;
    double slowFactor = 1; ///< Of the slow service.
    Misled misled = Misled::No;
    Totals totals;
    std::uint64_t nextId = 1;
};

/// A VM: a backend server with its daemon, which also takes callers' requests.
class Node {
public:
    Node(World& world, const ServerEntry& entry, std::size_t service);

    /// Sends a request as the daemon nearest the hop: gate, pick, send, perhaps retry. \returns how to cancel it.
    std::function<void()> send(const Request& request, Done done);

    /// Server role: takes one attempt.
    void receive(std::uint64_t id, const Request& request, Done done);
    void cancel(std::uint64_t id);

    const ServerEntry& entry() const { return m_entry; }

private:
    friend class Hop;

    /// One attempt at the backend server beside this daemon.
    struct Run {
        Request request;
        Done done;
        std::string token {};
        TimePoint began {};
        bool working = false; ///< Holds a slot of the backend server.
        bool workDone = false; ///< The backend server's own work is done, nested calls may be under way.
        bool answered = false;
        std::size_t pendingNested = 0;
        std::vector<std::function<void()>> cancelNested {};
    };
    using RunPtr = std::shared_ptr<Run>;

    void configureGate();
    void updateDemand();
    /// Adds what every answer of this daemon says: the server's load and what a request of the route costs.
    Answer signedAnswer(const Request& request, Answer answer);
    void pollAdmission();
    void scheduleWake();
    void begin(std::uint64_t id);
    void work(std::uint64_t id, const RunPtr& run);
    void callNested(std::uint64_t id, const RunPtr& run);
    void nestedDone(std::uint64_t id, const RunPtr& run, std::size_t route, const Answer& answer);
    void finish(std::uint64_t id, RunPtr run, RunOutcome outcome, const Refusal& refusal);
    void freeSlot(const RunPtr& run);
    void timeOut(std::uint64_t id);

    World& m_world;
    ServerEntry m_entry;
    std::size_t m_service;
    Picker m_picker;
    DemandCache m_board;
    ServerDemand m_demand;
    RootThrottle m_gate;
    RetryPolicy m_retry;
    ContextTable m_contexts;
    std::unique_ptr<Admission> m_admission; ///< Null without control.
    std::unordered_map<std::uint64_t, RunPtr> m_runs;
    std::optional<TimePoint> m_wake;
    std::uint32_t m_busy = 0; ///< Slots of the backend server in use.
    std::deque<std::uint64_t> m_backlog; ///< Waiting inside the backend server.
};

} // namespace pw::measure
