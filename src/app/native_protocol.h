#pragma once

#include "ports/backend_protocol.h"
#include "ports/caller_protocol.h"

namespace pw {

/// Protocol between callers and daemons in the native interface, see docs/INTERFACE.md.
class NativeCallerProtocol final : public CallerProtocol {
public:
    std::optional<Refusal> read(const HttpRequest& request, CallerRequest& ask) const override;
    std::vector<HeaderLine> forwarded(const HttpRequest& request) const override;
    HttpResponse answer(const Answer& answer) const override;
    HttpResponse refusal(const Refusal& refusal) const override;
    HttpResponse errorResponse(int status, std::string_view what) const override;
};

/// Protocol between daemons and backend servers in the native interface, see docs/INTERFACE.md.
class NativeBackendProtocol final : public BackendProtocol {
public:
    bool usesContextTokens() const override { return true; }
    HttpRequest request(const BackendRun& run) const override;
    AnswerKind classify(const HttpRequest& request, const HttpResponse& answer) const override;
    bool identifiesRequest(const HttpRequest& request, const HttpResponse& answer) const override;
    bool haveSameIdentity(const HttpRequest& earlier, const HttpRequest& later) const override;
    BackendStatement statement(const HttpResponse& answer) const override;
    void strip(HttpResponse& answer) const override;
};

} // namespace pw
