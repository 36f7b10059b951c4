#pragma once

#include "core/claims.h"

#include <cstddef>
#include <string>
#include <vector>

namespace pw {

/// \returns the members that vote on \p key: up to \p count of \p members, chosen by rendezvous hashing and therefore the
/// same in every process.
std::vector<std::string> claimReplicasOf(const ClaimKey& key, const std::vector<std::string>& members, std::size_t count);

} // namespace pw
