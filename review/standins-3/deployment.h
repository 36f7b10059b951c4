#pragma once

#include "http.h"
#include "record.h"

#include <sys/types.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// A machine with one process of the system.
struct Machine {
    std::string name;
    std::string kind; ///< Class of the deploy file.
    std::string ip;
    std::string service; ///< Of the server on a sidecar.
    pid_t pid = -1;
    int exits = 0; ///< Ends of the process that nobody asked for.
    int kills = 0; ///< Times that the platform killed the process because it used more memory than its class has.

    Address outbound() const { return { ip, 8548 }; }
    Address control() const { return { ip, 8540 }; }
    Address ready() const { return { ip, 8546 }; }
    Address app() const { return { ip, 8547 }; }
};

/// Plays the platform: starts the commands of the deploy file with the settings that its templates give, three core machines and
/// one sidecar for each service in the list, and starts a process again that ends by itself.
class Deployment {
public:
    /// \param folder for settings, data and logs.
    Deployment(Record& record, std::string folder, const std::vector<std::string>& services);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    /// \returns whether all processes were started.
    bool start();
    /// Waits until all sidecars say that they are ready.
    bool waitUntilReady(double until);
    /// Sends \p signal to the process of \p machine.
    void signal(Machine& machine, int signal);
    /// Sends \p body as the operator until it is acknowledged or refused. \returns the last status, 0 without an answer.
    int replaceConfiguration(const std::string& body, int base, double until);
    /// \returns the configuration that one of the core machines reads back.
    std::string readConfiguration(double until);

    std::vector<Machine> cores;
    std::vector<Machine> sidecars;

private:
    bool spawn(Machine& machine);
    void limitMemory(Machine& machine);
    void watch();
    std::string settings(const Machine& machine, const std::string& text) const;

    Record& m_record;
    std::string m_folder;
    std::mutex m_mutex;
    std::atomic<bool> m_stopping = false;
    std::thread m_watcher;
};

} // namespace review
