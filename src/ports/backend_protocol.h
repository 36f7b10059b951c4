#pragma once

#include "core/backend_statement.h"
#include "core/call.h"
#include "core/http_message.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pw {

/// One run of a call at the backend server: the data from which its HTTP request is made.
struct BackendRun {
    const Call& call;
    std::string exchangeId; ///< Unique among the runs of this daemon.
    std::string instance; ///< Incarnation of the backend server that the call is for; empty if it has no name.
    std::string contextToken; ///< Context token for nested calls; empty if the protocol uses none.
    std::chrono::milliseconds timeLeft { 0 }; ///< Time until the deadline of the call.
};

/// Classification of an answer of the backend server.
enum class AnswerKind : std::uint8_t {
    Complete, ///< Complete answer to the request.
    NotRun, ///< States that the backend server has not run the request.
    WrongServer, ///< A different backend server has this address; the request was not run.
    Mismatched, ///< Belongs to an earlier request on the connection.
    Invalid, ///< Not a valid answer.
    Count
};

/// What a healthy backend server states in its answer to a health request.
struct HealthReport {
    std::string instance; ///< The backend server that answered.
    std::chrono::milliseconds warmUpLeft { 0 }; ///< Time for which it stays cold; zero: it is warm.
};

/// Port: HTTP dialect of the backend servers: builds requests and classifies answers, without any policy.
class BackendProtocol {
public:
    virtual ~BackendProtocol() = default;

    /// \returns whether nested calls carry a context token that links them to the request for which they are made.
    virtual bool usesContextTokens() const = 0;

    /// \returns the request for \p run, complete except for its framing headers.
    virtual HttpRequest request(const BackendRun& run) const = 0;

    /// \returns the classification of \p answer as the answer to \p request.
    virtual AnswerKind classify(const HttpRequest& request, const HttpResponse& answer) const = 0;

    /// \returns whether \p answer identifies \p request as the one it belongs to, so that the connection can be reused.
    virtual bool identifiesRequest(const HttpRequest& request, const HttpResponse& answer) const = 0;

    /// \returns whether an answer that identifies \p earlier would also identify \p later.
    virtual bool haveSameIdentity(const HttpRequest& earlier, const HttpRequest& later) const = 0;

    /// \returns what the backend server states about itself in \p answer.
    virtual BackendStatement statement(const HttpResponse& answer) const = 0;

    /// \returns a health request to \p path for the backend server \p instance, complete except for its framing headers; each
    ///     call makes one with an identity of its own. Empty if the protocol has no health requests.
    virtual std::optional<HttpRequest> healthRequest(const std::string& /*path*/, const std::string& /*instance*/) const { return std::nullopt; }

    /// \returns what \p answer to a health request states; empty if the server is not healthy or does not state its warm-up
    ///     time.
    virtual std::optional<HealthReport> healthReport(const HttpResponse& /*answer*/) const { return std::nullopt; }

    /// Removes the headers from \p answer that are only for this daemon.
    virtual void strip(HttpResponse& answer) const = 0;
};

} // namespace pw
