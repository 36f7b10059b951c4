#include "app/cli_commands.h"
#include "app/secret_file.h"
#include "http_transport.h"

#include <cstdlib>
#include <iostream>
#include <optional>

namespace {

using namespace pw;

std::string environmentVariable(const std::string& name)
{
    const char* value = std::getenv(name.c_str());
    return value ? value : "";
}

ExitCode run(const CliOptions& options)
{
    HttpTransport transport;
    if (options.members.empty()) {
        return runCommand({ options, nullptr, transport, std::cout, std::cerr });
    }
    std::string reason;
    const auto secrets = readSecretFile(options.secretFile, reason);
    if (!secrets) {
        std::cerr << reason << '\n';
        return ExitCode::SecretRefused;
    }
    OperatorClient client(transport, options.members, secrets->front(), options.timeout);
    return runCommand({ options, &client, transport, std::cout, std::cerr });
}

} // namespace

/// The command-line tool of operators.
int main(int argc, char** argv)
{
    const auto parsed = parseCommandLine({ argv + 1, argv + argc }, environmentVariable);
    if (!parsed.options) {
        (parsed.code == ExitCode::Done ? std::cout : std::cerr) << parsed.text;
        return static_cast<int>(parsed.code);
    }
    return static_cast<int>(run(*parsed.options));
}
