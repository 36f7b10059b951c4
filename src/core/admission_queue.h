#pragma once

#include "core/types.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pw {

/// A request that is offered to run at a backend server.
struct AdmissionItem {
    std::uint64_t id = 0;
    Rank rank = Importance::Normal;
    bool nested = false; ///< Made for a root request that is already running elsewhere.
    std::string workspace; ///< Empty for open routes.
    TimePoint deadline {};
};

/// A queued request.
struct QueuedItem {
    AdmissionItem item;
    TimePoint queuedAt {};
};

/// Priority queue of requests: ordered by rank, nested calls before new roots of equal rank, and within these by weighted
/// fair queueing between workspaces.
class AdmissionQueue {
public:
    void push(const AdmissionItem& item, TimePoint now);

    /// Removes and \returns the next request to start, and charges it to its workspace.
    std::optional<QueuedItem> pop();

    /// Charges a request that starts without being queued to its workspace.
    void charge(const AdmissionItem& item);

    /// Removes and \returns the root to shed in favour of \p newcomer, or nothing if \p newcomer itself is last in the order.
    /// Nested calls are never evicted, because the work already done for their roots would be wasted.
    std::optional<QueuedItem> evictFor(const AdmissionItem& newcomer);

    /// \returns whether a request with the rank, nesting and workspace of \p item is queued.
    bool isWaiting(const AdmissionItem& item) const;

    /// Removes a request. \returns whether it was there.
    bool erase(std::uint64_t id);

    /// Removes and \returns the requests whose deadline is before \p limit.
    std::vector<QueuedItem> expire(TimePoint limit);

    /// \returns the earliest deadline of a queued request.
    std::optional<TimePoint> earliestDeadline() const;

    /// \returns how many queued requests will start before \p item.
    std::size_t countAhead(const AdmissionItem& item) const;

    /// Sets the weights of workspaces. A workspace without a weight gets the average of the others.
    void setWeights(std::map<std::string, double> weights);

    std::size_t size() const { return m_locations.size(); }
    /// \returns how many of the queued requests are roots.
    std::size_t roots() const { return m_roots; }

private:
    using WaitingList = std::list<QueuedItem>;
    /// Requests of one level by workspace.
    using WorkspaceQueues = std::map<std::string, WaitingList>;
    /// Rank and whether the request is a root; the lowest value is served first.
    using Level = std::pair<Rank, bool>;
    using Levels = std::map<Level, WorkspaceQueues>;

    /// Position of a queued request.
    struct Location {
        Level level;
        WaitingList::iterator it;
    };

    /// Virtual time of one level, for start-time fair queueing. Each level has its own, so that serving a higher level does
    /// not change the order between the workspaces that wait in a lower one.
    struct VirtualClock {
        double time = 0; ///< Start tag of the queued request that was served last.
        std::unordered_map<std::string, double> finishTags; ///< Virtual finish time of the last request of each workspace.
    };

    static Level levelOf(const AdmissionItem& item);
    double weight(const std::string& workspace) const;
    double startTag(const Level& level, const std::string& workspace) const;
    void advanceFinishTag(const Level& level, const std::string& workspace, double from);
    WorkspaceQueues::iterator firstWorkspace(Levels::iterator waiting) const;
    /// \returns the workspace whose last request is served last, of those with at least \p minWaiting queued requests.
    WorkspaceQueues::iterator lastWorkspace(Levels::iterator waiting, std::size_t minWaiting) const;
    /// \returns the start tag of the last queued request of a workspace.
    double lastStartTag(const Level& level, const WorkspaceQueues::value_type& entry) const;
    QueuedItem remove(std::uint64_t id);

    Levels m_levels;
    std::unordered_map<std::uint64_t, Location> m_locations;
    std::size_t m_roots = 0;
    std::set<std::pair<TimePoint, std::uint64_t>> m_deadlines;
    std::map<std::string, double> m_weights;
    double m_averageWeight = 1;
    std::map<Level, VirtualClock> m_clocks; ///< Of the levels that had requests since the weights were set.
};

} // namespace pw
