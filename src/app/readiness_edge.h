#pragma once

#include "adapters/http_server.h"

#include <functional>
#include <string>

namespace pw {

/// Says over HTTP whether callers should come to this daemon: 200 to every GET while they should, 503 otherwise.
class ReadinessEdge {
public:
    ReadinessEdge(StreamLoop& loop, Timers& timers, std::function<bool()> isReady);

    /// \param reason receives what went wrong when false is returned.
    bool init(const std::string& address, std::string& reason) { return m_http.init(address, reason); }

private:
    std::function<bool()> m_isReady;
    HttpServer m_http;
};

/// Serves the metrics of a daemon over HTTP.
class MetricsEdge {
public:
    MetricsEdge(StreamLoop& loop, Timers& timers, std::function<std::string()> render);

    /// \param reason receives what went wrong when false is returned.
    bool init(const std::string& address, std::string& reason) { return m_http.init(address, reason); }

private:
    std::function<std::string()> m_render;
    HttpServer m_http;
};

} // namespace pw
