#include "traffic.h"

namespace review {

std::string configuration(int version, const std::vector<RouteText>& routes, std::uint64_t maxBodyBytes)
{
    std::string routesText;
    std::map<std::string, bool> services;
    for (const auto& it : routes) {
        routesText += (routesText.empty() ? "" : ",") + ("\"" + it.name) + R"(":{"host":")" + host + R"(","path_prefix":")" + it.prefix + R"(","kind":")" + it.kind
            + R"(","timeout_s":)" + std::to_string(it.timeout) + R"(,"target_latency_s":3,"priority":2,"service":")" + it.service
            + R"(","max_attempts":2,"public":false})";
        services[it.service] = true;
    }
    std::string servicesText;
    for (const auto& [name, used] : services) {
        servicesText += (servicesText.empty() ? "" : ",") + ("\"" + name) + R"(":{"health_path":"/healthz","max_connections":622,"protocol":"h1","tls":false})";
    }
    return R"({"config_version":)" + std::to_string(version) + R"(,"routes":{)" + routesText + R"(},"services":{)" + servicesText
        + R"(},"limits":{"max_header_bytes":16384,"max_body_bytes":)" + std::to_string(maxBodyBytes)
        + R"(,"header_timeout_s":3,"idle_timeout_s":15},"tenants":{"shops":{"api_keys":[")" + key + R"("],"priority":1}}})";
}

std::string newId(const std::string& prefix)
{
    static std::atomic<int> last = 0;
    return prefix + "-" + std::to_string(++last);
}

std::string clientRequest(const std::string& method, const std::string& target, const std::string& id, int deadlineMs, const std::string& body)
{
    return render(method, target,
        { { "Host", host }, { "Pistachiowheel-Request-Id", id }, { "Pistachiowheel-Deadline-Ms", std::to_string(deadlineMs) },
            { "Authorization", std::string("Bearer ") + key } },
        body);
}

void Attempts::add(const Attempt& attempt)
{
    const std::scoped_lock lock(m_mutex);
    m_attempts.push_back(attempt);
}

std::vector<Attempt> Attempts::all() const
{
    const std::scoped_lock lock(m_mutex);
    return m_attempts;
}

void keepAsking(Record& record, Attempts& attempts, const Address& outbound, const std::string& name, const std::string& target, double pause,
    const std::atomic<bool>& stop)
{
    Connection connection;
    bool served = false;
    while (!stop) {
        if (!connection.isOpen()) {
            served = false;
            if (!connection.dial(outbound, now() + 1)) {
                sleepUntil(now() + 0.2);
                continue;
            }
        }
        Attempt attempt { newId(name), now(), 0, 0, false, served };
        record.line("client sends " + attempt.id + " GET " + target);
        connection.send(clientRequest("GET", target, attempt.id, 6000));
        const auto answer = connection.read(now() + 6);
        attempt.endedAt = now();
        attempt.status = answer ? answer->status : 0;
        attempt.left = !answer && connection.timedOut();
        record.line("client of " + attempt.id + (answer ? " is answered " + std::to_string(answer->status) : attempt.left ? " leaves"
                                                                                                                          : " SEES ITS CONNECTION CLOSED"));
        attempts.add(attempt);
        served = answer.has_value();
        if (!answer || answer->header("Connection") == "close") {
            connection.close();
        }
        sleepUntil(now() + pause);
    }
}

} // namespace review
