#pragma once

#include "pistachiowheel/pistachiowheel.h"

#include <string>
#include <vector>

namespace pw {

/// \returns what changes from \p before to \p after, one line for each entry that is added (+), removed (-) or
/// changed (~); none when the two say the same.
std::vector<std::string> diffDeployments(const Deployment& before, const Deployment& after);

} // namespace pw
