#pragma once

#include "pistachiowheel/pistachiowheel.h"

#include <optional>
#include <string>

namespace pw {

/// Reads and checks a configuration as operators submit it.
/// \param source name of the text in messages.
/// \param reason receives "source:line: key: what is wrong; accepted: ..." when nothing is returned, a line for each
///     problem.
std::optional<Deployment> parseDeployment(const std::string& yaml, std::string& reason, const std::string& source = "configuration");

/// The same with the default source, in the shape that control logs and sessions take.
inline std::optional<Deployment> parseConfiguration(const std::string& yaml, std::string& reason)
{
    return parseDeployment(yaml, reason);
}

} // namespace pw
