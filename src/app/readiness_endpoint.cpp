#include "app/readiness_endpoint.h"

#include "adapters/http_status.h"

#include <utility>

namespace pw {

ReadinessEndpoint::ReadinessEndpoint(StreamLoop& loop, Timers& timers, std::function<bool()> isReady)
    : m_isReady(std::move(isReady))
    , m_http(loop, timers, [this](const std::shared_ptr<HttpExchange>& exchange) {
        const auto ready = m_isReady();
        exchange->reply({ ready ? http_status::ok : http_status::unavailable, {}, ready ? "ready\n" : "not ready\n" });
    })
{
}

MetricsEndpoint::MetricsEndpoint(StreamLoop& loop, Timers& timers, std::function<std::string()> render)
    : m_render(std::move(render))
    , m_http(loop, timers, [this](const std::shared_ptr<HttpExchange>& exchange) {
        exchange->reply({ http_status::ok, { { "Content-Type", "text/plain; version=0.0.4" } }, m_render() });
    })
{
}

} // namespace pw
