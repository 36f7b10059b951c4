#include "rig.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {
namespace {

    const auto programStart = std::chrono::steady_clock::now();
    constexpr Milliseconds pollStep { 10 };
    constexpr Milliseconds heartbeatInterval { 1500 };
    constexpr Milliseconds heartbeatTimeout { 1000 };
    constexpr int serverQueue = 8;
    /// The templates name this port themselves.
    constexpr int metricsPort = 7001;

    bool sameName(const std::string& a, const std::string& b)
    {
        return std::ranges::equal(
            a, b, {}, [](unsigned char c) { return std::tolower(c); }, [](unsigned char c) { return std::tolower(c); });
    }

    sockaddr_in addressOf(const std::string& ip, int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        return address;
    }

    /// \returns a listening socket, or -1.
    int listenAt(const std::string& ip, int port, int backlog = SOMAXCONN)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto address = addressOf(ip, port);
        if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(fd, backlog) != 0) {
            ::close(fd);
            return -1;
        }
        return fd;
    }

    /// \returns a free port, or zero.
    int freePort(const std::string& ip)
    {
        const int fd = listenAt(ip, 0);
        sockaddr_in address {};
        socklen_t size = sizeof address;
        const bool known = fd >= 0 && getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
        if (fd >= 0) {
            ::close(fd);
        }
        return known ? ntohs(address.sin_port) : 0;
    }

    std::string readFile(const std::string& path)
    {
        std::ifstream in(path);
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }

    std::string replaced(std::string text, const std::string& from, const std::string& to)
    {
        for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
            text.replace(at, from.size(), to);
        }
        return text;
    }

    /// Renders the sections and placeholders that the project's templates use, as DEPLOY.md describes them.
    std::string render(std::string text, const std::map<std::string, std::string>& fields, const std::vector<std::string>& seeds)
    {
        for (auto open = text.find("{{"); open != std::string::npos; open = text.find("{{", open)) {
            const auto end = text.find("}}", open);
            const auto name = text.substr(open + 2, end - open - 2);
            const auto valueOf = [&](const std::string& key) {
                const auto it = fields.find(key);
                return it == fields.end() ? std::string() : it->second;
            };
            if (!name.starts_with('#') && !name.starts_with('^')) {
                text.replace(open, end + 2 - open, valueOf(name));
                continue;
            }
            const auto key = name.substr(1);
            const auto closing = "{{/" + key + "}}";
            const auto last = text.find(closing, end);
            const auto body = text.substr(end + 2, last - end - 2);
            std::string result;
            if (key == "seeds") {
                for (std::size_t n = 0; n < seeds.size(); ++n) {
                    result += replaced(replaced(body, "{{.}}", seeds[n]), "{{,}}", n + 1 < seeds.size() ? "," : "");
                }
            } else if (valueOf(key).empty() == name.starts_with('^')) {
                result = body;
            }
            text.replace(open, last + closing.size() - open, result);
        }
        return text;
    }

    /// One role of deploy/system.toml.
    struct Role {
        std::vector<std::string> command;
        std::string templateText;
    };

    /// \returns the role on machines of class \p machines.
    Role readRole(const std::string& machines)
    {
        std::istringstream in(readFile("deploy/system.toml"));
        std::map<std::string, std::string> values;
        std::vector<std::map<std::string, std::string>> sections;
        for (std::string line; std::getline(in, line);) {
            if (line.starts_with('[')) {
                sections.emplace_back();
            }
            const auto equals = line.find(" = \"");
            if (equals != std::string::npos && !sections.empty()) {
                const auto begin = equals + 4;
                sections.back()[line.substr(0, equals)] = line.substr(begin, line.rfind('"') - begin);
            }
        }
        for (auto& it : sections) {
            if (it["on"] == machines) {
                Role role;
                std::istringstream words(it["run"]);
                for (std::string word; words >> word;) {
                    role.command.push_back(word);
                }
                role.templateText = readFile(it["template"]);
                return role;
            }
        }
        throw std::runtime_error("deploy/system.toml has no role on " + machines);
    }

} // namespace

Milliseconds elapsed()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - programStart);
}

void sleepFor(Milliseconds time)
{
    std::this_thread::sleep_for(time);
}

void sleepUntil(Milliseconds time)
{
    if (time > elapsed()) {
        sleepFor(time - elapsed());
    }
}

Record::Record(const std::string& path)
    : m_file(path)
{
}

void Record::line(const std::string& text)
{
    std::array<char, 32> time {};
    std::snprintf(time.data(), time.size(), "%8.3f ", static_cast<double>(elapsed().count()) / 1000);
    const std::lock_guard lock(m_mutex);
    m_file << time.data() << text << std::endl;
}

std::string Message::header(const std::string& name) const
{
    const auto it = std::ranges::find_if(headers, [&](const auto& line) { return sameName(line.first, name); });
    return it == headers.end() ? "" : it->second;
}

int Message::status() const
{
    const auto space = startLine.find(' ');
    return space == std::string::npos ? 0 : std::atoi(startLine.c_str() + space + 1);
}

std::string Message::method() const
{
    return startLine.substr(0, startLine.find(' '));
}

std::string Message::target() const
{
    const auto begin = startLine.find(' ') + 1;
    return startLine.substr(begin, startLine.find(' ', begin) - begin);
}

Connection::Connection(int fd)
    : m_fd(fd)
{
    const int on = 1;
    setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection()
{
    close();
}

void Connection::close()
{
    if (m_fd >= 0) {
        ::close(std::exchange(m_fd, -1));
    }
}

std::unique_ptr<Connection> Connection::dial(const std::string& ip, int port, Milliseconds timeout, int window)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (window > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    }
    auto connection = std::make_unique<Connection>(fd);
    const auto address = addressOf(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        pollfd entry { fd, POLLOUT, 0 };
        int error = 0;
        socklen_t size = sizeof error;
        const bool ready = errno == EINPROGRESS && poll(&entry, 1, static_cast<int>(timeout.count())) == 1;
        if (!ready || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            return nullptr;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return connection;
}

bool Connection::send(const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

std::optional<Message> Connection::read(Milliseconds timeout)
{
    const auto end = elapsed() + timeout;
    while (true) {
        const auto header = m_input.find("\r\n\r\n");
        if (header != std::string::npos) {
            Message message;
            std::istringstream lines(m_input.substr(0, header));
            std::getline(lines, message.startLine);
            message.startLine.erase(message.startLine.find_last_not_of('\r') + 1);
            for (std::string line; std::getline(lines, line);) {
                const auto colon = line.find(':');
                const auto value = line.find_first_not_of(' ', colon + 1);
                auto text = value == std::string::npos ? "" : line.substr(value);
                text.erase(text.find_last_not_of('\r') + 1);
                message.headers.emplace_back(line.substr(0, colon), text);
            }
            const auto length = static_cast<std::size_t>(std::atoll(message.header("Content-Length").c_str()));
            if (m_input.size() >= header + 4 + length) {
                message.body = m_input.substr(header + 4, length);
                m_input.erase(0, header + 4 + length);
                return message;
            }
        }
        const auto left = end - elapsed();
        pollfd entry { m_fd, POLLIN, 0 };
        if (left <= Milliseconds(0) || poll(&entry, 1, static_cast<int>(left.count())) != 1) {
            return std::nullopt;
        }
        std::array<char, 16384> buf {};
        const auto n = recv(m_fd, buf.data(), buf.size(), 0);
        if (n <= 0) {
            return std::nullopt;
        }
        m_input.append(buf.data(), static_cast<std::size_t>(n));
    }
}

bool Connection::isClosedByPeer() const
{
    pollfd entry { m_fd, POLLRDHUP, 0 };
    return poll(&entry, 1, 0) == 1 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::string request(const std::string& method, const std::string& target, const Headers& headers, const std::string& body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    if (method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

std::string response(int status, const std::string& reason, const Headers& headers, const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::optional<Message> call(const std::string& ip, int port, const std::string& bytes, Milliseconds timeout)
{
    const auto end = elapsed() + timeout;
    const auto connection = Connection::dial(ip, port, timeout);
    if (!connection || !connection->send(bytes)) {
        return std::nullopt;
    }
    return connection->read(end - elapsed());
}

Daemon::Daemon(std::string name, std::string ip, std::string folder, std::vector<std::string> command)
    : m_name(std::move(name))
    , m_ip(std::move(ip))
    , m_folder(std::move(folder))
    , m_command(std::move(command))
{
    for (auto& it : m_command) {
        it = it == "/etc/pistachiowheel/node.conf" ? m_folder + "/" + m_name + ".yaml" : it;
    }
}

Daemon::~Daemon()
{
    if (running()) {
        signal(SIGKILL);
        awaitEnd(Milliseconds(1000));
    }
}

void Daemon::writeSettings(const std::string& templateText, std::map<std::string, std::string> fields, const std::vector<std::string>& seeds) const
{
    const auto data = m_folder + "/" + m_name + ".data";
    std::filesystem::create_directories(data);
    fields["node_name"] = m_name;
    fields["ip"] = m_ip;
    fields["data_dir"] = data;
    const auto path = m_folder + "/" + m_name + ".yaml";
    std::ofstream(path + ".new") << render(templateText, fields, seeds);
    std::filesystem::rename(path + ".new", path);
}

void Daemon::start()
{
    const auto log = m_folder + "/" + m_name + ".log";
    std::vector<char*> words;
    std::ranges::transform(m_command, std::back_inserter(words), [](std::string& it) { return it.data(); });
    words.push_back(nullptr);
    const int pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with this program, however that ends.
        const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(file, 1);
        dup2(file, 2);
        execv(words.front(), words.data());
        _exit(127);
    }
    m_pid = pid;
}

void Daemon::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void Daemon::awaitEnd(Milliseconds timeout)
{
    const auto end = elapsed() + timeout;
    while (m_pid > 0) {
        if (waitpid(m_pid, nullptr, WNOHANG) != 0) {
            m_pid = 0;
            return;
        }
        if (elapsed() >= end) {
            ::kill(m_pid, SIGKILL);
        }
        sleepFor(pollStep);
    }
}

Fleet::Fleet(Record& record, std::string folder, const std::vector<std::string>& services)
    : m_record(record)
    , m_folder(std::move(folder))
    , m_services(services)
{
    const auto control = readRole("core");
    const auto beside = readRole("sidecar");
    m_controlTemplate = control.templateText;
    m_besideTemplate = beside.templateText;
    choosePlaces();
    for (int n = 1; n <= 3; ++n) {
        m_controls.push_back(std::make_unique<Daemon>("core-" + std::to_string(n), m_net + "1" + std::to_string(n), m_folder, control.command));
    }
    for (std::size_t n = 1; n <= m_services.size(); ++n) {
        m_besides.push_back(std::make_unique<Daemon>("sidecar-" + std::to_string(n), m_net + "2" + std::to_string(n), m_folder, beside.command));
    }
}

Fleet::~Fleet()
{
    stopAll();
}

/// Chooses loopback addresses and ports that nobody uses.
void Fleet::choosePlaces()
{
    std::random_device random;
    std::uniform_int_distribution<int> byte(10, 250);
    for (int attempt = 0; attempt < 100; ++attempt) {
        m_net = "127." + std::to_string(byte(random)) + "." + std::to_string(byte(random)) + ".";
        const auto first = m_net + "11";
        m_ports = { freePort(first), freePort(first), freePort(first), freePort(first), freePort(first) };
        const int probe = listenAt(first, metricsPort);
        const std::vector<int> all { m_ports.internal, m_ports.outbound, m_ports.control, m_ports.ready, m_ports.app, metricsPort };
        auto sorted = all;
        std::ranges::sort(sorted);
        const auto differ = std::ranges::adjacent_find(sorted) == sorted.end() && sorted.front() > 0;
        if (probe >= 0) {
            ::close(probe);
        }
        if (probe >= 0 && differ) {
            return;
        }
    }
    throw std::runtime_error("no free ports");
}

void Fleet::writeSettings()
{
    std::map<std::string, std::string> fields { { "region", "west" }, { "bootstrap", m_firstStart ? "true" : "false" },
        { "internal_port_range.0", std::to_string(m_ports.internal) }, { "fault_tolerance.machines", "1" }, { "bounds.drain_s", "2" },
        { "bounds.grace_s", "6" }, { "bounds.revoke_strict", "" }, { "bounds.retry_budget_ratio", "0.2" },
        { "bounds.retry_budget_extra", "49" }, { "bounds.budget_window_s", "10" }, { "bounds.quota_window_s", "5" },
        { "bounds.quota_overage", "0.1" }, { "bounds.quota_slack", "20" } };
    std::vector<std::string> seeds;
    std::ranges::transform(m_controls, std::back_inserter(seeds), [&](const auto& it) { return it->ip() + ":" + std::to_string(m_ports.control); });
    const auto write = [&](const Daemon& daemon, std::size_t n, const std::string& text) {
        fields["zone"] = "zone-" + std::to_string(n % 3);
        fields["listen_addrs.outbound"] = daemon.ip() + ":" + std::to_string(m_ports.outbound);
        fields["listen_addrs.control"] = daemon.ip() + ":" + std::to_string(m_ports.control);
        fields["listen_addrs.ready"] = daemon.ip() + ":" + std::to_string(m_ports.ready);
        daemon.writeSettings(text, fields, seeds);
    };
    for (std::size_t n = 0; n < m_controls.size(); ++n) {
        write(*m_controls[n], n, m_controlTemplate);
    }
    for (std::size_t n = 0; n < m_besides.size(); ++n) {
        fields["service"] = m_services[n];
        write(*m_besides[n], n, m_besideTemplate);
    }
}

void Fleet::startAll()
{
    writeSettings();
    const auto start = [](const auto& it) { it->start(); };
    std::ranges::for_each(m_controls, start);
    std::ranges::for_each(m_besides, start);
    m_record.line("started " + std::to_string(m_controls.size()) + " control daemons and " + std::to_string(m_besides.size()) + " beside servers");
}

void Fleet::stopAll()
{
    const auto stop = [](const auto& it) { it->signal(SIGTERM); };
    const auto await = [](const auto& it) { it->awaitEnd(Milliseconds(7000)); };
    std::ranges::for_each(m_besides, stop);
    std::ranges::for_each(m_controls, stop);
    std::ranges::for_each(m_besides, await);
    std::ranges::for_each(m_controls, await);
}

void Fleet::changeService(std::size_t n, const std::string& service)
{
    m_services.at(n) = service;
    writeSettings();
    m_record.line("platform: the settings of " + m_besides.at(n)->name() + " say service " + service);
}

void Fleet::endFirstStart()
{
    m_firstStart = false;
    writeSettings();
}

bool Fleet::submit(const std::string& base, const std::string& document, Milliseconds timeout)
{
    const auto end = elapsed() + timeout;
    const auto bytes = request("POST", "/v1/config/replace",
        { { "Host", "control" }, { "Pistachiowheel-Base-Version", base }, { "Content-Type", "application/json" } }, document);
    for (std::size_t n = 0; elapsed() < end; ++n) {
        const auto reply = call(m_controls[n % m_controls.size()]->ip(), m_ports.control, bytes, Milliseconds(1000));
        m_record.line("operator: configuration on base " + base + " answered " + std::to_string(reply ? reply->status() : 0));
        if (reply && reply->status() == 200) {
            return true;
        }
        sleepFor(Milliseconds(300));
    }
    return false;
}

bool Fleet::isReady(std::size_t n) const
{
    const auto reply = call(m_besides.at(n)->ip(), m_ports.ready, request("GET", "/v1/readyz", { { "Host", "ready" } }, ""), Milliseconds(500));
    return reply && reply->status() == 200;
}

Server::Server(Record& record, std::string ip, const Ports& ports)
    : m_record(record)
    , m_ip(std::move(ip))
    , m_ports(ports)
{
}

Server::~Server()
{
    m_ended = true;
    m_beats = false;
    if (const int listener = m_listener.exchange(-1); listener >= 0) {
        shutdown(listener, SHUT_RDWR);
        ::close(listener);
    }
    std::vector<std::thread> threads;
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            threads.swap(m_threads);
        }
        if (threads.empty()) {
            return;
        }
        std::ranges::for_each(threads, [](std::thread& it) { it.join(); });
        threads.clear();
    }
}

void Server::start(const ServerSettings& settings)
{
    auto start = std::make_shared<Start>();
    start->settings = settings;
    const auto timeOfDay = std::chrono::system_clock::now() + settings.clockOffset;
    start->born = static_cast<std::uint64_t>(timeOfDay.time_since_epoch() / Milliseconds(1));
    m_start = start;
    m_sequence = 0;
    const int listener = listenAt(m_ip, m_ports.app, settings.backlog);
    if (listener < 0) {
        throw std::runtime_error("server cannot listen");
    }
    m_listener = listener;
    m_beats = true;
    m_record.line("server " + settings.id + " of " + settings.service + " starts at " + m_ip);
    const std::lock_guard lock(m_mutex);
    m_threads.emplace_back([this, listener, start] { accept(listener, start); });
    m_threads.emplace_back([this, start] { beat(start); });
}

void Server::fallSilent()
{
    m_start->silent = true;
    m_beats = false;
    const int listener = m_listener.exchange(-1);
    shutdown(listener, SHUT_RDWR);
    ::close(listener);
    m_record.line("server " + m_start->settings.id + " has fallen silent");
}

void Server::crash()
{
    m_start->crashed = true;
    m_beats = false;
    const int listener = m_listener.exchange(-1);
    shutdown(listener, SHUT_RDWR);
    ::close(listener);
    m_record.line("server " + m_start->settings.id + " has crashed");
}

void Server::stopHeartbeats()
{
    m_beats = false;
}

void Server::accept(int listener, const std::shared_ptr<Start>& start)
{
    while (!m_ended && !start->silent && !start->crashed) {
        pollfd entry { listener, POLLIN, 0 };
        if (m_pausesAccepting) {
            sleepFor(pollStep);
            continue;
        }
        if (poll(&entry, 1, static_cast<int>(pollStep.count())) == 0) {
            continue;
        }
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        auto connection = std::make_shared<Connection>(fd);
        const std::lock_guard lock(m_mutex);
        m_kept.push_back(connection);
        m_threads.emplace_back([this, connection, start] { serve(connection, start); });
    }
}

void Server::serve(const std::shared_ptr<Connection>& connection, const std::shared_ptr<Start>& start)
{
    while (!m_ended && !start->silent && !start->crashed && !connection->isClosedByPeer()) {
        const auto message = connection->read(Milliseconds(100));
        if (message && !start->silent && !start->crashed && !answer(*connection, *message, *start)) {
            break;
        }
    }
    if (!start->silent) {
        connection->close();
    }
}

/// \returns whether the connection may be used again.
bool Server::answer(Connection& connection, const Message& message, Start& start)
{
    const auto& settings = start.settings;
    const auto id = message.header("Pistachiowheel-Request-Id");
    Headers headers;
    if (!id.empty()) {
        headers.emplace_back("Pistachiowheel-Request-Id", id);
    }
    const auto expected = message.header("Pistachiowheel-Expect-Instance");
    if (!expected.empty() && expected != settings.id) {
        m_record.line("server " + settings.id + " answers 421 to request " + id + " for " + expected);
        headers.emplace_back("Pistachiowheel-Instance-Id", settings.id);
        return connection.send(response(421, "Misdirected Request", headers, ""));
    }
    if (message.target() == "/healthz") {
        headers.emplace_back("Pistachiowheel-Instance-Id", settings.id);
        return connection.send(response(200, "OK", headers, "ok"));
    }
    headers.emplace_back("Pistachiowheel-Not-Executed", "1");
    if (id.empty()) {
        return connection.send(response(400, "Bad Request", headers, ""));
    }
    if (start.running >= settings.slots + serverQueue) {
        m_record.line("server " + settings.id + " is full for request " + id);
        return connection.send(response(503, "Service Unavailable", headers, ""));
    }
    work(connection, message, start);
    return !start.silent && !connection.isClosedByPeer();
}

/// Runs a request, as long as its connection is open.
void Server::work(Connection& connection, const Message& message, Start& start)
{
    const auto& settings = start.settings;
    const auto id = message.header("Pistachiowheel-Request-Id");
    const auto began = elapsed();
    ++start.running;
    m_record.line("server " + settings.id + " of " + settings.service + " runs request " + id + " " + message.target() + " caller service "
        + message.header("Pistachiowheel-Caller-Service") + " deadline " + message.header("Pistachiowheel-Deadline-Ms"));
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back({ began, settings.id, settings.service, id, message.target() });
    }
    const Milliseconds deadline(std::atoll(message.header("Pistachiowheel-Deadline-Ms").c_str()));
    const auto end = began + std::min(settings.work, deadline);
    while (!m_ended && !start.silent && !start.crashed && elapsed() < end && !connection.isClosedByPeer()) {
        sleepFor(std::min(pollStep, std::max(end - elapsed(), Milliseconds(1))));
    }
    --start.running;
    if (start.silent || start.crashed) {
        return;
    }
    const Headers headers { { "Pistachiowheel-Request-Id", id }, { "Pistachiowheel-Response-Signature", settings.id + "." + id } };
    const auto whole = settings.work <= deadline;
    connection.send(whole ? response(200, "OK", headers, std::string(settings.answerBytes, 'a')) : response(504, "Gateway Timeout", headers, ""));
}

void Server::beat(const std::shared_ptr<Start>& start)
{
    auto next = elapsed();
    while (m_beats && !m_ended && !start->silent && !start->crashed && m_start == start) {
        if (elapsed() >= next) {
            const auto status = sendHeartbeat("ready", nextSequence());
            // Heartbeats that are not acknowledged are repeated soon.
            next = elapsed() + (status == 200 ? heartbeatInterval : Milliseconds(200));
        }
        sleepFor(pollStep);
    }
}

int Server::sendHeartbeat(const std::string& state, std::uint64_t sequence)
{
    const auto& settings = m_start->settings;
    const auto body = R"({"address":")" + m_ip + ":" + std::to_string(m_ports.app) + R"(","born":)" + std::to_string(m_start->born)
        + R"(,"info":{"service":")" + settings.service + R"(","config_version":"v1","zone":"zone-0","max_concurrency":)"
        + std::to_string(settings.slots) + R"(},"status":{"state":")" + state + R"(","seq":)" + std::to_string(sequence)
        + R"(,"cold_remaining_s":0}})";
    return tell("/heartbeat", body);
}

int Server::deregister()
{
    return tell("/deregister", R"({"born":)" + std::to_string(m_start->born) + "}");
}

int Server::tell(const std::string& path, const std::string& body)
{
    const auto& id = m_start->settings.id;
    const auto reply = call(m_ip, m_ports.control,
        request("POST", "/v1/instances/" + id + path, { { "Host", "control" }, { "Content-Type", "application/json" } }, body), heartbeatTimeout);
    const auto status = reply ? reply->status() : 0;
    m_record.line("server " + id + " sends " + path.substr(1) + " " + body + ": answered " + std::to_string(status));
    return status;
}

std::vector<Run> Server::runs() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

Script readArguments(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 3) {
        std::fputs("usage: PROGRAM FOLDER RECORD\n", stderr);
        std::exit(couldNotRun);
    }
    const auto* trouble = std::getenv("TROUBLE");
    return { !trouble || std::string(trouble) != "0", argv[1], argv[2] };
}

} // namespace rig
