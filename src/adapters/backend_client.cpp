#include "adapters/backend_client.h"

#include "adapters/backend_connection.h"
#include "config.h"

#include <algorithm>
#include <array>
#include <utility>

namespace pw {
namespace {

    constexpr Refusal whole { Verdict::Ran, Reason::None, {} };
    constexpr Refusal notStarted { Verdict::NotRun, Reason::Unreachable, {} };
    constexpr Refusal timedOut { Verdict::MayHaveRun, Reason::DeadlineExceeded, {} };

    /// Indexed by AnswerKind.
    constexpr std::array<Refusal, static_cast<std::size_t>(AnswerKind::Count)> refusals { {
        whole,
        { Verdict::NotRun, Reason::BackendRefused, {} },
        { Verdict::NotRun, Reason::WrongServer, {} },
        {},
        {},
    } };

} // namespace

struct BackendClient::Running {
    ConnectionPtr connection;
    Done done;
    TimerId timeout = 0;
    TimerId connectTimeout = 0;
    bool connectionWasNew = false;
};

BackendClient::BackendClient(StreamLoop& loop, Timers& timers, const BackendProtocol& protocol)
    : m_loop(loop)
    , m_timers(timers)
    , m_protocol(protocol)
{
}

BackendClient::~BackendClient()
{
    std::ranges::for_each(m_running, [this](auto& it) {
        m_timers.cancel(it.second->timeout);
        m_timers.cancel(it.second->connectTimeout);
    });
    m_timers.cancel(m_releaseTimer);
}

bool BackendClient::setAddress(const std::string& address)
{
    if (address == m_authority) {
        return true;
    }
    detail::SocketAddress parsed;
    if (!detail::parseAddress(address, parsed)) {
        return false;
    }
    m_authority = address;
    m_address = parsed;
    closeIdle();
    return true;
}

void BackendClient::closeIdle()
{
    std::ranges::for_each(std::exchange(m_idle, {}), [this](auto& it) { release(std::move(it)); });
}

BackendClient::ConnectionPtr BackendClient::acquireConnection(const HttpRequest& request, bool repeatable)
{
    const auto now = m_timers.now();
    while (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (connection->usable(request, now, repeatable)) {
            return connection;
        }
        release(std::move(connection));
    }
    return nullptr;
}

std::uint64_t BackendClient::start(const HttpRequest& request, Duration timeout, bool repeatable, Done done)
{
    const auto id = ++m_lastId;
    auto running = std::make_unique<Running>();
    running->done = std::move(done);
    running->connection = acquireConnection(request, repeatable);
    running->connectionWasNew = !running->connection;
    running->timeout = m_timers.after(timeout, [this, id] {
        const auto it = m_running.find(id);
        const auto sent = it != m_running.end() && it->second->connection->sent();
        fail(id, sent ? timedOut : notStarted, "response timed out", sent);
    });
    auto& connection = running->connection;
    if (!connection) {
        ++m_opened;
        connection = std::make_unique<detail::BackendConnection>(*this);
        connection->start(id, request);
        connection->dial(m_address);
        running->connectTimeout = m_timers.after(std::min<Duration>(timeout, config::backendConnectTimeout), [this, id] {
            const auto it = m_running.find(id);
            if (it != m_running.end() && !it->second->connection->connected()) {
                fail(id, notStarted, "connection timed out", false);
            }
        });
    } else {
        connection->start(id, request);
    }
    m_running.emplace(id, std::move(running));
    return id;
}

void BackendClient::cancel(std::uint64_t id)
{
    auto node = m_running.extract(id);
    if (!node.empty()) {
        m_timers.cancel(node.mapped()->timeout);
        m_timers.cancel(node.mapped()->connectTimeout);
        release(std::move(node.mapped()->connection));
    }
}

void BackendClient::finish(std::uint64_t id, AnswerKind meaning, HttpResponse answer, bool reusable)
{
    auto node = m_running.extract(id);
    auto& running = *node.mapped();
    m_timers.cancel(running.timeout);
    m_timers.cancel(running.connectTimeout);
    BackendResult result;
    result.refusal = refusals.at(static_cast<std::size_t>(meaning));
    result.sent = true;
    result.connectionWasNew = running.connectionWasNew;
    if (meaning == AnswerKind::Complete || meaning == AnswerKind::NotRun) {
        result.statement = m_protocol.statement(answer);
    }
    if (result.refusal.reason == Reason::None) {
        m_protocol.strip(answer);
        result.response = std::move(answer);
    }
    if (reusable) {
        running.connection->setIdleSince(m_timers.now());
        m_idle.push_back(std::move(running.connection));
    } else {
        release(std::move(running.connection));
    }
    running.done(std::move(result));
}

void BackendClient::fail(std::uint64_t id, const Refusal& refusal, std::string_view detail, bool sent)
{
    auto node = m_running.extract(id);
    if (node.empty()) {
        return;
    }
    auto& running = *node.mapped();
    m_timers.cancel(running.timeout);
    m_timers.cancel(running.connectTimeout);
    release(std::move(running.connection));
    BackendResult result;
    result.refusal = refusal;
    result.detail = detail;
    result.sent = sent;
    result.connectionWasNew = running.connectionWasNew;
    running.done(std::move(result));
}

void BackendClient::closeIdleConnection(detail::BackendConnection* connection)
{
    const auto it = std::ranges::find(m_idle, connection, &ConnectionPtr::get);
    if (it != m_idle.end()) {
        auto dropped = std::move(*it);
        m_idle.erase(it);
        release(std::move(dropped));
    }
}

void BackendClient::release(ConnectionPtr connection)
{
    connection->abandon();
    m_released.push_back(std::move(connection));
    if (!m_releaseTimer) {
        m_releaseTimer = m_timers.after(Duration::zero(), [this] {
            m_releaseTimer = 0;
            m_released.clear();
        });
    }
}

} // namespace pw
