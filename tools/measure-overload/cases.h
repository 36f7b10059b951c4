#pragma once

#include "ideal.h"

#include <chrono>
#include <optional>

namespace pw::measure {

/// Figures of one case; see docs/MEASUREMENTS.md for what each means.
struct Figures {
    double goodput = 0; ///< Whole answers over the best possible.
    double worstWorkspace = 0; ///< Smallest share of a workspace over its fair share.
    double wrongfulRefusals = 0; ///< Share of what was due and not answered.
    double criticalSuccess = 0; ///< Share of critical requests answered whole.
    bool criticalWithinCapacity = false;
    double wastedWork = 0; ///< Share of the work done for requests that failed.
    double amplification = 0; ///< Attempts for each call.
    std::optional<std::chrono::milliseconds> recovery; ///< After a trigger ended; nothing when it did not come.
};

/// Length of the measured part of a case.
struct CaseTimes {
    std::chrono::milliseconds warmUp;
    std::chrono::milliseconds measured;
};

/// \returns the slot seconds of each route at light load.
Costs calibrate(const DeploymentModel& deployment, CaseTimes times);

/// Runs steady demand at \p factor times the capacity.
Figures runSteady(const DeploymentModel& deployment, const StrategyModel& strategy, const Costs& costs, double factor, CaseTimes times);

/// Runs demand below capacity, slows the deep service five times for ten seconds while demand doubles, and goes on.
Figures runSlow(const DeploymentModel& deployment, const StrategyModel& strategy, const Costs& costs);

/// Runs steady demand at twice the capacity while a service announces twice the slots that it has.
Figures runMisled(const DeploymentModel& deployment, const StrategyModel& strategy, const Costs& costs, CaseTimes times);

} // namespace pw::measure
