#pragma once

#include "pistachiowheel/pistachiowheel.h"

#include <string>
#include <vector>

namespace pw {

/// \returns the differences from \p before to \p after, one line per entry that is added (+), removed (-) or changed (~);
/// empty when the two are equivalent.
std::vector<std::string> diffDeployments(const Deployment& before, const Deployment& after);

} // namespace pw
