#pragma once

#include "support/raw_http.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace pw::test {

/// Backend server that sends whatever a script says, for answers that no HTTP library would send.
class RawServer {
public:
    /// Serves one connection until it returns. \param number of the connection, from zero.
    using Script = std::function<void(const RawConnection& connection, std::size_t number)>;

    RawServer(std::string address, Script script);
    ~RawServer();
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    /// Announces the server to the daemon whose backend-side address is \p daemon, again and again.
    void announceTo(const std::string& daemon, const std::string& service, std::size_t slots = 40);

    const std::string& address() const { return m_address; }
    /// \returns whether scripts should end.
    bool stopping() const { return m_stopping; }

private:
    void acceptAll();

    std::string m_address;
    Script m_script;
    int m_listener;
    std::atomic<bool> m_stopping = false;
    std::vector<std::thread> m_connections; ///< Of the accepting thread alone while it runs.
    std::thread m_accepting;
    std::thread m_announcing;
};

} // namespace pw::test
