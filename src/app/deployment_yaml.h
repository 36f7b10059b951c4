#pragma once

#include "pistachiowheel/pistachiowheel.h"

#include <optional>
#include <string>

namespace pw {

/// Parses and validates the YAML text of a configuration as operators submit it.
/// \param source name of the text in messages.
/// \param reason receives "source:line: key: what is wrong; accepted: ..." when nothing is returned, one line per
///     problem.
std::optional<Deployment> parseDeployment(const std::string& yaml, std::string& reason, const std::string& source = "configuration");

/// parseDeployment() with the default source name, with the signature of the parser that control logs and sessions take.
inline std::optional<Deployment> parseConfiguration(const std::string& yaml, std::string& reason)
{
    return parseDeployment(yaml, reason);
}

} // namespace pw
