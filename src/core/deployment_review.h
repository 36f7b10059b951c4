#pragma once

#include "core/deployment_check.h"

#include <vector>

namespace pw {

/// Reviews a valid deployment for what an operator most likely did not intend: entries that can never match or be used, and
/// limits that contradict each other. None of these keeps the deployment from being accepted.
/// \returns the findings, by section; DeploymentProblem::accepted says how to resolve each.
std::vector<DeploymentProblem> deploymentWarnings(const Deployment& deployment);

} // namespace pw
