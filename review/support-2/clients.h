#pragma once

#include "rig.h"

#include <set>

namespace rig {

/// What the clients of one VM send.
struct Load {
    std::string ip; ///< Of the daemon on their VM.
    int port = 0;
    std::string host;
    std::string method = "GET";
    std::string path; ///< A number is appended.
    std::string key;
    Milliseconds deadline { 6000 };
    Milliseconds pause { 0 }; ///< Between an answer and the next request. The clients begin spread over this time.
    int clients = 1;
};

/// Clients that send one request after the other, each on a kept connection. They do as PROTOCOL.md says: wait as told by
/// Retry-After, and open a new connection after a failure. Each request has its own id.
class Clients {
public:
    Clients(Record& record, Load load, std::string name);
    ~Clients();

    void stop();
    /// \returns how many requests were answered with \p status; zero counts those without an answer.
    std::size_t answered(int status) const;

private:
    void run(int number);

    Record& m_record;
    Load m_load;
    std::string m_name;
    std::atomic<bool> m_stopped = false;
    mutable std::mutex m_mutex;
    std::map<int, std::size_t> m_answers;
    std::vector<std::thread> m_threads;
};

/// Headers of a client's request.
Headers clientHeaders(const std::string& host, const std::string& id, Milliseconds deadline, const std::string& key);

} // namespace rig
