#include "app/operator_http.h"

#include "adapters/crypto.h"
#include "adapters/request_digest.h"
#include "app/deployment_yaml.h"
#include "app/http_query.h"
#include "core/deployment_check.h"
#include "core/header_rules.h"
#include "core/json_writer.h"

#include <algorithm>
#include <array>

namespace pw {
namespace {

    constexpr std::string_view metricsPath = "/metrics";
    constexpr std::string_view challengePath = "/v1/challenge";
    constexpr std::size_t maxLabelBytes = 128;

    constexpr int ok = 200;
    constexpr int badRequest = 400;
    constexpr int unauthorized = 401;
    constexpr int notFound = 404;
    constexpr int conflict = 409;
    constexpr int misdirected = 421;
    constexpr int unprocessable = 422;
    constexpr int unavailable = 503;
    constexpr int unknown = 504;

    constexpr std::array<int, static_cast<std::size_t>(ChangeOutcome::Count)> outcomeStatus { ok, conflict, unprocessable, unknown,
        unavailable };

    HeaderLine headerLine(std::string_view name, std::string_view value)
    {
        return { std::string(name), std::string(value) };
    }

    std::string errorJson(std::string_view error)
    {
        return JsonWriter().object().field("error", error).endObject().text() + "\n";
    }

    bool isLabel(const std::string& text)
    {
        return text.size() <= maxLabelBytes && std::ranges::all_of(text, [](char c) { return c >= ' ' && c <= '~'; });
    }

    /// \returns the result of an order that conflicted with a base which the operator did not name: it was not applied, and the
    /// client may send it again.
    ChangeResult retryable(ChangeResult result)
    {
        result.outcome = ChangeOutcome::Unavailable;
        return result;
    }

} // namespace

int httpStatusOf(ChangeOutcome outcome)
{
    return outcomeStatus.at(static_cast<std::size_t>(outcome));
}

const std::vector<OperatorHttp::Endpoint>& OperatorHttp::endpoints()
{
    static const std::vector<Endpoint> table {
        { "GET", "/v1/status", false, &OperatorHttp::status },
        { "POST", "/v1/drain", false, &OperatorHttp::drain },
        { "GET", "/v1/configuration", true, &OperatorHttp::showConfiguration },
        { "POST", "/v1/configuration", true, &OperatorHttp::submitConfiguration },
        { "GET", "/v1/configuration/history", true, &OperatorHttp::history },
        { "GET", "/v1/keys", true, &OperatorHttp::listKeys },
        { "POST", "/v1/keys", true, &OperatorHttp::issueKey },
        { "POST", "/v1/keys/withdraw", true, &OperatorHttp::withdrawKey },
        { "GET", "/v1/evacuations", true, &OperatorHttp::listEvacuations },
        { "POST", "/v1/evacuations", true, &OperatorHttp::evacuate },
        { "POST", "/v1/evacuations/finish", true, &OperatorHttp::finishEvacuation },
        { "GET", "/v1/quarantine", true, &OperatorHttp::listQuarantine },
        { "POST", "/v1/quarantine/release", true, &OperatorHttp::releaseSuspect },
        { "POST", "/v1/members/remove", true, &OperatorHttp::removeMember },
        { "POST", "/v1/members/bootstrap", true, &OperatorHttp::bootstrap },
        { "GET", "/v1/in-force", true, &OperatorHttp::inForce },
    };
    return table;
}

OperatorHttp::OperatorHttp(const EndpointDependencies& parts)
    : m_parts(parts)
    , m_auth(m_parts.operatorSecrets)
    , m_http(m_parts.loop, m_parts.timers, [this](const std::shared_ptr<HttpExchange>& exchange) { onRequest(exchange); })
    , m_alive(std::make_shared<bool>(true))
{
    registerGauges();
}

OperatorHttp::~OperatorHttp() = default;

void OperatorHttp::registerGauges()
{
    auto daemonGauge = [this](std::string_view name, std::string_view help, auto read) {
        m_parts.metrics.gauge(name, help, {}, [daemon = m_parts.daemon, read] { return static_cast<double>(read(daemon->report())); });
    };
    daemonGauge("pistachiowheel_configuration_version", "Version of the configuration in force here.",
        [](const DaemonStatus& report) { return report.version; });
    daemonGauge("pistachiowheel_applied_index", "Log index up to which the replicated state is applied here.",
        [](const DaemonStatus& report) { return report.appliedIndex; });
    daemonGauge("pistachiowheel_keys_valid", "Whether the validity lease holds: 1 or 0.",
        [](const DaemonStatus& report) { return report.keysValid; });
    if (!m_parts.control) {
        return;
    }
    auto controlGauge = [this](std::string_view name, std::string_view help, auto read) {
        m_parts.metrics.gauge(name, help, {}, [control = m_parts.control, read] { return static_cast<double>(read(control->report())); });
    };
    controlGauge("pistachiowheel_control_epoch", "Epoch of the replicated log.", [](const ControlReport& report) { return report.epoch; });
    controlGauge("pistachiowheel_control_commit_index", "Log index that a majority has synced.",
        [](const ControlReport& report) { return report.commitIndex; });
    controlGauge("pistachiowheel_control_daemons", "Daemons attached to this control member.",
        [](const ControlReport& report) { return report.daemons.size(); });
}

bool OperatorHttp::init(std::string& reason)
{
    return m_http.init(m_parts.settings.operatorAddress, reason);
}

void OperatorHttp::onRequest(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto& request = exchange->request();
    const auto path = pathOf(request.target);
    if (request.method == "GET" && path == metricsPath) {
        exchange->reply({ ok, { { "Content-Type", "text/plain; version=0.0.4" } }, m_parts.metrics.render() });
        return;
    }
    if (request.method == "GET" && path == challengePath) {
        exchange->reply({ ok, { { "Content-Type", "text/plain" } }, m_auth.challenge(m_parts.timers.now()) });
        return;
    }
    const auto authenticated = authenticate(exchange);
    if (!authenticated) {
        return;
    }
    auto matches = [&](const Endpoint& it) { return it.method == request.method && it.path == path; };
    const auto endpoint = std::ranges::find_if(endpoints(), matches);
    if (endpoint == endpoints().end()) {
        replyJson(authenticated, notFound, errorJson("there is no such request"));
    } else if (endpoint->needsControlRole && !m_parts.control) {
        replyJson(authenticated, misdirected, errorJson("this daemon has no control role"));
    } else {
        (this->*endpoint->handle)(authenticated);
    }
}

OperatorHttp::AuthenticatedRequestPtr OperatorHttp::authenticate(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto& request = exchange->request();
    const auto proof = singleHeader(request.headers, header::operatorProof).value_or("");
    std::string reason;
    auto checked = m_auth.check(proof, { request.method, request.target, request.body }, m_parts.timers.now(), reason);
    if (!checked) {
        PW_EVENT(m_parts.log, Event::OperatorRefused, { "method", request.method }, { "path", pathOf(request.target) },
            { "reason", proof.empty() ? "no proof" : reason });
        exchange->reply({ unauthorized, { { "Content-Type", "application/json" } }, errorJson("the operators' secret was not proven") });
        return nullptr;
    }
    return std::make_shared<AuthenticatedRequest>(AuthenticatedRequest { exchange, std::move(*checked), HttpQuery(request.target).text("change") });
}

void OperatorHttp::status(const AuthenticatedRequestPtr& authenticated)
{
    replyJson(authenticated, ok, statusJson(*m_parts.daemon, m_parts.control));
}

void OperatorHttp::showConfiguration(const AuthenticatedRequestPtr& authenticated)
{
    const auto& record = m_parts.control->configuration();
    JsonWriter json;
    json.object().field("version", record.version).field("text", record.text).endObject();
    replyJson(authenticated, ok, json.text() + "\n");
}

void OperatorHttp::history(const AuthenticatedRequestPtr& authenticated)
{
    JsonWriter json;
    json.object().array("history");
    for (const auto& it : m_parts.control->history()) {
        json.object().field("version", it.version).field("index", it.index).field("changeId", it.changeId).endObject();
    }
    json.endArray().endObject();
    replyJson(authenticated, ok, json.text() + "\n");
}

void OperatorHttp::submitConfiguration(const AuthenticatedRequestPtr& authenticated)
{
    const auto& request = authenticated->exchange->request();
    const auto base = HttpQuery(request.target).number("base");
    if (!base) {
        replyBadRequest(authenticated, "base: missing or not a number; accepted: the version that the change is based on");
        return;
    }
    std::string reason;
    if (!parseDeployment(request.body, reason)) {
        replyChangeResult(authenticated, { ChangeOutcome::Invalid, m_parts.control->configuration().version, 0, reason });
        return;
    }
    submit(authenticated, { authenticated->change, SubmitConfiguration { *base, request.body } });
}

void OperatorHttp::listKeys(const AuthenticatedRequestPtr& authenticated)
{
    JsonWriter json;
    json.object().array("keys");
    for (const auto& [id, key] : m_parts.control->keys()) {
        json.object().field("keyId", key.keyId).field("workspace", key.workspace).field("label", key.label);
        json.field("digest", crypto::toHex(key.digest)).field("withdrawn", key.withdrawn).endObject();
    }
    json.endArray().endObject();
    replyJson(authenticated, ok, json.text() + "\n");
}

void OperatorHttp::issueKey(const AuthenticatedRequestPtr& authenticated)
{
    const HttpQuery query(authenticated->exchange->request().target);
    IssueKey change { query.text("id"), query.text("workspace"), query.text("label"), {} };
    const auto digest = crypto::parseDigest(query.text("digest"));
    if (!isName(change.keyId) || !isName(change.workspace)) {
        replyBadRequest(authenticated, "id or workspace: not a name; accepted: " + std::string(nameAccepted));
    } else if (!isLabel(change.label)) {
        replyBadRequest(authenticated, "label: not accepted; accepted: up to 128 printable ASCII characters");
    } else if (!digest) {
        replyBadRequest(authenticated, "digest: not a digest; accepted: 64 hexadecimal digits");
    } else {
        change.digest = *digest;
        submit(authenticated, { authenticated->change, change });
    }
}

void OperatorHttp::withdrawKey(const AuthenticatedRequestPtr& authenticated)
{
    const HttpQuery query(authenticated->exchange->request().target);
    submit(authenticated, { authenticated->change, WithdrawKey { query.text("id") } });
}

void OperatorHttp::listEvacuations(const AuthenticatedRequestPtr& authenticated)
{
    JsonWriter json;
    json.object().array("evacuations");
    for (const auto& [domain, record] : m_parts.control->evacuations()) {
        json.object().field("failureDomain", domain).field("evacuated", record.evacuated).field("revision", record.revision).endObject();
    }
    json.endArray().endObject();
    replyJson(authenticated, ok, json.text() + "\n");
}

void OperatorHttp::evacuate(const AuthenticatedRequestPtr& authenticated)
{
    orderEvacuation(authenticated, true);
}

void OperatorHttp::finishEvacuation(const AuthenticatedRequestPtr& authenticated)
{
    orderEvacuation(authenticated, false);
}

void OperatorHttp::orderEvacuation(const AuthenticatedRequestPtr& authenticated, bool evacuated)
{
    const HttpQuery query(authenticated->exchange->request().target);
    const SetEvacuation order { query.text("failureDomain"), evacuated, query.number("base") };
    if (!isName(order.failureDomain)) {
        replyBadRequest(authenticated, "failureDomain: not a name; accepted: " + std::string(nameAccepted));
    } else if (!order.baseRevision && !query.text("base").empty()) {
        replyBadRequest(authenticated, "base: not a number; accepted: the revision that the order is based on");
    } else {
        submit(authenticated, { authenticated->change, order });
    }
}

void OperatorHttp::listQuarantine(const AuthenticatedRequestPtr& authenticated)
{
    JsonWriter json;
    json.object().array("suspects");
    for (const auto& [digest, record] : m_parts.control->suspects()) {
        json.object().field("digest", requestDigestText(digest)).field("service", record.service).field("crashes", record.crashes);
        json.field("concurrency", record.concurrency).field("trials", record.trials);
        json.field("held", record.crashes >= config::crashesUntilHeld).field("revision", record.revision).endObject();
    }
    json.endArray().endObject();
    replyJson(authenticated, ok, json.text() + "\n");
}

void OperatorHttp::releaseSuspect(const AuthenticatedRequestPtr& authenticated)
{
    const auto digest = parseRequestDigest(HttpQuery(authenticated->exchange->request().target).text("digest"));
    if (digest == 0) {
        replyBadRequest(authenticated, "digest: not a digest; accepted: 16 hexadecimal digits");
        return;
    }
    const auto& suspects = m_parts.control->suspects();
    const auto it = suspects.find(digest);
    const auto revision = it == suspects.end() ? 0 : it->second.revision;
    submit(authenticated, { authenticated->change, ClearSuspects { { { digest, revision } } } });
}

void OperatorHttp::removeMember(const AuthenticatedRequestPtr& authenticated)
{
    const auto name = HttpQuery(authenticated->exchange->request().target).text("name");
    m_parts.control->removeMember(name, [this, authenticated, alive = std::weak_ptr(m_alive)](const ChangeResult& result) {
        if (!alive.expired()) {
            replyChangeResult(authenticated, result);
        }
    });
}

void OperatorHttp::bootstrap(const AuthenticatedRequestPtr& authenticated)
{
    std::string reason;
    const bool done = m_parts.control->bootstrap(reason);
    replyChangeResult(authenticated, { done ? ChangeOutcome::Accepted : ChangeOutcome::Invalid, m_parts.control->configuration().version, 0, reason });
}

void OperatorHttp::inForce(const AuthenticatedRequestPtr& authenticated)
{
    const auto index = HttpQuery(authenticated->exchange->request().target).number("index");
    if (!index) {
        replyBadRequest(authenticated, "index: missing or not a number; accepted: the index of an accepted change");
        return;
    }
    m_parts.control->awaitInForce(*index, [this, authenticated, alive = std::weak_ptr(m_alive)](bool inForce) {
        if (!alive.expired()) {
            // Lets the client retry at another member, as this one may be partitioned from the others.
            replyJson(authenticated, inForce ? ok : unavailable, JsonWriter().object().field("inForce", inForce).endObject().text() + "\n");
        }
    });
}

void OperatorHttp::drain(const AuthenticatedRequestPtr& authenticated)
{
    std::string reason;
    const bool done = m_parts.daemon->drain(reason);
    replyChangeResult(authenticated, { done ? ChangeOutcome::Accepted : ChangeOutcome::Invalid, 0, 0, reason });
}

void OperatorHttp::submit(const AuthenticatedRequestPtr& authenticated, Change change)
{
    if (!isName(change.id)) {
        replyBadRequest(authenticated, "change: not a change id; accepted: " + std::string(nameAccepted));
        return;
    }
    const auto* order = std::get_if<SetEvacuation>(&change.operation);
    const auto impliesBase = order && !order->baseRevision;
    m_parts.control->submit(std::move(change), [this, authenticated, impliesBase, alive = std::weak_ptr(m_alive)](const ChangeResult& result) {
        if (!alive.expired()) {
            replyChangeResult(authenticated, impliesBase && result.outcome == ChangeOutcome::Conflict ? retryable(result) : result);
        }
    });
}

void OperatorHttp::replyChangeResult(const AuthenticatedRequestPtr& authenticated, const ChangeResult& result)
{
    const auto& request = authenticated->exchange->request();
    PW_EVENT(m_parts.log, Event::OperatorChange, { "path", pathOf(request.target) }, { "change", authenticated->change },
        { "outcome", changeOutcomeName(result.outcome) }, { "version", result.version }, { "index", result.index });
    JsonWriter json;
    json.object().field("outcome", changeOutcomeName(result.outcome)).field("changeId", authenticated->change);
    json.field("version", result.version).field("index", result.index).field("reason", result.reason).endObject();
    replyJson(authenticated, httpStatusOf(result.outcome), json.text() + "\n");
}

void OperatorHttp::replyBadRequest(const AuthenticatedRequestPtr& authenticated, const std::string& reason)
{
    replyJson(authenticated, badRequest, errorJson(reason));
}

void OperatorHttp::replyJson(const AuthenticatedRequestPtr& authenticated, int status, const std::string& json)
{
    reply(authenticated, { status, { { "Content-Type", "application/json" } }, json });
}

void OperatorHttp::reply(const AuthenticatedRequestPtr& authenticated, HttpResponse response)
{
    const auto& proof = authenticated->proof;
    response.headers.push_back(
        headerLine(header::answerProof, proveAnswer(proof.secret, proof.challenge, response.status, response.body)));
    authenticated->exchange->reply(response);
}

} // namespace pw
