#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// Test rig of the review's scripts: starts the project's daemons as the deploy file says, and holds small stand-ins for
/// clients, servers, operators and the platform. They speak only what PROTOCOL.md says.
namespace rig {

using Milliseconds = std::chrono::milliseconds;

/// \returns the time since the start of this program.
Milliseconds elapsed();
void sleepFor(Milliseconds time);
void sleepUntil(Milliseconds time);

/// record.txt: one line for each thing sent, answered or run. May be used by all threads.
class Record {
public:
    explicit Record(const std::string& path);
    void line(const std::string& text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/// An HTTP/1.1 message.
struct Message {
    std::string startLine;
    Headers headers;
    std::string body;

    /// \returns the value of the header \p name, or an empty string.
    std::string header(const std::string& name) const;
    int status() const;
    std::string method() const;
    std::string target() const;
};

/// A blocking TCP connection that carries HTTP/1.1 messages with a Content-Length.
class Connection {
public:
    explicit Connection(int fd);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /// \param window size of the receive buffer in bytes; zero: the system's.
    static std::unique_ptr<Connection> dial(const std::string& ip, int port, Milliseconds timeout, int window = 0);
    bool send(const std::string& bytes);
    std::optional<Message> read(Milliseconds timeout);
    /// \returns whether the peer has closed the connection.
    bool isClosedByPeer() const;
    void close();

private:
    int m_fd;
    std::string m_input;
};

std::string request(const std::string& method, const std::string& target, const Headers& headers, const std::string& body);
std::string response(int status, const std::string& reason, const Headers& headers, const std::string& body);

/// Sends one request on a new connection. \returns nothing if no whole response arrives in time.
std::optional<Message> call(const std::string& ip, int port, const std::string& bytes, Milliseconds timeout);

/// Ports of one deployment; they are the same on all its machines.
struct Ports {
    int internal = 0;
    int outbound = 0;
    int control = 0;
    int ready = 0;
    int app = 0;
};

/// One daemon of the project.
class Daemon {
public:
    Daemon(std::string name, std::string ip, std::string folder, std::vector<std::string> command);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    void writeSettings(const std::string& templateText, std::map<std::string, std::string> fields, const std::vector<std::string>& seeds) const;
    void start();
    void signal(int number) const;
    /// Waits until the process has ended; kills it after \p timeout.
    void awaitEnd(Milliseconds timeout);
    bool running() const { return m_pid > 0; }
    const std::string& name() const { return m_name; }
    const std::string& ip() const { return m_ip; }

private:
    std::string m_name;
    std::string m_ip;
    std::string m_folder;
    std::vector<std::string> m_command;
    int m_pid = 0;
};

/// A small deployment: three control daemons and one daemon beside each server.
class Fleet {
public:
    /// \param services the service of each VM with a server.
    Fleet(Record& record, std::string folder, const std::vector<std::string>& services);
    ~Fleet();

    void startAll();
    void stopAll();
    /// Renders the settings of the daemon beside server \p n again, as the platform does when they change.
    void changeService(std::size_t n, const std::string& service);
    /// Settings from now on say that this is not the first start.
    void endFirstStart();
    /// Sends \p document until it is acknowledged. \returns false after \p timeout.
    bool submit(const std::string& base, const std::string& document, Milliseconds timeout);

    Daemon& control(std::size_t n) { return *m_controls.at(n); }
    Daemon& beside(std::size_t n) { return *m_besides.at(n); }
    std::size_t controls() const { return m_controls.size(); }
    std::size_t besides() const { return m_besides.size(); }
    const Ports& ports() const { return m_ports; }
    bool isReady(std::size_t n) const;

private:
    void choosePlaces();
    void writeSettings();

    Record& m_record;
    std::string m_folder;
    std::string m_net;
    Ports m_ports;
    std::vector<std::string> m_services;
    bool m_firstStart = true;
    std::string m_controlTemplate;
    std::string m_besideTemplate;
    std::vector<std::unique_ptr<Daemon>> m_controls;
    std::vector<std::unique_ptr<Daemon>> m_besides;
};

/// Properties of one start of a server.
struct ServerSettings {
    std::string id;
    std::string service;
    int slots = 8;
    Milliseconds work { 100 };
    int backlog = 128; ///< Connections that wait to be accepted; the opening packets of others are dropped.
    std::size_t answerBytes = 20; ///< Size of the body of an answer.
    Milliseconds clockOffset { 0 }; ///< By how much the time of day of its VM is ahead at its start.
};

/// A request that a server has begun to work on.
struct Run {
    Milliseconds at { 0 };
    std::string server;
    std::string service;
    std::string requestId;
    std::string target;
};

/// A server at one address. Other starts of servers may follow at the same address.
class Server {
public:
    Server(Record& record, std::string ip, const Ports& ports);
    ~Server();

    /// Starts a server; it listens and sends heartbeats.
    void start(const ServerSettings& settings);
    /// Falls silent for good: new connections are refused, open ones are kept and never answered.
    void fallSilent();
    /// Accepts no connections for a while; they wait in the listen queue.
    void pauseAccepting(bool pause) { m_pausesAccepting = pause; }
    /// Crashes: all its connections end, new ones are refused.
    void crash();
    /// Stops sending heartbeats; requests are still served.
    void stopHeartbeats();
    /// Sends one heartbeat. \returns its status, zero if there was no response.
    int sendHeartbeat(const std::string& state, std::uint64_t sequence);
    /// Tells that this server leaves. \returns the status, zero if there was no response.
    int deregister();
    std::uint64_t nextSequence() { return ++m_sequence; }
    std::vector<Run> runs() const;

private:
    /// One start of a server.
    struct Start {
        ServerSettings settings;
        std::uint64_t born = 0;
        std::atomic<bool> silent = false;
        std::atomic<bool> crashed = false;
        std::atomic<int> running = 0;
    };

    void accept(int listener, const std::shared_ptr<Start>& start);
    void serve(const std::shared_ptr<Connection>& connection, const std::shared_ptr<Start>& start);
    bool answer(Connection& connection, const Message& message, Start& start);
    void work(Connection& connection, const Message& message, Start& start);
    void beat(const std::shared_ptr<Start>& start);
    int tell(const std::string& path, const std::string& body);

    Record& m_record;
    std::string m_ip;
    Ports m_ports;
    std::shared_ptr<Start> m_start;
    std::atomic<int> m_listener = -1;
    std::atomic<bool> m_pausesAccepting = false;
    std::atomic<bool> m_beats = false;
    std::atomic<bool> m_ended = false;
    std::atomic<std::uint64_t> m_sequence = 0;
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::vector<std::shared_ptr<Connection>> m_kept; ///< Open until the end of the test.
    std::vector<std::thread> m_threads;
};

/// Arguments and surroundings of a script's program.
struct Script {
    bool trouble = true;
    std::string folder; ///< Temporary folder.
    std::string recordPath;
};

/// \returns the arguments: FOLDER RECORD; TROUBLE=0 in the environment leaves the disruption out.
Script readArguments(int argc, char** argv);

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

} // namespace rig
