#pragma once

#include "core/http_message.h"
#include "core/suspects.h"
#include "core/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pw {

/// Rate limit that a backend server has stated.
struct StatedRate {
    std::uint64_t backendStart = 0; ///< ServerEntry::backendIncarnation of the backend server.
    double requestsPerSecond = 0;

    bool operator==(const StatedRate&) const = default;
};

/// One attempt at a request, from an entry role to the daemon beside a backend server.
struct Call {
    std::uint64_t id = 0; ///< Unique within the entry daemon's process.
    std::string route;
    std::string service;
    std::string method;
    std::string target; ///< Path and query.
    std::string host; ///< Host header as sent by the caller, including the port.
    std::vector<HeaderLine> headers; ///< Without the caller's key.
    std::string body;
    std::string workspace; ///< Empty for open routes.
    std::string callerService; ///< Service of the backend server beside the entry daemon; empty if there is none.
    std::string requestId; ///< Chosen by the caller; empty if it sent none.
    Rank rank; ///< Rank of the root request.
    bool idempotent = true;
    bool repeated = false; ///< An earlier attempt was sent to another backend server.
    bool nested = false; ///< Made by a backend server while it processed another request.
    std::uint8_t depth = 0; ///< Nesting depth; zero for a root.
    std::uint32_t attempts = 0; ///< Attempt budget for the nested calls of this call.
    std::chrono::microseconds timeLeft { 0 }; ///< Time until the root's deadline.
    RequestDigest digest = 0; ///< Zero if requests are not identified.
    bool suspect = false; ///< Was running when a backend server crashed, as known to the sender.
    bool trial = false; ///< The only run of a suspect that the whole fleet allows now.
    std::optional<StatedRate> statedRate; ///< Rate limit of the backend server as last heard by the sender.
};

/// Slot time that one request uses at a service, directly or through its nested calls, and the price of that time.
struct ServiceDemand {
    std::string service;
    double price = 0; ///< Per second of slot time at the service; zero while slots are not scarce.
    std::chrono::microseconds work { 0 }; ///< Slot time that the request uses at the service.
};

/// Price of a second of slot time at one backend server, as reported by the daemon beside it and passed on by others.
struct SlotPrice {
    std::string service;
    std::uint64_t server = 0; ///< slotPriceServerId() of the server's name.
    std::uint32_t report = 0; ///< Increases with each report of the server; wraps around.
    double price = 0; ///< Zero once after a price has ended.
    std::chrono::milliseconds age { 0 }; ///< Time since the report, without its time on links.
};

/// Load of a backend server as measured by the daemon beside it; sent with every answer.
struct LoadHint {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 0; ///< Current concurrency limit; zero if unknown.
    Importance admissionFloor = Importance::Low; ///< Lowest importance that is currently admitted.
    bool leaving = false;
    std::optional<double> requestsPerSecond; ///< Rate limit that the backend server states; empty if it states none.
    double offeredPerSecond = 0; ///< Recent rate of requests for it, whether or not they were admitted; set with a rate limit.
    std::uint64_t backendStart = 0; ///< ServerEntry::backendIncarnation of the backend server; zero if unknown.
    bool departed = false; ///< This start of the backend server has said that it is leaving.
    double warmUpRate = 0; ///< Requests per second that it is sent at most while it warms up; zero otherwise.
    std::chrono::microseconds workTime { 0 }; ///< Recent work time of the call's route at it; zero: unknown.
};

/// Result of a call.
struct Answer {
    std::uint64_t id = 0; ///< Call::id.
    Refusal refusal; ///< Reason::None and Verdict::Ran for a complete answer.
    int status = 0; ///< HTTP status of a complete answer.
    std::vector<HeaderLine> headers;
    std::string body;
    bool arrived = false; ///< The call may have reached the backend server, whether or not it ran.
    std::uint32_t attemptsUnused = 0; ///< Unused part of Call::attempts, returned to the sender.
    LoadHint load;
    std::vector<std::string> downstream; ///< Services that nested calls reached, without duplicates.
    std::string saturated; ///< Downstream service that shed a nested call of this call, if any.
    std::vector<ServiceDemand> demands; ///< Service demands of a request of this route; empty if they were reported recently.
    std::vector<SlotPrice> prices; ///< Prices of scarce slots, whatever the route; empty with `admission.prices: chain`.

    /// \returns whether the backend server sent a complete answer.
    bool isComplete() const { return refusal.reason == Reason::None; }
};

} // namespace pw
