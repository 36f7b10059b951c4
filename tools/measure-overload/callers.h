#pragma once

#include "ideal.h"
#include "node.h"

#include <array>
#include <vector>

namespace pw::measure {

/// What callers saw of one case.
struct CallerCounts {
    explicit CallerCounts(const DeploymentModel& deployment);

    Flows sent; ///< Requests that came in the measured time; a caller's re-sends are not counted again.
    Flows whole; ///< Of those, answered whole.
    Costs slotSeconds; ///< Of whole answers, by route and service.
    /// Requests and whole answers by the time they came, one bin every binWidth.
    std::vector<double> binSent;
    std::vector<double> binWhole;
};

constexpr std::chrono::milliseconds binWidth { 100 };

/// Callers that send at a rate of their own and re-send hard what was refused.
class Callers {
public:
    Callers(World& world, TimePoint measureFrom, TimePoint measureUntil);

    /// Sets the requests a second of every flow.
    void setDemand(const Flows& demand);

    const CallerCounts& counts() const { return m_counts; }

private:
    struct Pending;

    void arrive(std::size_t route, std::size_t workspace, std::uint64_t version);
    void send(const std::shared_ptr<Pending>& pending);
    void answered(const std::shared_ptr<Pending>& pending, const RootPtr& root, const Answer& answer);
    std::size_t binOf(TimePoint time);

    World& m_world;
    TimePoint m_from;
    TimePoint m_until;
    Flows m_demand;
    std::uint64_t m_version = 0;
    CallerCounts m_counts;
};

} // namespace pw::measure
