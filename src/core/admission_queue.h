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

/// A request that asks to run at a backend server.
struct AdmissionItem {
    std::uint64_t id = 0;
    Rank rank = Importance::Normal;
    bool nested = false; ///< Made for a root request that already runs elsewhere.
    std::string workspace; ///< Empty on open routes.
    TimePoint deadline {};
};

/// A request that waits.
struct WaitingItem {
    AdmissionItem item;
    TimePoint since {};
};

/// Waiting requests: by rank, nested before new roots of equal rank, then weighted fair by workspace.
class AdmissionQueue {
public:
    void push(const AdmissionItem& item, TimePoint now);

    /// \returns the next request to start, and charges its workspace.
    std::optional<WaitingItem> pop();

    /// Charges the workspace of a request that starts without waiting.
    void charge(const AdmissionItem& item);

    /// \returns the root to shed to make room for \p newcomer, or nothing when \p newcomer itself ranks lowest.
    /// Nested calls are never shed for others: the work done for their roots would be lost.
    std::optional<WaitingItem> displace(const AdmissionItem& newcomer);

    /// \returns whether a request of the same rank and workspace as \p item waits.
    bool waits(const AdmissionItem& item) const;

    /// Removes a request. \returns whether it was there.
    bool erase(std::uint64_t id);

    /// Removes and \returns the requests whose deadline is before \p limit.
    std::vector<WaitingItem> expire(TimePoint limit);

    /// \returns the earliest deadline of a waiting request.
    std::optional<TimePoint> earliestDeadline() const;

    /// \returns how many waiting requests go before \p item.
    std::size_t ahead(const AdmissionItem& item) const;

    /// Sets the weights of workspaces; one that has none weighs as the average of the others.
    void setWeights(std::map<std::string, double> weights);

    std::size_t size() const { return m_places.size(); }
    /// \returns how many of the waiting requests are roots.
    std::size_t roots() const { return m_roots; }

private:
    /// Requests of one level by workspace.
    using Waiting = std::list<WaitingItem>;
    using Class = std::map<std::string, Waiting>;
    /// Rank first, then whether it is a root; the least goes first.
    using Level = std::pair<Rank, bool>;
    using Classes = std::map<Level, Class>;

    /// Where a waiting request is.
    struct Place {
        Level level;
        Waiting::iterator it;
    };

    /// Virtual time of one level, by start-time fair queueing. Each level has its own: one that is served out of turn
    /// because it ranks higher must not take the credit of those that wait.
    struct FairClock {
        double time = 0; ///< Start of the latest request that waited for its turn.
        std::unordered_map<std::string, double> paidUntil; ///< Virtual time that a workspace has used up.
    };

    static Level levelOf(const AdmissionItem& item);
    double weight(const std::string& workspace) const;
    double startTag(const Level& level, const std::string& workspace) const;
    void pay(const Level& level, const std::string& workspace, double from);
    Class::iterator firstServed(Classes::iterator waiting) const;
    /// \returns the workspace whose last request has the last turn, of those with at least \p least waiting.
    Class::iterator lastServed(Classes::iterator waiting, std::size_t least) const;
    /// \returns the virtual time at which the last waiting request of a workspace has its turn.
    double lastTurn(const Level& level, const Class::value_type& entry) const;
    WaitingItem take(std::uint64_t id);

    Classes m_classes;
    std::unordered_map<std::uint64_t, Place> m_places;
    std::size_t m_roots = 0;
    std::set<std::pair<TimePoint, std::uint64_t>> m_deadlines;
    std::map<std::string, double> m_weights;
    double m_averageWeight = 1;
    std::map<Level, FairClock> m_clocks; ///< Of the levels that were seen lately.
};

} // namespace pw
