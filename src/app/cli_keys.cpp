#include "app/cli_support.h"

#include "adapters/crypto.h"
#include "core/header_rules.h"
#include "core/json_writer.h"

#include <ostream>

namespace pw::cli {
namespace {

    constexpr std::size_t keyBytes = 32;

    std::string newKey()
    {
        return std::string(keyPrefix) + crypto::toHex(crypto::randomBytes(keyBytes));
    }

    std::string digestHex(const std::string& key)
    {
        const auto digest = crypto::digest(key);
        return crypto::toHex({ reinterpret_cast<const char*>(digest.data()), digest.size() });
    }

    /// A key is shown once, and only when it is or may become valid.
    void printKey(const CliContext& context, const std::string& keyId, const std::string& key, const ChangeReport& report)
    {
        if (context.options.json) {
            context.out << "{\"keyId\":\"" << keyId << "\",\"key\":\"" << key << "\"," << jsonFields(report) << "}\n";
            return;
        }
        context.out << "key id: " << keyId << "\nkey: " << key << '\n';
        context.err << "The key is shown this once; only its digest is kept.\n";
        if (report.code == ExitCode::Unknown) {
            context.err << "It is not known whether the key is valid: see `key list`, and withdraw it if it is not used.\n";
        }
        print(context, report);
    }

    bool isWithdrawn(const YAML::Node& key)
    {
        return textOf(key, "withdrawn") == "true";
    }

    void addKey(JsonWriter& json, const YAML::Node& key)
    {
        json.object().field("keyId", textOf(key, "keyId")).field("workspace", textOf(key, "workspace"));
        json.field("label", textOf(key, "label")).field("digest", textOf(key, "digest"));
        json.field("withdrawn", isWithdrawn(key)).endObject();
    }

    void printKeyLine(std::ostream& out, const YAML::Node& key)
    {
        out << textOf(key, "keyId") << "  " << textOf(key, "workspace") << "  " << (isWithdrawn(key) ? "withdrawn" : "valid") << "  "
            << textOf(key, "label") << '\n';
    }

} // namespace

ExitCode keyIssue(const CliContext& context)
{
    const auto& options = context.options;
    const auto id = options.changeId.empty() ? newId("change") : options.changeId;
    const auto keyId = options.keyId.empty() ? newId("key") : options.keyId;
    const auto key = newKey();
    const auto target = "/v1/keys?change=" + queryText(id) + "&id=" + queryText(keyId) + "&workspace=" + queryText(options.workspace)
        + "&label=" + queryText(options.label) + "&digest=" + digestHex(key);
    const auto report = change(context, target, id, "");
    if (report.code != ExitCode::Done && report.code != ExitCode::NotInForce && report.code != ExitCode::Unknown) {
        return print(context, report);
    }
    printKey(context, keyId, key, report);
    return report.code;
}

ExitCode keyWithdraw(const CliContext& context)
{
    const auto id = context.options.changeId.empty() ? newId("change") : context.options.changeId;
    const auto target = "/v1/keys/withdraw?change=" + queryText(id) + "&id=" + queryText(context.options.argument);
    return print(context, change(context, target, id, ""));
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
        const auto& wanted = context.options.workspace;
        if (wanted.empty() || textOf(it, "workspace") == wanted) {
            context.options.json ? addKey(filtered, it) : printKeyLine(context.out, it);
        }
    }
    if (context.options.json) {
        context.out << filtered.endArray().endObject().text() << '\n';
    }
    return code;
}

} // namespace pw::cli
