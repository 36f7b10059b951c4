#pragma once

#include "adapters/http_server.h"

#include <functional>
#include <string>

namespace pw {

/// Readiness check over HTTP: replies 200 to every GET while this daemon accepts callers, 503 otherwise.
class ReadinessEndpoint {
public:
    ReadinessEndpoint(StreamLoop& loop, Timers& timers, std::function<bool()> isReady);

    /// Starts listening on \p address.
    /// \param reason receives the error message when false is returned.
    bool init(const std::string& address, std::string& reason) { return m_http.init(address, reason); }

private:
    std::function<bool()> m_isReady;
    HttpServer m_http;
};

/// Serves the metrics of a daemon over HTTP.
class MetricsEndpoint {
public:
    MetricsEndpoint(StreamLoop& loop, Timers& timers, std::function<std::string()> render);

    /// Starts listening on \p address.
    /// \param reason receives the error message when false is returned.
    bool init(const std::string& address, std::string& reason) { return m_http.init(address, reason); }

private:
    std::function<std::string()> m_render;
    HttpServer m_http;
};

} // namespace pw
