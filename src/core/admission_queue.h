#pragma once

#include "core/types.h"

#include <cstdint>
#include <functional>
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
    Importance importance = Importance::Normal;
    bool nested = false; ///< Made for a root request that already runs elsewhere.
    std::string workspace; ///< Empty on open routes.
    TimePoint deadline {};
};

/// A request that waits.
struct WaitingItem {
    AdmissionItem item;
    TimePoint since {};
};

/// Waiting requests: by importance, nested before new roots of equal importance, then weighted fair by workspace.
class AdmissionQueue {
public:
    void push(const AdmissionItem& item, TimePoint now);

    /// \returns the next request to start, and charges its workspace.
    std::optional<WaitingItem> pop();

    /// Charges \p workspace for a request that starts without waiting.
    void charge(const std::string& workspace);

    /// \returns the request to shed to make room for \p newcomer, or nothing when \p newcomer itself ranks lowest.
    std::optional<WaitingItem> displace(const AdmissionItem& newcomer);

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

private:
    /// Requests of one importance, nested or not, by workspace.
    using Waiting = std::list<WaitingItem>;
    using Class = std::map<std::string, Waiting>;
    /// Rank of a class: importance first, then nested; the highest goes first.
    using Rank = std::uint8_t;

    using Classes = std::map<Rank, Class, std::greater<>>;

    /// Where a waiting request is.
    struct Place {
        Rank rank;
        Waiting::iterator it;
    };

    static Rank rankOf(const AdmissionItem& item);
    double weight(const std::string& workspace) const;
    double startTag(const std::string& workspace) const;
    Class::iterator leastServed(Class& waiting) const;
    Class::iterator lastServed(Class& waiting) const;
    /// \returns the virtual time at which the last waiting request of a workspace has its turn.
    double lastTurn(const Class::value_type& entry) const;
    WaitingItem take(std::uint64_t id);

    Classes m_classes;
    std::unordered_map<std::uint64_t, Place> m_places;
    std::set<std::pair<TimePoint, std::uint64_t>> m_deadlines;
    std::map<std::string, double> m_weights;
    double m_averageWeight = 1;
    std::unordered_map<std::string, double> m_finishTags; ///< Virtual time at which a workspace's last start is paid for.
    double m_virtualTime = 0;
};

} // namespace pw
