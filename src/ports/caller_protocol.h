#pragma once

#include "core/call.h"
#include "core/http_message.h"
#include "ports/fleet.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace pw {

/// What a caller asks for, whatever headers its interface has for that.
struct CallerAsk {
    std::optional<std::string> key; ///< Nothing when none was shown, or several.
    std::string requestId; ///< Empty when the caller chose none.
    std::optional<std::chrono::milliseconds> patience; ///< How long the caller waits.
    bool nested = false; ///< Made by the backend server beside this daemon while it works on another request.
    bool claimsId = false; ///< The request id must not be used twice in the whole fleet.
};

/// Port: how callers' requests look and how they are answered. Decides nothing.
class CallerProtocol {
public:
    virtual ~CallerProtocol() = default;

    /// Reads what \p request asks for.
    /// \returns the refusal when that is not clear, nothing otherwise.
    virtual std::optional<Refusal> read(const HttpRequest& request, CallerAsk& ask) const = 0;

    /// \returns the headers that go on to the backend server.
    virtual std::vector<HeaderLine> forwarded(const HttpRequest& request) const = 0;

    /// \returns the HTTP answer for \p answer: the backend server's own when it is whole, a refusal otherwise.
    virtual HttpResponse answer(const Answer& answer) const = 0;

    /// \returns the HTTP answer that refuses a request.
    virtual HttpResponse refusal(const Refusal& refusal) const = 0;

    /// \returns the HTTP answer to a request that cannot be read.
    virtual HttpResponse fault(int status, std::string_view what) const = 0;
};

} // namespace pw
