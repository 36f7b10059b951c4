#pragma once

#include "adapters/http_server.h"
#include "core/call.h"

namespace pw {

/// \returns the call for \p request on \p route: what does not depend on who asks. Only headers that may be passed on
/// are taken over.
Call callFor(const HttpRequest& request, const Route& route);

} // namespace pw
