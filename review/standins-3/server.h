#pragma once

#include "deployment.h"

#include <atomic>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>

namespace review {

/// A run of a request at a server.
struct Run {
    double at = 0;
    std::string id;
    std::string instance;
    std::string target;
    std::string callerService;
};

/// A sound server beside a sidecar, as the pages describe it: it works on each request for a time, drops it when its connection
/// closes, and sends heartbeats.
class Server {
public:
    Server(Record& record, const Machine& machine, std::string instance, int slots, double workSeconds);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    bool start();
    /// Multiplies the work of requests that start from now on.
    void setSlowness(double factor) { m_slowness = factor; }
    /// Draws the work of each request from a distribution with this spread around the mean, 3 s at most.
    void setSpread(double sigma) { m_spread = sigma; }
    /// Gives requests whose target ends with \p suffix work of their own.
    void setWork(const std::string& suffix, double seconds);
    /// Ends at once, as after a crash: its connections are reset and its address refuses new ones.
    void crash();
    /// Starts again as a new incarnation under the id \p instance.
    bool restart(const std::string& instance);
    /// Says `draining` in its next heartbeats. \returns the time at which one of them was acknowledged, or 0.
    double drain();
    std::vector<Run> runs() const;
    /// \returns a heartbeat of this server as it would send it now.
    std::string beatBody(const std::string& state);
    /// Sends \p body to the daemon beside this server. \returns the status.
    int post(const std::string& verb, const std::string& body);

private:
    void stop(bool isCrash);
    void accept();
    void serve(int fd);
    double drawWork(const std::string& target);
    Message answerTo(const Message& request, Connection& connection);
    void beat();

    Record& m_record;
    Machine m_machine;
    std::string m_instance;
    int m_slots;
    double m_work;
    std::uint64_t m_born;
    std::atomic<double> m_slowness = 1;
    std::atomic<double> m_spread = 0;
    std::atomic<int> m_running = 0;
    std::atomic<int> m_sequence = 0;
    std::atomic<bool> m_draining = false;
    std::atomic<double> m_drainAcknowledged = 0;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_listener = -1;
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::mt19937 m_random { 1 };
    std::map<std::string, double> m_workBySuffix;
    std::set<int> m_open; ///< Connections.
    std::thread m_acceptor;
    std::thread m_beater;
    std::list<std::thread> m_connections;
};

} // namespace review
