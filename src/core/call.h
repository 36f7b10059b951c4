#pragma once

#include "core/http_message.h"
#include "core/types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pw {

/// One attempt at a request, from an entry role to the daemon beside a backend server.
struct Call {
    std::uint64_t id = 0; ///< Unique to the entry daemon's process.
    std::string route;
    std::string service;
    std::string method;
    std::string target; ///< Path and query.
    std::string host; ///< As the caller named it, with its port.
    std::vector<HeaderLine> headers; ///< Never the caller's key.
    std::string body;
    std::string workspace; ///< Empty on open routes.
    std::string callerService; ///< Service of the backend server beside the entry daemon, empty when there is none.
    std::string requestId; ///< As the caller chose it; empty when it sent none.
    Rank rank; ///< The root's.
    bool idempotent = true;
    bool repeated = false; ///< Sent to another backend server before.
    bool nested = false; ///< Made by a backend server while it worked on another request.
    std::uint8_t depth = 0; ///< Zero for a root.
    std::uint32_t attempts = 0; ///< Attempt budget that this call may spend on nested calls.
    std::chrono::microseconds timeLeft { 0 }; ///< Until the root's deadline.
};

/// What one request costs at a service, itself or by the calls made for it.
struct ServiceDemand {
    std::string service;
    double price = 0; ///< For a second of a slot there; zero while slots are not scarce.
    std::chrono::microseconds work { 0 }; ///< Time that it holds slots there.
};

/// What a server-side daemon sees of its backend server, sent with every answer.
struct LoadHint {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 0; ///< Current concurrency limit; zero when not known.
    Importance admissionFloor = Importance::Low; ///< Lowest importance that is admitted now.
    bool leaving = false;
};

/// End of a call.
struct Answer {
    std::uint64_t id = 0; ///< The call's.
    Refusal refusal; ///< Reason::None and Verdict::Ran for a whole answer.
    int status = 0; ///< HTTP status of a whole answer.
    std::vector<HeaderLine> headers;
    std::string body;
    bool arrived = false; ///< The call may have reached the backend server, run or not.
    std::uint32_t attemptsUnused = 0; ///< Part of Call::attempts that goes back.
    LoadHint load;
    std::vector<std::string> downstream; ///< Services that nested calls reached, each once.
    std::string saturated; ///< Downstream service that shed work of this call, if any.
    std::vector<ServiceDemand> demands; ///< What a request of this route costs; only now and then.

    /// \returns whether the backend server gave a whole answer.
    bool whole() const { return refusal.reason == Reason::None; }
};

} // namespace pw
