#pragma once

#include "core/call.h"
#include "core/http_message.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace pw {

/// One run of a call at the backend server, as its HTTP request shows it.
struct BackendRun {
    const Call& call;
    std::string exchangeId; ///< Unique among the runs of this daemon.
    std::string instance; ///< Incarnation of the backend server that is meant; empty when it has no name.
    std::string contextToken; ///< For nested calls; empty when the protocol has none.
    std::chrono::milliseconds timeLeft { 0 };
};

/// What an answer of the backend server says.
enum class AnswerMeaning : std::uint8_t {
    Whole, ///< Its answer to the request.
    NotRun, ///< It states that it has not run the request.
    WrongServer, ///< Another backend server has the address; the request was not run.
    Another, ///< Belongs to an earlier request of the connection.
    Broken, ///< Not an answer of a backend server that works.
    Count
};

/// Port: how requests for backend servers look and what their answers mean. Decides nothing.
class BackendProtocol {
public:
    virtual ~BackendProtocol() = default;

    /// \returns whether nested calls are tied to the request they are made for by a context token.
    virtual bool usesContextTokens() const = 0;

    /// \returns the request for \p run, complete but for its framing.
    virtual HttpRequest request(const BackendRun& run) const = 0;

    /// \returns what \p answer says as the answer to \p request.
    virtual AnswerMeaning meaning(const HttpRequest& request, const HttpResponse& answer) const = 0;

    /// \returns whether \p answer identifies the request it belongs to, so that its connection can be used again.
    virtual bool identified(const HttpRequest& request, const HttpResponse& answer) const = 0;

    /// \returns whether an answer that identifies \p earlier would identify \p later as well.
    virtual bool sameName(const HttpRequest& earlier, const HttpRequest& later) const = 0;

    /// Removes what concerns only this daemon and the backend server from \p answer.
    virtual void strip(HttpResponse& answer) const = 0;
};

} // namespace pw
