#include "app/cli_options.h"

#include "core/deployment_check.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

namespace pw {
namespace {

    constexpr const char* program = "pistachiowheel";
    constexpr const char* membersVariable = "PISTACHIOWHEEL_MEMBERS";
    constexpr const char* secretVariable = "PISTACHIOWHEEL_SECRET_FILE";
    constexpr const char* defaultTimeoutSeconds = "15";
    constexpr std::uint32_t maxTimeoutSeconds = 3600;

    /// Options of a subcommand beyond the common ones, as bits.
    enum Extra : unsigned {
        NoExtra = 0,
        TakesChange = 1, ///< --change-id and --wait.
        TakesBase = 2,
        TakesKey = 4, ///< --id, --workspace and --label.
        TakesWorkspace = 8,
        TakesWait = 16,
        Offline = 32, ///< Asks no member.
        OneMember = 64, ///< Means one daemon, not any of several.
        TakesFiles = 128, ///< One or more after the argument.
    };

    struct Row {
        std::string_view group;
        std::string_view name; ///< Empty for a subcommand of one word.
        CliAction action;
        std::string_view argument; ///< Name of the one argument; empty for none.
        unsigned extra;
        std::string_view summary;
        std::string_view example; ///< Arguments after the subcommand.
    };

    constexpr std::array<Row, static_cast<std::size_t>(CliAction::Count)> table { {
        { "config", "check", CliAction::ConfigCheck, "FILE", Offline, "Check a configuration file without submitting it.", "llanw.yaml" },
        { "config", "diff", CliAction::ConfigDiff, "FILE", NoExtra, "Show what a file would change.", "llanw.yaml" },
        { "config", "submit", CliAction::ConfigSubmit, "FILE", TakesBase | TakesChange,
            "Submit a file as the next version of the configuration.", "llanw.yaml --base 41 --wait" },
        { "config", "show", CliAction::ConfigShow, "", NoExtra, "Print the accepted configuration.", "> current.yaml" },
        { "config", "history", CliAction::ConfigHistory, "", NoExtra, "List the latest accepted configurations.", "--json" },
        { "key", "issue", CliAction::KeyIssue, "", TakesKey | TakesChange,
            "Make a key for a workspace and show it once; only its digest is sent.", "--workspace trader-1 --label \"bidding, spring\" --wait" },
        { "key", "withdraw", CliAction::KeyWithdraw, "KEY-ID", TakesChange, "Withdraw a key for good.", "key-5f0c2a91 --wait" },
        { "key", "list", CliAction::KeyList, "", TakesWorkspace, "List keys, withdrawn ones too.", "--workspace trader-1" },
        { "workspace", "list", CliAction::WorkspaceList, "", NoExtra, "List the workspaces of the accepted configuration.", "" },
        { "service", "list", CliAction::ServiceList, "", NoExtra, "List the services with their backend servers.", "--json" },
        { "member", "list", CliAction::MemberList, "", NoExtra, "List the control members.", "" },
        { "member", "remove", CliAction::MemberRemove, "NAME", NoExtra, "Remove a control member for good.", "control-2" },
        { "member", "bootstrap", CliAction::MemberBootstrap, "", OneMember, "Found the cluster at the one member named; once, ever.", "--members 10.0.1.2:7300" },
        { "status", "", CliAction::Status, "", NoExtra, "Show members, leader, versions applied, leases and backend servers.", "" },
        { "drain", "", CliAction::Drain, "", TakesWait | OneMember,
            "Let the backend server beside the daemon named by --members leave; its running requests end normally.", "--members 10.0.1.5:7300 --wait" },
        { "explain", "", CliAction::Explain, "REQUEST-ID", Offline | TakesFiles,
            "Tell the story of one request from the logs of any number of daemons.", "5f0c2a91 logs/*.log" },
    } };

    std::string fullName(const Row& row)
    {
        return std::string(row.group) + (row.name.empty() ? "" : " ") + std::string(row.name);
    }

    /// \returns the arguments as help shows them.
    std::string argumentsOf(const Row& row)
    {
        return std::string(row.argument) + (row.extra & TakesFiles ? " FILE..." : "");
    }

    cxxopts::Options optionsOf(const Row& row)
    {
        cxxopts::Options options(std::string(program) + " " + fullName(row), std::string(row.summary));
        options.custom_help((row.argument.empty() ? "" : argumentsOf(row) + " ") + "[OPTION...]");
        auto add = options.add_options();
        add("h,help", "Print this text.");
        add("json", "Print JSON.");
        if (!(row.extra & Offline)) {
            add("m,members", std::string("Operator addresses, IP:PORT, separated by commas; else from ") + membersVariable + ".",
                cxxopts::value<std::string>(), "LIST");
            add("s,secret-file", std::string("File with the operators' secret, closed to others; else from ") + secretVariable + ".",
                cxxopts::value<std::string>(), "FILE");
            add("t,timeout", "Longest time for all of it, in seconds.",
                cxxopts::value<std::uint32_t>()->default_value(defaultTimeoutSeconds), "SECONDS");
        }
        if (row.extra & TakesBase) {
            add("b,base", "Version that the file was made from; 0 for the first.", cxxopts::value<std::uint64_t>(), "VERSION");
        }
        if (row.extra & TakesChange) {
            add("c,change-id", "Id of this change; use the same one to send it again. Generated when missing.",
                cxxopts::value<std::string>(), "ID");
        }
        if (row.extra & (TakesChange | TakesWait)) {
            add("w,wait", row.extra & TakesWait ? "Wait until nothing runs there." : "Wait until it is in force everywhere.");
        }
        if (row.extra & TakesKey) {
            add("i,id", "Id of the key. Generated when missing.", cxxopts::value<std::string>(), "KEY-ID");
            add("l,label", "Note for people.", cxxopts::value<std::string>(), "TEXT");
        }
        if (row.extra & (TakesKey | TakesWorkspace)) {
            add("workspace", "Workspace.", cxxopts::value<std::string>(), "NAME");
        }
        return options;
    }

    std::string helpOf(const Row& row)
    {
        std::string text = optionsOf(row).help();
        text += "\nExample:\n  " + std::string(program) + " " + fullName(row);
        return text + (row.example.empty() ? "" : " ") + std::string(row.example) + "\n";
    }

    std::string overview()
    {
        std::ostringstream out;
        out << "Operate a fleet of pistachiowheel daemons.\n\nUsage:\n  " << program << " SUBCOMMAND [OPTION...]\n\nSubcommands:\n";
        for (const auto& it : table) {
            auto name = fullName(it) + (it.argument.empty() ? "" : " ") + argumentsOf(it);
            name.resize(std::max<std::size_t>(name.size(), 22), ' ');
            out << "  " << name << "  " << it.summary << '\n';
        }
        out << "\nEach takes --help. Exit codes and examples: docs/CLI.md.\n";
        return out.str();
    }

    CliParse usageError(const std::string& what)
    {
        return { std::nullopt, ExitCode::Usage, std::string(program) + ": " + what + "\n" };
    }

    std::vector<std::string> splitList(const std::string& text)
    {
        std::vector<std::string> result;
        std::istringstream in(text);
        for (std::string item; std::getline(in, item, ',');) {
            if (!item.empty()) {
                result.push_back(item);
            }
        }
        return result;
    }

    std::string orElse(std::string value, std::string other)
    {
        return value.empty() ? std::move(other) : std::move(value);
    }

    CliOptions fill(const Row& row, const cxxopts::ParseResult& parsed, const Environment& environment)
    {
        const auto text = [&](const char* name) { return parsed.count(name) ? parsed[name].as<std::string>() : std::string(); };
        CliOptions options;
        options.action = row.action;
        options.argument = parsed.unmatched().empty() ? "" : parsed.unmatched().front();
        if (!parsed.unmatched().empty()) {
            options.files.assign(parsed.unmatched().begin() + 1, parsed.unmatched().end());
        }
        options.json = parsed.count("json") > 0;
        options.wait = (row.extra & (TakesChange | TakesWait)) && parsed.count("wait") > 0;
        if (!(row.extra & Offline)) {
            options.members = splitList(orElse(text("members"), environment(membersVariable)));
            options.secretFile = orElse(text("secret-file"), environment(secretVariable));
            options.timeout = std::chrono::seconds(parsed["timeout"].as<std::uint32_t>());
        }
        if ((row.extra & TakesBase) && parsed.count("base")) {
            options.base = parsed["base"].as<std::uint64_t>();
        }
        options.changeId = row.extra & TakesChange ? text("change-id") : "";
        options.keyId = row.extra & TakesKey ? text("id") : "";
        options.label = row.extra & TakesKey ? text("label") : "";
        options.workspace = row.extra & (TakesKey | TakesWorkspace) ? text("workspace") : "";
        return options;
    }

    /// \returns what is wrong with the options, empty when nothing is.
    std::string faultOf(const Row& row, const CliOptions& options)
    {
        if (options.argument.empty() != row.argument.empty()) {
            return row.argument.empty() ? "takes no argument" : std::string(row.argument) + " is missing";
        }
        if ((row.extra & TakesFiles) && options.files.empty()) {
            return "FILE is missing";
        }
        if (!(row.extra & TakesFiles) && !options.files.empty()) {
            return "too many arguments";
        }
        if (!(row.extra & Offline) && options.members.empty()) {
            return std::string("--members or ") + membersVariable + " is needed";
        }
        if ((row.extra & OneMember) && options.members.size() > 1) {
            return "--members must name one address here";
        }
        if (!(row.extra & Offline) && options.secretFile.empty()) {
            return std::string("--secret-file or ") + secretVariable + " is needed";
        }
        if (!(row.extra & Offline) && (options.timeout.count() == 0 || options.timeout > std::chrono::seconds(maxTimeoutSeconds))) {
            return "--timeout is out of range; accepted: 1 to 3600";
        }
        if ((row.extra & TakesBase) && !options.base) {
            return "--base is needed; `config show` tells the current version";
        }
        if ((row.extra & TakesKey) && !isName(options.workspace)) {
            return "--workspace is needed; accepted: " + std::string(nameAccepted);
        }
        if (!options.changeId.empty() && !isName(options.changeId)) {
            return "--change-id is not accepted; accepted: " + std::string(nameAccepted);
        }
        if (!options.keyId.empty() && !isName(options.keyId)) {
            return "--id is not accepted; accepted: " + std::string(nameAccepted);
        }
        return {};
    }

    CliParse parseRow(const Row& row, const std::vector<std::string>& arguments, const Environment& environment)
    {
        std::vector<const char*> raw { program };
        std::ranges::transform(arguments, std::back_inserter(raw), [](const std::string& it) { return it.c_str(); });
        try {
            auto definition = optionsOf(row);
            const auto parsed = definition.parse(static_cast<int>(raw.size()), raw.data());
            if (parsed.count("help")) {
                return { std::nullopt, ExitCode::Done, helpOf(row) };
            }
            auto options = fill(row, parsed, environment);
            const auto fault = faultOf(row, options);
            return fault.empty() ? CliParse { options, ExitCode::Done, "" } : usageError(fullName(row) + ": " + fault);
        } catch (const cxxopts::exceptions::exception& error) {
            return usageError(fullName(row) + ": " + error.what());
        }
    }

} // namespace

CliParse parseCommandLine(const std::vector<std::string>& arguments, const Environment& environment)
{
    if (arguments.empty() || arguments[0] == "--help" || arguments[0] == "-h" || arguments[0] == "help") {
        return { std::nullopt, arguments.empty() ? ExitCode::Usage : ExitCode::Done, overview() };
    }
    auto matches = [&](const Row& it) {
        return it.group == arguments[0] && (it.name.empty() || (arguments.size() > 1 && it.name == arguments[1]));
    };
    const auto* row = std::ranges::find_if(table, matches);
    if (row == table.end()) {
        return usageError("no such subcommand: " + arguments[0] + (arguments.size() > 1 ? " " + arguments[1] : "") + "; see --help");
    }
    const auto words = row->name.empty() ? 1 : 2;
    return parseRow(*row, { arguments.begin() + words, arguments.end() }, environment);
}

} // namespace pw
