#include "app/cli_support.h"

#include "adapters/crypto.h"
#include "core/json_writer.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <ostream>

namespace pw::cli {
namespace {

    constexpr int ok = 200;
    constexpr std::size_t idBytes = 8;

    struct OutcomeRow {
        std::string_view name;
        ExitCode code;
    };
    constexpr std::array<OutcomeRow, 5> outcomes { {
        { "accepted", ExitCode::Done },
        { "conflict", ExitCode::Conflict },
        { "invalid", ExitCode::Invalid },
        { "unknown", ExitCode::Unknown },
        { "unavailable", ExitCode::Unavailable },
    } };

    ChangeReport reportForOutcome(std::string_view outcome)
    {
        ChangeReport report;
        const auto* row = std::ranges::find(outcomes, outcome, &OutcomeRow::name);
        if (row != outcomes.end()) {
            report.code = row->code;
            report.outcome = row->name;
        }
        return report;
    }

    ChangeReport toChangeReport(const OperatorHttpReply& reply)
    {
        if (reply.state == OperatorRequestState::Unconfirmed || reply.state == OperatorRequestState::NotSent) {
            auto report = reportForOutcome(reply.state == OperatorRequestState::Unconfirmed ? "unknown" : "unavailable");
            report.reason = reply.address + ": " + reply.error;
            return report;
        }
        const auto json = parseJson(reply.body);
        auto report = reportForOutcome(textField(json, "outcome"));
        report.version = numberField(json, "version");
        report.index = numberField(json, "index");
        report.reason = textField(json, "reason") + textField(json, "error");
        if (report.outcome.empty()) {
            // A reply without an outcome means that the request was rejected before it became a change.
            report = reportForOutcome("invalid");
            report.reason = reply.address + ": " + textField(json, "error");
        }
        if (reply.state == OperatorRequestState::SecretRefused) {
            report.code = ExitCode::SecretRefused;
        }
        return report;
    }

    void waitUntilInForce(const CliContext& context, ChangeReport& report)
    {
        const auto reply = context.client->send({ "GET", "/v1/in-force?index=" + std::to_string(report.index), "" });
        report.inForce = reply.state == OperatorRequestState::Answered && textField(parseJson(reply.body), "inForce") == "true";
        if (!*report.inForce) {
            report.code = ExitCode::NotInForce;
        }
    }

} // namespace

YAML::Node parseJson(const std::string& text)
{
    try {
        return YAML::Load(text);
    } catch (const YAML::Exception&) {
        return YAML::Node(YAML::NodeType::Undefined);
    }
}

std::string textField(const YAML::Node& node, const char* key)
{
    if (!node.IsDefined() || !node.IsMap()) {
        return {};
    }
    const auto value = node[key];
    return value && value.IsScalar() ? value.Scalar() : std::string();
}

std::uint64_t numberField(const YAML::Node& node, const char* key)
{
    const auto text = textField(node, key);
    std::uint64_t result = 0;
    std::from_chars(text.data(), text.data() + text.size(), result);
    return result;
}

std::string generateId(const std::string& prefix)
{
    return prefix + "-" + crypto::toHex(crypto::randomBytes(idBytes));
}

std::string percentEncode(const std::string& text)
{
    constexpr std::string_view hexDigits = "0123456789ABCDEF";
    std::string result;
    for (unsigned char c : text) {
        if ((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_') {
            result += static_cast<char>(c);
        } else {
            result.append("%").append(1, hexDigits[c >> 4]).append(1, hexDigits[c & 15]);
        }
    }
    return result;
}

std::optional<YAML::Node> fetch(const CliContext& context, const std::string& target, ExitCode& code, std::string* text)
{
    const auto reply = context.client->send({ "GET", target, "" });
    if (reply.state != OperatorRequestState::Answered || reply.status != ok) {
        code = printFailure(context, reply);
        return std::nullopt;
    }
    if (text) {
        *text = reply.body;
    }
    code = ExitCode::Done;
    return parseJson(reply.body);
}

ChangeReport submitChange(const CliContext& context, const std::string& target, const std::string& changeId, const std::string& body)
{
    auto report = toChangeReport(context.client->send({ "POST", target, body }));
    report.changeId = changeId;
    if (report.code == ExitCode::Done && context.options.wait && report.index > 0) {
        waitUntilInForce(context, report);
    }
    return report;
}

std::string jsonFields(const ChangeReport& report)
{
    JsonWriter json;
    json.object().field("outcome", report.outcome).field("changeId", report.changeId);
    json.field("version", report.version).field("index", report.index).field("reason", report.reason);
    if (report.inForce) {
        json.field("inForce", *report.inForce);
    }
    return json.text().substr(1);
}

ExitCode printReport(const CliContext& context, const ChangeReport& report)
{
    if (context.options.json) {
        context.out << '{' << jsonFields(report) << "}\n";
        return report.code;
    }
    context.out << report.outcome;
    if (report.version > 0) {
        context.out << (report.code == ExitCode::Conflict ? ": the current version is " : ", version ") << report.version;
    }
    if (report.inForce) {
        context.out << (*report.inForce ? ", in force everywhere" : ", not yet known to be in force everywhere");
    }
    context.out << '\n';
    if (!report.changeId.empty()) {
        context.err << "change id: " << report.changeId << '\n';
    }
    if (!report.reason.empty()) {
        context.err << report.reason << '\n';
    }
    if (report.code == ExitCode::Unknown && !report.changeId.empty()) {
        context.err << "It may have been applied. Send it again with the same --change-id: it is applied once at most.\n";
    }
    return report.code;
}

ExitCode printFailure(const CliContext& context, const OperatorHttpReply& reply)
{
    if (reply.state == OperatorRequestState::Answered) {
        context.err << reply.address << ": status " << reply.status << ": " << textField(parseJson(reply.body), "error") << '\n';
        return ExitCode::Invalid;
    }
    context.err << reply.address << ": " << reply.error << '\n';
    return reply.state == OperatorRequestState::SecretRefused ? ExitCode::SecretRefused : ExitCode::Unavailable;
}

} // namespace pw::cli
