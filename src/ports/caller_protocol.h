#pragma once

#include "core/call.h"
#include "core/http_message.h"
#include "ports/fleet.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace pw {

/// Parameters of a caller's request, independent of the headers that carry them.
struct CallerRequest {
    std::optional<std::string> key; ///< Nothing if the request has no key or several.
    std::string requestId; ///< Empty if the caller gave none.
    std::optional<std::chrono::milliseconds> callerTimeout; ///< Time for which the caller waits for the answer.
    bool nested = false; ///< Nested call: made by the backend server beside this daemon while it runs another request.
    bool requiresClaim = false; ///< The request id must run at most once in the whole fleet.
};

/// Port: HTTP dialect of the callers: reads requests and builds answers, without any policy.
class CallerProtocol {
public:
    virtual ~CallerProtocol() = default;

    /// Reads the parameters of \p request.
    /// \param ask receives the parameters.
    /// \returns the refusal if they are invalid or ambiguous, otherwise nothing.
    virtual std::optional<Refusal> read(const HttpRequest& request, CallerRequest& ask) const = 0;

    /// \returns the headers of \p request that are forwarded to the backend server.
    virtual std::vector<HeaderLine> forwarded(const HttpRequest& request) const = 0;

    /// \returns the HTTP answer for \p answer: the backend server's answer if it is complete, otherwise a refusal.
    virtual HttpResponse answer(const Answer& answer) const = 0;

    /// \returns the HTTP answer for \p refusal.
    virtual HttpResponse refusal(const Refusal& refusal) const = 0;

    /// \returns the HTTP answer to a malformed request.
    /// \param what description of the error.
    virtual HttpResponse errorResponse(int status, std::string_view what) const = 0;
};

} // namespace pw
