#pragma once

#include "deployment.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/// One client attempt.
struct Attempt {
    std::string id;
    double sentAt = 0;
    double endedAt = 0;
    int status = 0; ///< Zero without a whole answer.
    bool left = false; ///< The client closed its connection before the answer.
    bool onKeptConnection = false; ///< The connection had served a request before.
};

/// A route of a configuration.
struct RouteText {
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
    double timeout = 6;
};

inline constexpr auto host = "shop.example";
inline constexpr auto key = "6wsjnbanfqasnmgkcuyj";

/// \returns a configuration with one tenant, whose key is review::key, without a quota.
std::string configuration(int version, const std::vector<RouteText>& routes, std::uint64_t maxBodyBytes);

/// \returns a new request id.
std::string newId(const std::string& prefix);

/// \returns the bytes of a client's request on review::host.
std::string clientRequest(const std::string& method, const std::string& target, const std::string& id, int deadlineMs, const std::string& body = "");

/// The attempts of all clients.
class Attempts {
public:
    void add(const Attempt& attempt);
    std::vector<Attempt> all() const;

private:
    mutable std::mutex m_mutex;
    std::vector<Attempt> m_attempts;
};

/// Sends requests one after the other on a kept connection until \p stop, as a sound client; dials again when it was closed.
void keepAsking(Record& record, Attempts& attempts, const Address& outbound, const std::string& name, const std::string& target, double pause,
    const std::atomic<bool>& stop);

} // namespace review
