#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <map>
#include <random>
#include <sstream>

namespace review {
namespace {

    constexpr double graceSeconds = 6;
    constexpr long coreMegabytes = 256;
    constexpr long sidecarMegabytes = 260;

    std::string readText(const std::string& path)
    {
        std::ifstream file(path);
        std::stringstream text;
        text << file.rdbuf();
        return text.str();
    }

    /// \returns the value of \p key in the role of the deploy file that runs on machines of the class \p kind.
    std::string roleValue(const std::string& kind, const std::string& key)
    {
        std::istringstream lines(readText("deploy/system.toml"));
        std::string line;
        std::map<std::string, std::string> role;
        const auto matches = [&] { return role["on"] == kind; };
        while (std::getline(lines, line)) {
            if (line.starts_with("[roles.")) {
                if (matches()) {
                    break;
                }
                role.clear();
            }
            const auto equals = line.find(" = \"");
            const auto end = line.rfind('"');
            if (equals != std::string::npos && end > equals + 4) {
                role[line.substr(0, equals)] = line.substr(equals + 4, end - equals - 4);
            }
        }
        return matches() ? role[key] : "";
    }

    std::vector<std::string> wordsOf(const std::string& text)
    {
        std::istringstream in(text);
        std::vector<std::string> words;
        for (std::string word; in >> word;) {
            words.push_back(word);
        }
        return words;
    }

    /// Renders the sections and placeholders that the templates of this project use.
    std::string renderTemplate(std::string text, const std::map<std::string, std::string>& fields, const std::vector<std::string>& seeds)
    {
        const auto valueOf = [&](const std::string& name) {
            const auto it = fields.find(name);
            return it == fields.end() ? std::string() : it->second;
        };
        for (auto at = text.find("{{#"); at != std::string::npos || (at = text.find("{{^")) != std::string::npos; at = text.find("{{#")) {
            const auto nameEnd = text.find("}}", at);
            const auto name = text.substr(at + 3, nameEnd - at - 3);
            const auto closing = "{{/" + name + "}}";
            const auto end = text.find(closing, nameEnd);
            const auto body = text.substr(nameEnd + 2, end - nameEnd - 2);
            std::string shown;
            if (name == "seeds") {
                for (const auto& it : seeds) {
                    shown += (shown.empty() ? "\"" : ", \"") + it + "\"";
                }
            } else if ((text[at + 2] == '#') != valueOf(name).empty()) {
                shown = body;
            }
            text.replace(at, end + closing.size() - at, shown);
        }
        for (auto at = text.find("{{"); at != std::string::npos; at = text.find("{{")) {
            const auto end = text.find("}}", at);
            text.replace(at, end + 2 - at, valueOf(text.substr(at + 2, end - at - 2)));
        }
        return text;
    }

    /// \returns the first two parts of a loopback network in which all ports of this deployment are free.
    std::string freeNetwork(std::size_t sidecars)
    {
        std::random_device random;
        for (int attempt = 0; attempt < 50; ++attempt) {
            const auto network = "127." + std::to_string(20 + random() % 200);
            bool isFree = true;
            for (std::size_t n = 1; n <= std::max<std::size_t>(sidecars, 3); ++n) {
                for (const auto* net : { ".1.", ".2." }) {
                    for (const std::uint16_t port : { 7000, 7001, 8540, 8546, 8547, 8548 }) {
                        const int fd = listenOn({ network + net + std::to_string(n), port });
                        isFree = isFree && fd >= 0;
                        ::close(fd);
                    }
                }
            }
            if (isFree) {
                return network;
            }
        }
        return {};
    }

} // namespace

Deployment::Deployment(Record& record, std::string folder, const std::vector<std::string>& services)
    : m_record(record)
    , m_folder(std::move(folder))
{
    const auto network = freeNetwork(services.size());
    for (int n = 1; n <= 3; ++n) {
        cores.push_back({ "core-" + std::to_string(n), "core", network + ".1." + std::to_string(n), "" });
    }
    for (std::size_t n = 1; n <= services.size(); ++n) {
        sidecars.push_back({ "sidecar-" + std::to_string(n), "sidecar", network + ".2." + std::to_string(n), services[n - 1] });
    }
}

Deployment::~Deployment()
{
    m_stopping = true;
    if (m_watcher.joinable()) {
        m_watcher.join();
    }
    std::vector<Machine*> machines;
    for (auto* list : { &cores, &sidecars }) {
        for (auto& it : *list) {
            if (it.pid > 0) {
                machines.push_back(&it);
                kill(it.pid, SIGCONT);
                kill(it.pid, SIGTERM);
            }
        }
    }
    const auto end = now() + graceSeconds;
    for (auto* it : machines) {
        while (waitpid(it->pid, nullptr, WNOHANG) == 0) {
            if (now() >= end) {
                kill(it->pid, SIGKILL);
            }
            sleepUntil(now() + 0.02);
        }
    }
}

std::string Deployment::settings(const Machine& machine, const std::string& text) const
{
    const auto zone = "zone-" + std::string(1, machine.ip.back());
    const std::map<std::string, std::string> fields {
        { "node_name", machine.name }, { "zone", zone }, { "region", "west" }, { "ip", machine.ip }, { "service", machine.service },
        { "bootstrap", "true" }, { "data_dir", m_folder + "/" + machine.name + ".data" }, { "internal_port_range.0", "7000" },
        { "listen_addrs.outbound", machine.outbound().text() }, { "listen_addrs.control", machine.control().text() },
        { "listen_addrs.ready", machine.ready().text() }, { "fault_tolerance.machines", "1" }, { "bounds.drain_s", "2" },
        { "bounds.grace_s", "6" }, { "bounds.retry_budget_ratio", "0.2" }, { "bounds.retry_budget_extra", "47" },
        { "bounds.budget_window_s", "10" }, { "bounds.quota_window_s", "5" }, { "bounds.quota_overage", "0.1" }, { "bounds.quota_slack", "20" }
    };
    std::vector<std::string> seeds;
    std::ranges::transform(cores, std::back_inserter(seeds), [](const Machine& it) { return it.control().text(); });
    return renderTemplate(text, fields, seeds);
}

bool Deployment::spawn(Machine& machine)
{
    const auto file = m_folder + "/" + machine.name + ".yaml";
    std::ofstream(file) << settings(machine, readText(roleValue(machine.kind, "template")));
    auto words = wordsOf(roleValue(machine.kind, "run"));
    std::ranges::replace(words, std::string("/etc/pistachiowheel/node.conf"), file);
    if (words.empty() || access(words.front().c_str(), X_OK) != 0) {
        return false;
    }
    std::vector<char*> arguments;
    std::ranges::transform(words, std::back_inserter(arguments), [](std::string& it) { return it.data(); });
    arguments.push_back(nullptr);
    const auto log = m_folder + "/" + machine.name + ".log";
    const auto variable = "PISTACHIOWHEEL_CONFIG=" + file;
    std::vector<std::string> variables { variable, "LANG=C.UTF-8", "PATH=/usr/bin:/bin" };
    std::vector<char*> environment;
    std::ranges::transform(variables, std::back_inserter(environment), [](std::string& it) { return it.data(); });
    environment.push_back(nullptr);
    machine.pid = fork();
    if (machine.pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // Nothing is left if this program is ended.
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        execve(arguments.front(), arguments.data(), environment.data());
        _exit(127);
    }
    m_record.line("platform starts " + machine.name + " " + machine.ip + " pid " + std::to_string(machine.pid));
    return machine.pid > 0;
}

bool Deployment::start()
{
    for (auto* list : { &cores, &sidecars }) {
        for (auto& it : *list) {
            mkdir((m_folder + "/" + it.name + ".data").c_str(), 0700);
            if (!spawn(it)) {
                return false;
            }
        }
    }
    m_watcher = std::thread([this] { watch(); });
    return true;
}

/// Kills a process that uses more memory than its class has.
void Deployment::limitMemory(Machine& machine)
{
    std::istringstream lines(readText("/proc/" + std::to_string(machine.pid) + "/status"));
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with("RssAnon:")) {
            continue;
        }
        const auto megabytes = std::atol(line.c_str() + std::string("RssAnon:").size()) / 1024;
        if (megabytes > (machine.kind == "core" ? coreMegabytes : sidecarMegabytes)) {
            m_record.line("THE PLATFORM KILLS " + machine.name + ": it uses " + std::to_string(megabytes) + " MB of memory");
            ++machine.kills;
            kill(machine.pid, SIGKILL);
        }
    }
}

/// Starts processes again that ended, and limits their memory.
void Deployment::watch()
{
    while (!m_stopping) {
        sleepUntil(now() + 0.01);
        const std::scoped_lock lock(m_mutex);
        for (auto* list : { &cores, &sidecars }) {
            for (auto& it : *list) {
                int status = 0;
                limitMemory(it);
                if (it.pid > 0 && waitpid(it.pid, &status, WNOHANG) == it.pid) {
                    it.exits += WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL ? 0 : 1;
                    const auto cause = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status)) : "code " + std::to_string(WEXITSTATUS(status));
                    m_record.line("PROCESS ENDED " + it.name + " pid " + std::to_string(it.pid) + " " + cause);
                    sleepUntil(now() + 0.3);
                    spawn(it);
                }
            }
        }
    }
}

void Deployment::signal(Machine& machine, int signal)
{
    const std::scoped_lock lock(m_mutex);
    m_record.line("platform sends signal " + std::to_string(signal) + " to " + machine.name);
    kill(machine.pid, signal);
}

bool Deployment::waitUntilReady(double until)
{
    const auto isReady = [](const Machine& it) {
        const auto answer = exchange(it.ready(), render("GET", "/v1/readyz", { { "Host", it.ready().text() } }, ""), now() + 1);
        return answer && answer->status == 200;
    };
    while (!std::ranges::all_of(sidecars, isReady)) {
        if (now() >= until) {
            return false;
        }
        sleepUntil(now() + 0.1);
    }
    return true;
}

int Deployment::replaceConfiguration(const std::string& body, int base, double until)
{
    int status = 0;
    for (std::size_t n = 0; now() < until; ++n) {
        const auto& core = cores[n % cores.size()];
        const auto text = render("POST", "/v1/config/replace",
            { { "Host", core.control().text() }, { "Content-Type", "application/json" }, { "Pistachiowheel-Base-Version", std::to_string(base) } }, body);
        m_record.line("operator sends a configuration to " + core.name + " on base " + std::to_string(base));
        const auto answer = exchange(core.control(), text, now() + 1);
        status = answer ? answer->status : 0;
        m_record.line("operator is answered " + std::to_string(status));
        if (status == 200 || status == 400 || status == 409 || status == 412 || status == 413 || status == 422) {
            return status;
        }
        sleepUntil(now() + 0.2);
    }
    return status;
}

std::string Deployment::readConfiguration(double until)
{
    for (std::size_t n = 0; now() < until; ++n) {
        const auto& core = cores[n % cores.size()];
        const auto answer = exchange(core.control(), render("GET", "/v1/config/read", { { "Host", core.control().text() } }, ""), now() + 1);
        if (answer && answer->status == 200) {
            return answer->body;
        }
        sleepUntil(now() + 0.2);
    }
    return {};
}

} // namespace review
