#pragma once

#include "core/claims.h"

#include <string>

namespace pw {

/// \returns the key under which \p requestId of \p workspace is claimed: the first half of a SHA-256 digest, so that
///     no caller can make ids collide.
ClaimKey claimKey(const std::string& workspace, const std::string& requestId);

} // namespace pw
