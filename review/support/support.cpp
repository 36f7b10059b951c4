#include "support.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

    const auto processStart = std::chrono::steady_clock::now();

    sockaddr_in addressOf(const std::string& ip, int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        return address;
    }

    void setOption(int file, int level, int name, int value)
    {
        setsockopt(file, level, name, &value, sizeof value);
    }

    void applyWindow(int file, Window window)
    {
        if (window.receiveBytes > 0) {
            setOption(file, SOL_SOCKET, SO_RCVBUF, window.receiveBytes);
        }
        if (window.segmentBytes > 0) {
            setOption(file, IPPROTO_TCP, TCP_MAXSEG, window.segmentBytes);
        }
    }

    std::string lower(std::string text)
    {
        std::ranges::transform(text, text.begin(), [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
        return text;
    }

    std::string word(const std::string& line, int n)
    {
        std::istringstream in(line);
        std::string result;
        while (n-- >= 0) {
            result.clear();
            in >> result;
        }
        return result;
    }

} // namespace

double now()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - processStart).count();
}

void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(std::max(0.0, seconds)));
}

bool hasTrouble()
{
    const auto* value = std::getenv("TROUBLE");
    return !value || std::string_view(value) != "0";
}

Record::Record(const std::string& file)
    : m_file(open(file.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644))
{
}

Record::~Record()
{
    close(m_file);
}

void Record::operator()(const std::string& line)
{
    char stamp[32];
    const auto n = std::snprintf(stamp, sizeof stamp, "%8.3f ", now());
    const std::lock_guard guard(m_mutex);
    const auto text = std::string(stamp, static_cast<std::size_t>(n)) + line + "\n";
    if (write(m_file, text.data(), text.size()) < 0) {
        std::perror("record.txt");
    }
}

int Message::status() const
{
    return std::atoi(word(first, 1).c_str());
}

std::string Message::method() const
{
    return word(first, 0);
}

std::string Message::target() const
{
    return word(first, 1);
}

std::string Message::header(const std::string& name) const
{
    const auto it = headers.find(lower(name));
    return it == headers.end() ? std::string() : it->second;
}

Connection::~Connection()
{
    close(m_file);
}

std::optional<int> Connection::dial(const std::string& ip, int port, Window window)
{
    const auto file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    applyWindow(file, window);
    setOption(file, IPPROTO_TCP, TCP_NODELAY, 1);
    const auto address = addressOf(ip, port);
    if (connect(file, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close(file);
        return std::nullopt;
    }
    return file;
}

bool Connection::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const auto n = ::send(m_file, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

std::string Connection::readSome(std::size_t most, double seconds)
{
    pollfd wait { m_file, POLLIN, 0 };
    if (poll(&wait, 1, static_cast<int>(std::max(0.0, seconds) * 1000)) <= 0) {
        m_end = "time limit";
        return {};
    }
    std::string buf(most, '\0');
    const auto n = recv(m_file, buf.data(), buf.size(), 0);
    if (n <= 0) {
        m_end = n == 0 ? "closed" : std::strerror(errno);
        return {};
    }
    buf.resize(static_cast<std::size_t>(n));
    return buf;
}

std::optional<Message> Connection::readHeader(double seconds)
{
    const auto end = now() + seconds;
    std::string text;
    auto at = std::string::npos;
    // One byte at a time, so that nothing of a later message is read.
    while ((at = text.find("\r\n\r\n")) == std::string::npos) {
        const auto more = readSome(1, end - now());
        if (more.empty()) {
            return std::nullopt;
        }
        text += more;
    }
    Message message;
    std::istringstream lines(text);
    std::string line;
    for (bool first = true; std::getline(lines, line) && line != "\r"; first = false) {
        line.erase(line.find_last_not_of("\r\n") + 1);
        if (first) {
            message.first = line;
        } else if (const auto colon = line.find(':'); colon != std::string::npos) {
            message.headers[lower(line.substr(0, colon))] = line.substr(std::min(line.size(), line.find_first_not_of(' ', colon + 1)));
        }
    }
    return message;
}

void Connection::readBody(Message& message, double seconds, double bytesPerSecond)
{
    const auto begin = now();
    const auto length = static_cast<std::size_t>(std::atoll(message.header("content-length").c_str()));
    constexpr std::size_t piece = 16 * 1024;
    while (message.body.size() < length) {
        const auto more = readSome(std::min(piece, length - message.body.size()), begin + seconds - now());
        if (more.empty()) {
            return;
        }
        message.body += more;
        if (bytesPerSecond > 0) {
            sleepFor(begin + static_cast<double>(message.body.size()) / bytesPerSecond - now());
        }
    }
    message.whole = true;
}

std::optional<Message> request(const std::string& ip, int port, const std::string& bytes, double seconds)
{
    const auto file = Connection::dial(ip, port);
    if (!file) {
        return std::nullopt;
    }
    Connection connection(*file);
    if (!connection.send(bytes)) {
        return std::nullopt;
    }
    auto answer = connection.readHeader(seconds);
    if (answer) {
        connection.readBody(*answer, seconds);
    }
    return answer;
}

Process::Process(std::vector<std::string> command, std::string log)
    : m_command(std::move(command))
    , m_log(std::move(log))
{
}

Process::~Process()
{
    signal(SIGKILL);
    waitForEnd(1);
}

void Process::start()
{
    std::vector<char*> words;
    std::ranges::transform(m_command, std::back_inserter(words), [](std::string& it) { return it.data(); });
    words.push_back(nullptr);
    m_pid = fork();
    if (m_pid == 0) {
        const auto log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execv(words.front(), words.data());
        _exit(127);
    }
}

void Process::signal(int number) const
{
    if (m_pid > 0) {
        kill(m_pid, number);
    }
}

void Process::waitForEnd(double seconds)
{
    for (const auto end = now() + seconds; m_pid > 0;) {
        if (waitpid(m_pid, nullptr, WNOHANG) != 0) {
            m_pid = 0;
        } else if (now() >= end) {
            kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
            m_pid = 0;
        } else {
            sleepFor(0.01);
        }
    }
}

std::string caseFolder(int argc, char** argv)
{
    return argc > 1 ? argv[1] : ".";
}

std::string temporaryFolder()
{
    auto name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    return mkdtemp(name.data()) ? name : std::string();
}

std::string configuration(int version, const std::vector<RouteLine>& routes)
{
    std::ostringstream out;
    std::map<std::string, bool> services;
    out << R"({"config_version":)" << version << R"(,"routes":{)";
    for (std::size_t n = 0; n < routes.size(); ++n) {
        const auto& it = routes[n];
        services[it.service] = true;
        out << (n ? "," : "") << '"' << it.name << R"(":{"host":")" << host << R"(","path_prefix":")" << it.prefix << R"(","kind":")" << it.kind
            << R"(","timeout_s":)" << it.timeout << R"(,"target_latency_s":)" << it.timeout << R"(,"priority":0,"service":")" << it.service
            << R"(","max_attempts":2,"public":false})";
    }
    out << R"(},"services":{)";
    for (auto it = services.begin(); it != services.end(); ++it) {
        out << (it == services.begin() ? "" : ",") << '"' << it->first
            << R"(":{"health_path":"/healthz","max_connections":622,"protocol":"h1","tls":false})";
    }
    out << R"(},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},)"
        << R"("tenants":{"pulo780":{"api_keys":[")" << key << R"("],"priority":1,"rate_per_s":0,"burst":0}}})";
    return out.str();
}

std::string clientRequest(const std::string& method, const std::string& target, const std::string& id, int deadlineMs, const std::string& body)
{
    std::ostringstream out;
    out << method << ' ' << target << " HTTP/1.1\r\nHost: " << host << "\r\nPistachiowheel-Request-Id: " << id
        << "\r\nPistachiowheel-Deadline-Ms: " << deadlineMs << "\r\nAuthorization: Bearer " << key << "\r\n";
    if (method != "GET") {
        out << "Content-Length: " << body.size() << "\r\n";
    }
    out << "\r\n"
        << body;
    return out.str();
}

} // namespace review
