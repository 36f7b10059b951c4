#pragma once

#include "core/call.h"
#include "core/http_message.h"

namespace pw {

/// \returns the call for \p request on \p route, without the fields that depend on the caller.
/// \param service the service to call, one of those of the route.
/// \param headers the request headers that may be forwarded.
Call makeCall(const HttpRequest& request, const Route& route, std::string service, std::vector<HeaderLine> headers);

} // namespace pw
