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

    /// Bit flags of a subcommand: options beyond the common ones, and restrictions.
    enum SubcommandFlag : unsigned {
        NoFlags = 0,
        TakesChange = 1, ///< --change-id and --wait.
        TakesBase = 2, ///< --base.
        TakesKey = 4, ///< --id, --workspace and --label.
        TakesWorkspace = 8, ///< --workspace alone.
        TakesWait = 16, ///< --wait, until the drained server is idle.
        Offline = 32, ///< Sends no request, so takes no --members, --secret-file and --timeout.
        NeedsOneMember = 64, ///< Acts on one daemon, so --members must name exactly one.
        TakesFiles = 128, ///< Takes one or more files after the argument.
        TakesEvacuation = 256, ///< --finish and, optionally, --base; the argument is a name.
    };

    struct Subcommand {
        std::string_view group;
        std::string_view name; ///< Empty for a single-word subcommand.
        CliAction action;
        std::string_view argument; ///< Name of the positional argument; empty for none.
        unsigned flags;
        std::string_view summary;
        std::string_view example; ///< Arguments after the subcommand.
    };

    constexpr std::array<Subcommand, static_cast<std::size_t>(CliAction::Count)> subcommands { {
        { "config", "check", CliAction::ConfigCheck, "FILE", Offline, "Check a configuration file without submitting it.", "llanw.yaml" },
        { "config", "review", CliAction::ConfigReview, "FILE", NoFlags,
            "Check a file and show its warnings and what it would change.", "llanw.yaml" },
        { "config", "diff", CliAction::ConfigDiff, "FILE", NoFlags, "Show what a file would change.", "llanw.yaml" },
        { "config", "submit", CliAction::ConfigSubmit, "FILE", TakesBase | TakesChange,
            "Submit a file as the next version of the configuration.", "llanw.yaml --base 41 --wait" },
        { "config", "show", CliAction::ConfigShow, "", NoFlags, "Print the accepted configuration.", "> current.yaml" },
        { "config", "history", CliAction::ConfigHistory, "", NoFlags, "List the latest accepted configurations.", "--json" },
        { "key", "issue", CliAction::KeyIssue, "", TakesKey | TakesChange,
            "Generate a key for a workspace and print it once; only its digest is sent.", "--workspace trader-1 --label \"bidding, spring\" --wait" },
        { "key", "withdraw", CliAction::KeyWithdraw, "KEY-ID", TakesChange, "Withdraw a key permanently.", "key-5f0c2a91 --wait" },
        { "key", "list", CliAction::KeyList, "", TakesWorkspace, "List keys, including withdrawn ones.", "--workspace trader-1" },
        { "workspace", "list", CliAction::WorkspaceList, "", NoFlags, "List the workspaces of the accepted configuration.", "" },
        { "service", "list", CliAction::ServiceList, "", NoFlags, "List the services with their backend servers.", "--json" },
        { "member", "list", CliAction::MemberList, "", NoFlags, "List the control members.", "" },
        { "member", "remove", CliAction::MemberRemove, "NAME", NoFlags, "Remove a control member permanently.", "control-2" },
        { "member", "bootstrap", CliAction::MemberBootstrap, "", NeedsOneMember, "Bootstrap the cluster at the member given by --members; only once per cluster.", "--members 10.0.1.2:7300" },
        { "status", "", CliAction::Status, "", NoFlags, "Show members, leader, applied versions, leases and backend servers.", "" },
        { "drain", "", CliAction::Drain, "", TakesWait | NeedsOneMember,
            "Drain the backend server beside the daemon given by --members; running requests are completed.", "--members 10.0.1.5:7300 --wait" },
        { "evacuate", "", CliAction::Evacuate, "DOMAIN", TakesChange | TakesEvacuation,
            "Send no requests to the backend servers of a failure domain, until --finish.", "zone-b --wait" },
        { "quarantine", "list", CliAction::QuarantineList, "", NoFlags, "List the requests that were running when backend servers crashed.", "--json" },
        { "quarantine", "release", CliAction::QuarantineRelease, "DIGEST", TakesChange,
            "Let a request run again, for instance after a new build of the service.", "91a0b8156afbc7e3" },
        { "explain", "", CliAction::Explain, "REQUEST-ID", Offline | TakesFiles,
            "Show the events of one request, merged from the logs of any number of daemons.", "5f0c2a91 logs/*.log" },
    } };

    std::string fullName(const Subcommand& subcommand)
    {
        return std::string(subcommand.group) + (subcommand.name.empty() ? "" : " ") + std::string(subcommand.name);
    }

    /// \returns the positional arguments as the help shows them.
    std::string argumentSynopsis(const Subcommand& subcommand)
    {
        return std::string(subcommand.argument) + (subcommand.flags & TakesFiles ? " FILE..." : "");
    }

    cxxopts::Options buildOptions(const Subcommand& subcommand)
    {
        cxxopts::Options options(std::string(program) + " " + fullName(subcommand), std::string(subcommand.summary));
        options.custom_help((subcommand.argument.empty() ? "" : argumentSynopsis(subcommand) + " ") + "[OPTION...]");
        auto add = options.add_options();
        add("h,help", "Print this text.");
        add("json", "Print JSON.");
        if (!(subcommand.flags & Offline)) {
            add("m,members", std::string("Operator addresses, IP:PORT, separated by commas; default: the variable ") + membersVariable + ".",
                cxxopts::value<std::string>(), "LIST");
            add("s,secret-file", std::string("File with the operators' secret, mode 0600 or 0400; default: the variable ") + secretVariable + ".",
                cxxopts::value<std::string>(), "FILE");
            add("t,timeout", "Timeout for the whole command, in seconds.",
                cxxopts::value<std::uint32_t>()->default_value(defaultTimeoutSeconds), "SECONDS");
        }
        if (subcommand.flags & TakesBase) {
            add("b,base", "Configuration version that the file is based on; 0 for the first.", cxxopts::value<std::uint64_t>(), "VERSION");
        }
        if (subcommand.flags & TakesEvacuation) {
            add("f,finish", "Finish the evacuation.");
            add("b,base", "Revision that the order is based on; it conflicts if another order was accepted since. Not checked when missing.",
                cxxopts::value<std::uint64_t>(), "REVISION");
        }
        if (subcommand.flags & TakesChange) {
            add("c,change-id", "Id of this change; use the same one to send it again. Generated when missing.",
                cxxopts::value<std::string>(), "ID");
        }
        if (subcommand.flags & (TakesChange | TakesWait)) {
            add("w,wait", subcommand.flags & TakesWait ? "Wait until no request runs or is queued there." : "Wait until the change is in force on all daemons.");
        }
        if (subcommand.flags & TakesKey) {
            add("i,id", "Id of the key. Generated when missing.", cxxopts::value<std::string>(), "KEY-ID");
            add("l,label", "Description of the key.", cxxopts::value<std::string>(), "TEXT");
        }
        if (subcommand.flags & (TakesKey | TakesWorkspace)) {
            add("workspace", "Workspace.", cxxopts::value<std::string>(), "NAME");
        }
        return options;
    }

    std::string helpText(const Subcommand& subcommand)
    {
        std::string text = buildOptions(subcommand).help();
        text += "\nExample:\n  " + std::string(program) + " " + fullName(subcommand);
        return text + (subcommand.example.empty() ? "" : " ") + std::string(subcommand.example) + "\n";
    }

    std::string overview()
    {
        std::ostringstream out;
        out << "Operate a fleet of pistachiowheel daemons.\n\nUsage:\n  " << program << " SUBCOMMAND [OPTION...]\n\nSubcommands:\n";
        for (const auto& it : subcommands) {
            auto name = fullName(it) + (it.argument.empty() ? "" : " ") + argumentSynopsis(it);
            name.resize(std::max<std::size_t>(name.size(), 22), ' ');
            out << "  " << name << "  " << it.summary << '\n';
        }
        out << "\nEvery subcommand accepts --help. Exit codes and examples: docs/CLI.md.\n";
        return out.str();
    }

    CliParseResult usageError(const std::string& what)
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

    std::string firstNonEmpty(std::string value, std::string fallback)
    {
        return value.empty() ? std::move(fallback) : std::move(value);
    }

    CliOptions readOptions(const Subcommand& subcommand, const cxxopts::ParseResult& parsed, const Environment& environment)
    {
        const auto text = [&](const char* name) { return parsed.count(name) ? parsed[name].as<std::string>() : std::string(); };
        CliOptions options;
        options.action = subcommand.action;
        options.argument = parsed.unmatched().empty() ? "" : parsed.unmatched().front();
        if (!parsed.unmatched().empty()) {
            options.files.assign(parsed.unmatched().begin() + 1, parsed.unmatched().end());
        }
        options.json = parsed.count("json") > 0;
        options.wait = (subcommand.flags & (TakesChange | TakesWait)) && parsed.count("wait") > 0;
        if (!(subcommand.flags & Offline)) {
            options.members = splitList(firstNonEmpty(text("members"), environment(membersVariable)));
            options.secretFile = firstNonEmpty(text("secret-file"), environment(secretVariable));
            options.timeout = std::chrono::seconds(parsed["timeout"].as<std::uint32_t>());
        }
        options.finish = (subcommand.flags & TakesEvacuation) && parsed.count("finish") > 0;
        if ((subcommand.flags & (TakesBase | TakesEvacuation)) && parsed.count("base")) {
            options.base = parsed["base"].as<std::uint64_t>();
        }
        options.changeId = subcommand.flags & TakesChange ? text("change-id") : "";
        options.keyId = subcommand.flags & TakesKey ? text("id") : "";
        options.label = subcommand.flags & TakesKey ? text("label") : "";
        options.workspace = subcommand.flags & (TakesKey | TakesWorkspace) ? text("workspace") : "";
        return options;
    }

    /// \returns a description of what is wrong with \p options; empty when they are valid.
    std::string findProblem(const Subcommand& subcommand, const CliOptions& options)
    {
        if (options.argument.empty() != subcommand.argument.empty()) {
            return subcommand.argument.empty() ? "takes no argument" : std::string(subcommand.argument) + " is missing";
        }
        if ((subcommand.flags & TakesFiles) && options.files.empty()) {
            return "FILE is missing";
        }
        if (!(subcommand.flags & TakesFiles) && !options.files.empty()) {
            return "too many arguments";
        }
        if (!(subcommand.flags & Offline) && options.members.empty()) {
            return std::string("--members or ") + membersVariable + " is needed";
        }
        if ((subcommand.flags & NeedsOneMember) && options.members.size() > 1) {
            return "--members must name one address here";
        }
        if (!(subcommand.flags & Offline) && options.secretFile.empty()) {
            return std::string("--secret-file or ") + secretVariable + " is needed";
        }
        if (!(subcommand.flags & Offline) && (options.timeout.count() == 0 || options.timeout > std::chrono::seconds(maxTimeoutSeconds))) {
            return "--timeout is out of range; accepted: 1 to 3600";
        }
        if ((subcommand.flags & TakesBase) && !options.base) {
            return "--base is needed; `config show` tells the current version";
        }
        if ((subcommand.flags & TakesEvacuation) && !isName(options.argument)) {
            return std::string(subcommand.argument) + " is not accepted; accepted: " + std::string(nameAccepted);
        }
        if ((subcommand.flags & TakesKey) && !isName(options.workspace)) {
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

    CliParseResult parseSubcommand(const Subcommand& subcommand, const std::vector<std::string>& arguments, const Environment& environment)
    {
        std::vector<const char*> raw { program };
        std::ranges::transform(arguments, std::back_inserter(raw), [](const std::string& it) { return it.c_str(); });
        try {
            auto definition = buildOptions(subcommand);
            const auto parsed = definition.parse(static_cast<int>(raw.size()), raw.data());
            if (parsed.count("help")) {
                return { std::nullopt, ExitCode::Done, helpText(subcommand) };
            }
            auto options = readOptions(subcommand, parsed, environment);
            const auto problem = findProblem(subcommand, options);
            return problem.empty() ? CliParseResult { options, ExitCode::Done, "" } : usageError(fullName(subcommand) + ": " + problem);
        } catch (const cxxopts::exceptions::exception& error) {
            return usageError(fullName(subcommand) + ": " + error.what());
        }
    }

} // namespace

CliParseResult parseCommandLine(const std::vector<std::string>& arguments, const Environment& environment)
{
    if (arguments.empty() || arguments[0] == "--help" || arguments[0] == "-h" || arguments[0] == "help") {
        return { std::nullopt, arguments.empty() ? ExitCode::Usage : ExitCode::Done, overview() };
    }
    auto matches = [&](const Subcommand& it) {
        return it.group == arguments[0] && (it.name.empty() || (arguments.size() > 1 && it.name == arguments[1]));
    };
    const auto* subcommand = std::ranges::find_if(subcommands, matches);
    if (subcommand == subcommands.end()) {
        return usageError("no such subcommand: " + arguments[0] + (arguments.size() > 1 ? " " + arguments[1] : "") + "; see --help");
    }
    const auto words = subcommand->name.empty() ? 1 : 2;
    return parseSubcommand(*subcommand, { arguments.begin() + words, arguments.end() }, environment);
}

} // namespace pw
