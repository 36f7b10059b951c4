#include "announcer.h"

#include "support/http_names.h"

namespace pw::standin {
namespace {

    constexpr std::chrono::milliseconds announceInterval { 1000 };
    constexpr std::chrono::milliseconds announceTimeout { 900 };

} // namespace

Announcer::Announcer(event_base* base, const Options& options)
    : m_options(options)
    , m_daemon(base, options.daemon.value())
    , m_ticker(base, announceInterval, [this] { announce(); })
{
    announce();
}

void Announcer::leave()
{
    m_leaving = true;
    support::HttpRequest request;
    request.method = "POST";
    request.target = std::string(support::http::leavePath) + "?service=" + m_options.service + "&address=" + m_options.listen.text();
    m_daemon.send(request, announceTimeout, [](const support::HttpResult&) {});
}

void Announcer::join()
{
    m_leaving = false;
    announce();
}

void Announcer::announce()
{
    if (m_leaving || m_silent) {
        return;
    }
    support::HttpRequest request;
    request.method = "POST";
    request.target = std::string(support::http::announcePath) + "?service=" + m_options.service + "&address=" + m_options.listen.text()
        + "&slots=" + std::to_string(m_options.slots) + "&connections=" + std::to_string(m_options.connections);
    m_daemon.send(request, announceTimeout, [this](const support::HttpResult& result) {
        if (result.whole && result.status / 100 == 2) {
            ++m_accepted;
        }
    });
}

} // namespace pw::standin
