#pragma once

#include "scenario.h"

#include <vector>

namespace pw::measure {

/// Values by route, then by workspace.
using Flows = std::vector<std::vector<double>>;
/// Slot seconds by route, then by service.
using Costs = std::vector<std::vector<double>>;

/// \returns requests a second of each flow when the total is \p total.
Flows demandOf(const DeploymentModel& deployment, double total);

/// \returns the largest total demand at which no service is saturated.
double capacityOf(const DeploymentModel& deployment, const Costs& costs);

/// \returns the flows that could be answered at best: highest importance first, shares by workspace rate within one
/// importance, until a service on the way is saturated (progressive filling).
Flows idealOf(const DeploymentModel& deployment, const Costs& costs, const Flows& demand);

/// \returns the sum over all flows.
double sumOf(const Flows& flows);

/// \returns the sum over the routes of one workspace.
double sumOfWorkspace(const Flows& flows, std::size_t workspace);

} // namespace pw::measure
