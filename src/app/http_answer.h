#pragma once

#include "core/call.h"
#include "ports/fleet.h"

/// Conversion of answers and refusals to HTTP responses.
namespace pw {

/// \returns the HTTP response for \p answer: that of the backend server when it is whole, a refusal otherwise.
/// Both carry the verdict in a header.
HttpResponse answerToHttp(const Answer& answer);

/// \returns the HTTP response for a refused request.
HttpResponse refusalToHttp(const Refusal& refusal);

/// \returns what is stored of \p response for repeats of the same request id.
/// \param outcome Reason::None for an answer of the backend server.
StoredAnswer toStoredAnswer(const Refusal& outcome, const HttpResponse& response);

/// \returns the HTTP response to a repeated request whose answer was stored.
HttpResponse storedAnswerToHttp(const StoredAnswer& stored);

} // namespace pw
