#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

/// Stand-ins for clients, servers and the platform, for the cases of the review. They speak the published protocol only.
namespace review {

/// Results of a case, as exit codes.
enum Outcome : int {
    Held = 0,
    Broken = 1,
    CannotRun = 2
};

/// Seconds since the process started.
double now();
void sleepFor(double seconds);
/// Whether the disruption is wanted: not with TROUBLE=0.
bool hasTrouble();

/// Lines of record.txt, with the time of each.
class Record {
public:
    explicit Record(const std::string& file);
    ~Record();
    Record(const Record&) = delete;
    Record& operator=(const Record&) = delete;

    void operator()(const std::string& line);

private:
    std::mutex m_mutex;
    int m_file;
};

/// A message of HTTP/1.1. Names of headers are in lower case.
struct Message {
    std::string first; ///< Request line or status line.
    std::map<std::string, std::string> headers;
    std::string body;
    bool whole = false; ///< The body has the length that the header states.

    int status() const;
    std::string method() const;
    std::string target() const;
    std::string header(const std::string& name) const;
};

/// Options of a connection. A small window makes a peer that does not read block the writer, as on the users' links.
struct Window {
    int receiveBytes = 0;
    int segmentBytes = 0;
};

/// A blocking connection. Reads end after the time limit given to them.
class Connection {
public:
    explicit Connection(int file)
        : m_file(file)
    {
    }
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    static std::optional<int> dial(const std::string& ip, int port, Window window = {});

    bool send(std::string_view bytes) const;
    /// Reads the header of a message and what has arrived of its body.
    std::optional<Message> readHeader(double seconds);
    /// Reads the rest of the body, at \p bytesPerSecond at most.
    void readBody(Message& message, double seconds, double bytesPerSecond = 0);
    /// Reads at most \p most bytes. \returns what has arrived; empty at the end or after the time limit.
    std::string readSome(std::size_t most, double seconds);
    std::string end() const { return m_end; } ///< How reading ended, if it did.

private:
    int m_file;
    std::string m_end;
};

/// Sends one request on a connection of its own. \returns the answer, if a header arrived.
std::optional<Message> request(const std::string& ip, int port, const std::string& bytes, double seconds);

/// A process that the case started, with its output in a file.
class Process {
public:
    Process(std::vector<std::string> command, std::string log);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void start();
    void signal(int number) const;
    pid_t pid() const { return m_pid; }
    /// Waits for its end; kills it after \p seconds.
    void waitForEnd(double seconds);

private:
    std::vector<std::string> m_command;
    std::string m_log;
    pid_t m_pid = 0;
};

/// A small deployment on loopback, from the commands and templates of deploy/system.toml, as the platform starts it.
class Deployment {
public:
    static constexpr int outboundPort = 8548;
    static constexpr int controlPort = 8540;
    static constexpr int readyPort = 8546;
    static constexpr int appPort = 8547;
    static constexpr double grace = 6;
    static constexpr double drain = 2;
    static constexpr double contact = 3;
    static constexpr double heartbeat = 1.5;

    /// \param services one for each VM with a server.
    Deployment(Record& record, std::string folder, const std::vector<std::string>& services);

    void start();
    /// Sends the first configuration until it is acknowledged. \returns false if it is not.
    bool configure(const std::string& document, double seconds);
    /// \returns whether the daemon beside server \p n says that it is ready within \p seconds.
    bool waitUntilReady(std::size_t n, double seconds) const;
    Process& beside(std::size_t n) { return *m_beside.at(n); }
    std::string besideIp(std::size_t n) const { return m_net + std::to_string(100 + n); }
    std::string controlIp(std::size_t n) const { return m_net + std::to_string(10 + n); }
    std::string zone(std::size_t n) const { return "zone-" + std::to_string(n); }
    /// Ends all daemons: SIGTERM, after the grace time SIGKILL.
    void stop();

private:
    std::unique_ptr<Process> makeDaemon(const std::string& machineClass, std::size_t n, const std::string& service);

    Record& m_record;
    std::string m_folder;
    std::string m_net;
    std::vector<std::string> m_services;
    std::vector<std::unique_ptr<Process>> m_control;
    std::vector<std::unique_ptr<Process>> m_beside;
};

/// A server beside a daemon: sends heartbeats and handles each request in a thread of its connection.
class Server {
public:
    /// Handles a request whose header has been read; answers on the connection. \returns whether the connection stays open.
    using Handler = std::function<bool(Connection&, Message&)>;

    struct Options {
        std::string id;
        std::string service;
        std::string zone;
        std::string ip;
        int slots = 16;
        Window window;
    };

    Server(Options options, Handler handler);

    /// Starts to listen and, unless \p heartbeats is false, to send heartbeats.
    bool start(bool heartbeats = true);
    /// Sends one heartbeat. \returns whether it was acknowledged.
    bool sendHeartbeat(std::uint64_t sequence, const std::string& state) const;
    /// Sends no further heartbeats.
    void stopHeartbeats() { m_beats = false; }
    bool deregister() const;
    std::uint64_t lastSequence() const { return m_sequence; }
    std::uint64_t nextSequence() { return ++m_sequence; }

    /// \returns a successful answer to \p message with the echoed id and a signature.
    static std::string answer(const Message& message, const std::string& body, bool withLength = true);

private:
    void serve(int file);

    Options m_options;
    Handler m_handler;
    std::uint64_t m_born;
    std::atomic<std::uint64_t> m_sequence { 0 };
    std::atomic<bool> m_beats { true };
};

/// \returns the folder of the case, where record.txt goes, and a new temporary folder.
std::string caseFolder(int argc, char** argv);
std::string temporaryFolder();

/// \returns a document with one route from each prefix to a service.
struct RouteLine {
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
    double timeout = 30;
};
std::string configuration(int version, const std::vector<RouteLine>& routes);

/// The host of all routes.
inline constexpr std::string_view host = "shop.example";
/// The key of the one tenant.
inline constexpr std::string_view key = "6wsjnbanfqasnmgkcuyj";

/// \returns a request with the headers that clients send.
std::string clientRequest(const std::string& method, const std::string& target, const std::string& id, int deadlineMs,
    const std::string& body = {});

} // namespace review
