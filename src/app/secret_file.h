#pragma once

#include <optional>
#include <string>
#include <vector>

namespace pw {

/// Reads a file of secrets, one per line. Own proofs are made with the first secret and proofs of peers are accepted
/// with any of them, so a secret can be rotated without downtime.
/// The file must be a regular file owned by this user or root, without permissions for group and others.
/// \param reason receives "file: what is wrong; accepted: ..." when nothing is returned; it never contains a part of a secret.
std::optional<std::vector<std::string>> readSecretFile(const std::string& file, std::string& reason);

} // namespace pw
