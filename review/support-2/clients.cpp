#include "clients.h"

#include <algorithm>
#include <cstdlib>

namespace rig {

Headers clientHeaders(const std::string& host, const std::string& id, Milliseconds deadline, const std::string& key)
{
    return { { "Host", host }, { "Pistachiowheel-Request-Id", id }, { "Pistachiowheel-Deadline-Ms", std::to_string(deadline.count()) },
        { "Authorization", "Bearer " + key } };
}

Clients::Clients(Record& record, Load load, std::string name)
    : m_record(record)
    , m_load(std::move(load))
    , m_name(std::move(name))
{
    for (int n = 0; n < m_load.clients; ++n) {
        m_threads.emplace_back([this, n] { run(n); });
    }
}

Clients::~Clients()
{
    stop();
}

void Clients::stop()
{
    m_stopped = true;
    std::ranges::for_each(m_threads, [](std::thread& it) {
        if (it.joinable()) {
            it.join();
        }
    });
}

std::size_t Clients::answered(int status) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_answers.find(status);
    return it == m_answers.end() ? 0 : it->second;
}

void Clients::run(int number)
{
    std::unique_ptr<Connection> connection;
    sleepFor(m_load.pause * number / m_load.clients);
    for (int n = 0; !m_stopped; ++n) {
        const auto id = m_name + "-" + std::to_string(number) + "-" + std::to_string(n);
        if (!connection) {
            connection = Connection::dial(m_load.ip, m_load.port, Milliseconds(1000));
        }
        const auto bytes = request(m_load.method, m_load.path + id, clientHeaders(m_load.host, id, m_load.deadline, m_load.key), "");
        if (!connection || !connection->send(bytes)) {
            connection.reset();
            sleepFor(Milliseconds(100));
            continue;
        }
        m_record.line("client sends request " + id);
        const auto reply = connection->read(m_load.deadline);
        const auto status = reply ? reply->status() : 0;
        m_record.line("client of request " + id + " gets " + std::to_string(status));
        {
            const std::lock_guard lock(m_mutex);
            ++m_answers[status];
        }
        if (!reply || reply->header("Connection") == "close") {
            connection.reset();
        }
        const auto retryAfter = reply ? Milliseconds(static_cast<int>(1000 * std::atof(reply->header("Retry-After").c_str()))) : Milliseconds(0);
        sleepFor(std::max(m_load.pause, retryAfter));
    }
}

} // namespace rig
