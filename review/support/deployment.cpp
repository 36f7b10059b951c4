#include "support.h"

#include <arpa/inet.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <random>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review {
namespace {

    using Fields = std::map<std::string, std::string>;

    constexpr std::size_t controlCount = 3;
    constexpr int peerPort = 7000;
    constexpr int metricsPort = 7001;

    std::string readFile(const std::string& name)
    {
        std::ifstream in(name);
        return { std::istreambuf_iterator<char>(in), {} };
    }

    void replaceAll(std::string& text, const std::string& from, const std::string& to)
    {
        for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
            text.replace(at, from.size(), to);
        }
    }

    /// Renders the sections and placeholders of a template as the platform does, as far as the project uses them.
    std::string render(std::string text, const Fields& fields, const std::vector<std::string>& seeds)
    {
        for (auto at = text.find("{{#"); at != std::string::npos || (at = text.find("{{^")) != std::string::npos; at = text.find("{{#")) {
            const auto nameEnd = text.find("}}", at);
            const auto name = text.substr(at + 3, nameEnd - at - 3);
            const auto close = "{{/" + name + "}}";
            const auto end = text.find(close, nameEnd);
            const auto inside = text.substr(nameEnd + 2, end - nameEnd - 2);
            const auto field = fields.find(name);
            const auto isSet = field != fields.end() && !field->second.empty();
            std::string result;
            if (name == "seeds") {
                for (std::size_t n = 0; n < seeds.size(); ++n) {
                    auto entry = inside;
                    replaceAll(entry, "{{.}}", seeds[n]);
                    replaceAll(entry, "{{,}}", n + 1 < seeds.size() ? "," : "");
                    result += entry;
                }
            } else if (isSet == (text[at + 2] == '#')) {
                result = inside;
            }
            text.replace(at, end + close.size() - at, result);
        }
        for (const auto& [name, value] : fields) {
            replaceAll(text, "{{" + name + "}}", value);
        }
        return text;
    }

    /// A role of deploy/system.toml.
    struct Role {
        std::string run;
        std::string settings;
    };

    std::string textInQuotes(const std::string& line)
    {
        const auto begin = line.find('"');
        return line.substr(begin + 1, line.rfind('"') - begin - 1);
    }

    Role roleOf(const std::string& machineClass)
    {
        std::istringstream lines(readFile("deploy/system.toml"));
        Role role;
        bool matches = false;
        std::string line;
        while (std::getline(lines, line)) {
            if (line.starts_with("[roles.")) {
                if (matches) {
                    return role;
                }
                role = {};
            } else if (line.starts_with("run =")) {
                role.run = textInQuotes(line);
            } else if (line.starts_with("template =")) {
                role.settings = textInQuotes(line);
            } else if (line.starts_with("on =")) {
                matches = textInQuotes(line) == machineClass;
            }
        }
        if (!matches) {
            throw std::runtime_error("deploy/system.toml has no role on " + machineClass);
        }
        return role;
    }

    bool isFree(const std::string& ip, int port)
    {
        const auto file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        const auto bound = bind(file, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        close(file);
        return bound;
    }

} // namespace

Deployment::Deployment(Record& record, std::string folder, const std::vector<std::string>& services)
    : m_record(record)
    , m_folder(std::move(folder))
    , m_services(services)
{
    std::random_device random;
    const auto allFree = [this] {
        for (std::size_t n = 0; n < std::max(controlCount, m_services.size()); ++n) {
            for (const auto port : { outboundPort, controlPort, readyPort, appPort, peerPort, metricsPort }) {
                if (!isFree(controlIp(n), port) || !isFree(besideIp(n), port)) {
                    return false;
                }
            }
        }
        return true;
    };
    do {
        m_net = "127." + std::to_string(random() % 200 + 20) + "." + std::to_string(random() % 250) + ".";
    } while (!allFree());
    for (std::size_t n = 0; n < controlCount; ++n) {
        m_control.push_back(makeDaemon("core", n, {}));
    }
    for (std::size_t n = 0; n < m_services.size(); ++n) {
        m_beside.push_back(makeDaemon("sidecar", n, m_services[n]));
    }
}

std::unique_ptr<Process> Deployment::makeDaemon(const std::string& machineClass, std::size_t n, const std::string& service)
{
    const auto role = roleOf(machineClass);
    const auto ip = machineClass == "core" ? controlIp(n) : besideIp(n);
    const auto name = machineClass + "-" + std::to_string(n);
    const auto base = m_folder + "/" + name;
    std::filesystem::create_directories(base + ".data");
    const auto at = [&](int port) { return ip + ":" + std::to_string(port); };
    const Fields fields { { "node_name", name }, { "region", "west" }, { "zone", zone(n) }, { "ip", ip }, { "service", service },
        { "data_dir", base + ".data" }, { "bootstrap", "true" }, { "internal_port_range.0", std::to_string(peerPort) },
        { "listen_addrs.outbound", at(outboundPort) }, { "listen_addrs.control", at(controlPort) }, { "listen_addrs.ready", at(readyPort) },
        { "fault_tolerance.machines", "1" }, { "bounds.drain_s", "2" }, { "bounds.grace_s", "6" }, { "bounds.revoke_strict", "" },
        { "bounds.retry_budget_ratio", "0.2" }, { "bounds.retry_budget_extra", "47" }, { "bounds.budget_window_s", "10" },
        { "bounds.quota_window_s", "5" }, { "bounds.quota_overage", "0.1" }, { "bounds.quota_slack", "20" } };
    std::vector<std::string> seeds;
    for (std::size_t seed = 0; seed < controlCount; ++seed) {
        seeds.push_back(controlIp(seed) + ":" + std::to_string(controlPort));
    }
    const auto settings = base + ".yaml";
    std::ofstream(settings) << render(readFile(role.settings), fields, seeds);
    std::istringstream words(role.run);
    std::vector<std::string> command { std::istream_iterator<std::string>(words), {} };
    for (auto& it : command) {
        it = it == "/etc/pistachiowheel/node.conf" ? settings : it;
    }
    return std::make_unique<Process>(std::move(command), base + ".log");
}

void Deployment::start()
{
    for (auto* group : { &m_control, &m_beside }) {
        for (auto& it : *group) {
            it->start();
        }
    }
    m_record("started " + std::to_string(m_control.size()) + " control daemons and " + std::to_string(m_beside.size()) + " beside servers, at " + m_net + "x");
}

bool Deployment::configure(const std::string& document, double seconds)
{
    const auto bytes = "POST /v1/config/replace HTTP/1.1\r\nHost: control\r\nPistachiowheel-Base-Version: 0\r\nContent-Type: application/json\r\n"
                       "Content-Length: "
        + std::to_string(document.size()) + "\r\n\r\n" + document;
    const auto end = now() + seconds;
    for (std::size_t n = 0; now() < end; ++n) {
        const auto answer = request(controlIp(n % controlCount), controlPort, bytes, 1);
        if (answer && answer->status() == 200) {
            m_record("the first configuration is acknowledged");
            return true;
        }
        sleepFor(0.3);
    }
    return false;
}

bool Deployment::waitUntilReady(std::size_t n, double seconds) const
{
    for (const auto end = now() + seconds; now() < end; sleepFor(0.1)) {
        const auto answer = request(besideIp(n), readyPort, "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n", 1);
        if (answer && answer->status() == 200) {
            return true;
        }
    }
    return false;
}

void Deployment::stop()
{
    for (auto* group : { &m_beside, &m_control }) {
        for (auto& it : *group) {
            it->signal(SIGTERM);
        }
    }
    const auto end = now() + grace;
    for (auto* group : { &m_beside, &m_control }) {
        for (auto& it : *group) {
            it->waitForEnd(std::max(0.0, end - now()));
        }
    }
    std::error_code ec;
    if (!std::getenv("KEEP")) {
        std::filesystem::remove_all(m_folder, ec);
    }
}

} // namespace review
