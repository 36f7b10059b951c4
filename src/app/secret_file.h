#pragma once

#include <optional>
#include <string>
#include <vector>

namespace pw {

/// Reads a file of secrets, one a line. The first proves this daemon, every one is accepted as proof of others,
/// so that a secret can be rotated without a stop.
/// The file must be a regular one, belong to this user or root, and be closed to group and others.
/// \param reason receives "file: what is wrong; accepted: ..." when nothing is returned; never a part of a secret.
std::optional<std::vector<std::string>> readSecretFile(const std::string& file, std::string& reason);

} // namespace pw
