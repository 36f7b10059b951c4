#pragma once

#include "core/claims.h"

#include <string>

namespace pw {

/// \returns the claim key of \p requestId in \p workspace: the first half of a SHA-256 digest, so that callers cannot
///     construct colliding ids.
ClaimKey claimKey(const std::string& workspace, const std::string& requestId);

} // namespace pw
