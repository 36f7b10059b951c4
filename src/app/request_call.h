#pragma once

#include "core/call.h"
#include "core/http_message.h"

namespace pw {

/// \returns the call for \p request on \p route: what does not depend on who asks.
/// \param service that answers it, one of the route's.
/// \param headers those of the request that may be passed on.
Call callFor(const HttpRequest& request, const Route& route, std::string service, std::vector<HeaderLine> headers);

} // namespace pw
