#pragma once

#include "core/call.h"
#include "ports/fleet.h"

/// How answers of the system look to whoever asked over HTTP.
namespace pw {

/// \returns the HTTP answer for \p answer: the backend server's own when it is whole, a refusal otherwise.
/// Either carries the verdict.
HttpResponse toHttp(const Answer& answer);

/// \returns the HTTP answer that refuses a request.
HttpResponse refusalToHttp(const Refusal& refusal);

/// \returns the part of \p response that is kept for a re-send of the same request id.
KeptAnswer toKept(const Answer& answer, const HttpResponse& response);

/// \returns the HTTP answer to a re-send whose first answer was kept.
HttpResponse keptToHttp(const KeptAnswer& kept);

} // namespace pw
