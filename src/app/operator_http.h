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

/// HTTP port for operators: metrics for anyone, everything else for those who prove the operators' secret.
/// docs/OPERATOR-API.md lists the requests.
class OperatorHttp final : public Edge {
public:
    /// The metrics of \p parts may not be rendered after this object.
    explicit OperatorHttp(const InterfaceParts& parts);
    ~OperatorHttp() override;
    OperatorHttp(const OperatorHttp&) = delete;
    OperatorHttp& operator=(const OperatorHttp&) = delete;

    bool init(std::string& reason) override;

private:
    /// A request whose proof was checked, and the means to answer it.
    struct Proven {
        std::shared_ptr<HttpExchange> exchange;
        OperatorProof proof;
        std::string change; ///< Id of the change that it asks for, if any.
    };
    using ProvenPtr = std::shared_ptr<Proven>;

    /// Row of the table of requests.
    struct Endpoint {
        std::string_view method;
        std::string_view path;
        bool control; ///< Needs the control role.
        void (OperatorHttp::*handle)(const ProvenPtr&);
    };
    static const std::vector<Endpoint>& endpoints();

    void addGauges();
    void onRequest(const std::shared_ptr<HttpExchange>& exchange);
    ProvenPtr prove(const std::shared_ptr<HttpExchange>& exchange);

    void status(const ProvenPtr& proven);
    void showConfiguration(const ProvenPtr& proven);
    void history(const ProvenPtr& proven);
    void submitConfiguration(const ProvenPtr& proven);
    void listKeys(const ProvenPtr& proven);
    void issueKey(const ProvenPtr& proven);
    void withdrawKey(const ProvenPtr& proven);
    void removeMember(const ProvenPtr& proven);
    void bootstrap(const ProvenPtr& proven);
    void inForce(const ProvenPtr& proven);
    void drain(const ProvenPtr& proven);

    void submit(const ProvenPtr& proven, Change change);
    void answerChange(const ProvenPtr& proven, const ChangeResult& result);
    void malformed(const ProvenPtr& proven, const std::string& reason);
    void answer(const ProvenPtr& proven, int status, const std::string& json);
    void reply(const ProvenPtr& proven, HttpResponse response);

    InterfaceParts m_parts;
    OperatorAuth m_auth;
    HttpServer m_http;
    std::shared_ptr<bool> m_alive; ///< Expires with this object; late callbacks check it.
};

/// \returns the status document of a daemon as JSON.
std::string statusJson(const LocalDaemon& daemon, const OperatorBackend* control);

/// \returns the HTTP status that tells \p outcome to an operator.
int statusOfOutcome(ChangeOutcome outcome);

} // namespace pw
