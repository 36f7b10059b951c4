#pragma once

#include "adapters/http_server.h"
#include "adapters/operator_proof.h"
#include "app/interface.h"
#include "ports/events.h"
#include "ports/operator_backend.h"
#include "ports/timers.h"

#include <memory>
#include <string>
#include <vector>

namespace pw {

/// HTTP API for operators. Metrics and challenges are public; every other request needs a proof of the operators'
/// secret. docs/OPERATOR-API.md lists the requests.
class OperatorHttp final : public DaemonEndpoint {
public:
    /// Registers gauges in the metrics of \p parts, which must not be rendered after this object is destroyed.
    explicit OperatorHttp(const EndpointDependencies& parts);
    ~OperatorHttp() override;
    OperatorHttp(const OperatorHttp&) = delete;
    OperatorHttp& operator=(const OperatorHttp&) = delete;

    bool init(std::string& reason) override;

private:
    /// A request whose proof was verified, with what is needed to reply to it.
    struct AuthenticatedRequest {
        std::shared_ptr<HttpExchange> exchange;
        OperatorProof proof;
        std::string change; ///< Id of the requested change; empty for none.
    };
    using AuthenticatedRequestPtr = std::shared_ptr<AuthenticatedRequest>;

    /// Entry of the request table.
    struct Endpoint {
        std::string_view method;
        std::string_view path;
        bool needsControlRole;
        void (OperatorHttp::*handle)(const AuthenticatedRequestPtr&);
    };
    static const std::vector<Endpoint>& endpoints();

    void registerGauges();
    void onRequest(const std::shared_ptr<HttpExchange>& exchange);
    /// Verifies the proof of a request. \returns null after replying with an error when it is missing or invalid.
    AuthenticatedRequestPtr authenticate(const std::shared_ptr<HttpExchange>& exchange);

    void status(const AuthenticatedRequestPtr& authenticated);
    void showConfiguration(const AuthenticatedRequestPtr& authenticated);
    void history(const AuthenticatedRequestPtr& authenticated);
    void submitConfiguration(const AuthenticatedRequestPtr& authenticated);
    void listKeys(const AuthenticatedRequestPtr& authenticated);
    void issueKey(const AuthenticatedRequestPtr& authenticated);
    void withdrawKey(const AuthenticatedRequestPtr& authenticated);
    void listEvacuations(const AuthenticatedRequestPtr& authenticated);
    void evacuate(const AuthenticatedRequestPtr& authenticated);
    void finishEvacuation(const AuthenticatedRequestPtr& authenticated);
    void orderEvacuation(const AuthenticatedRequestPtr& authenticated, bool evacuated);
    void listQuarantine(const AuthenticatedRequestPtr& authenticated);
    void releaseSuspect(const AuthenticatedRequestPtr& authenticated);
    void removeMember(const AuthenticatedRequestPtr& authenticated);
    void bootstrap(const AuthenticatedRequestPtr& authenticated);
    void inForce(const AuthenticatedRequestPtr& authenticated);
    void drain(const AuthenticatedRequestPtr& authenticated);

    void submit(const AuthenticatedRequestPtr& authenticated, Change change);
    void replyChangeResult(const AuthenticatedRequestPtr& authenticated, const ChangeResult& result);
    void replyBadRequest(const AuthenticatedRequestPtr& authenticated, const std::string& reason);
    void replyJson(const AuthenticatedRequestPtr& authenticated, int status, const std::string& json);
    /// Sends \p response with a proof that this daemon knows the operators' secret.
    void reply(const AuthenticatedRequestPtr& authenticated, HttpResponse response);

    EndpointDependencies m_parts;
    OperatorAuth m_auth;
    HttpServer m_http;
    std::shared_ptr<bool> m_alive; ///< Lets pending callbacks detect that this object was destroyed.
};

/// \returns the status document of a daemon as JSON.
/// \param control null for a daemon without the control role.
std::string statusJson(const LocalDaemon& daemon, const OperatorBackend* control);

/// \returns the HTTP status code that reports \p outcome to an operator.
int httpStatusOf(ChangeOutcome outcome);

} // namespace pw
