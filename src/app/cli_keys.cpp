#include "app/cli_support.h"

#include "adapters/crypto.h"
#include "core/header_rules.h"
#include "core/json_writer.h"

#include <ostream>

namespace pw::cli {
namespace {

    constexpr std::size_t keyBytes = 32;

    std::string generateKey()
    {
        return std::string(keyPrefix) + crypto::toHex(crypto::randomBytes(keyBytes));
    }

    std::string digestHex(const std::string& key)
    {
        const auto digest = crypto::digest(key);
        return crypto::toHex({ reinterpret_cast<const char*>(digest.data()), digest.size() });
    }

    /// Prints a new key. Called only when it is or may become valid, as a key can't be shown again.
    void printIssuedKey(const CliContext& context, const std::string& keyId, const std::string& key, const ChangeReport& report)
    {
        if (context.options.json) {
            context.out << "{\"keyId\":\"" << keyId << "\",\"key\":\"" << key << "\"," << jsonFields(report) << "}\n";
            return;
        }
        context.out << "key id: " << keyId << "\nkey: " << key << '\n';
        context.err << "The key is shown only this once; the control members store just its digest.\n";
        if (report.code == ExitCode::Unknown) {
            context.err << "It is not known whether the key is valid: check `key list`, and withdraw the key if it won't be used.\n";
        }
        printReport(context, report);
    }

    bool isWithdrawn(const YAML::Node& key)
    {
        return textField(key, "withdrawn") == "true";
    }

    void addKey(JsonWriter& json, const YAML::Node& key)
    {
        json.object().field("keyId", textField(key, "keyId")).field("workspace", textField(key, "workspace"));
        json.field("label", textField(key, "label")).field("digest", textField(key, "digest"));
        json.field("withdrawn", isWithdrawn(key)).endObject();
    }

    void printKeySummary(std::ostream& out, const YAML::Node& key)
    {
        out << textField(key, "keyId") << "  " << textField(key, "workspace") << "  " << (isWithdrawn(key) ? "withdrawn" : "valid") << "  "
            << textField(key, "label") << '\n';
    }

} // namespace

ExitCode keyIssue(const CliContext& context)
{
    const auto& options = context.options;
    const auto id = options.changeId.empty() ? generateId("change") : options.changeId;
    const auto keyId = options.keyId.empty() ? generateId("key") : options.keyId;
    const auto key = generateKey();
    const auto target = "/v1/keys?change=" + percentEncode(id) + "&id=" + percentEncode(keyId) + "&workspace=" + percentEncode(options.workspace)
        + "&label=" + percentEncode(options.label) + "&digest=" + digestHex(key);
    const auto report = submitChange(context, target, id, "");
    if (report.code != ExitCode::Done && report.code != ExitCode::NotInForce && report.code != ExitCode::Unknown) {
        return printReport(context, report);
    }
    printIssuedKey(context, keyId, key, report);
    return report.code;
}

ExitCode keyWithdraw(const CliContext& context)
{
    const auto id = context.options.changeId.empty() ? generateId("change") : context.options.changeId;
    const auto target = "/v1/keys/withdraw?change=" + percentEncode(id) + "&id=" + percentEncode(context.options.argument);
    return printReport(context, submitChange(context, target, id, ""));
}

ExitCode keyList(const CliContext& context)
{
    auto code = ExitCode::Done;
    const auto json = fetch(context, "/v1/keys", code);
    if (!json) {
        return code;
    }
    JsonWriter filtered;
    filtered.object().array("keys");
    for (const auto& it : (*json)["keys"]) {
        const auto& workspace = context.options.workspace;
        if (workspace.empty() || textField(it, "workspace") == workspace) {
            context.options.json ? addKey(filtered, it) : printKeySummary(context.out, it);
        }
    }
    if (context.options.json) {
        context.out << filtered.endArray().endObject().text() << '\n';
    }
    return code;
}

} // namespace pw::cli
