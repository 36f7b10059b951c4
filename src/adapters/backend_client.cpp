#include "adapters/backend_client.h"

#include "adapters/backend_connection.h"
#include "config.h"
#include "core/header_rules.h"

#include <algorithm>
#include <array>
#include <ranges>
#include <utility>

namespace pw {
namespace {

    constexpr Refusal whole { Verdict::Ran, Reason::None, {} };
    constexpr Refusal notStarted { Verdict::NotRun, Reason::Unreachable, {} };
    constexpr Refusal brokenOff { Verdict::MayHaveRun, Reason::BackendFailed, {} };
    constexpr Refusal crashed { Verdict::MayHaveRun, Reason::BackendCrashed, {} };
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

namespace detail {

    /// A connection attempt that tells whether the backend server still accepts connections.
    class CrashCheck final : public StreamUser {
    public:
        CrashCheck(BackendClient& client, const SocketAddress& address)
            : m_client(client)
            , m_stream(client.m_loop, *this)
        {
            m_failed = !m_stream.dial(address);
        }

        /// \returns whether the attempt failed at once.
        bool failed() const { return m_failed; }

        void streamConnected() override { decide(false); }
        void streamReadable() override { }
        void streamEnded(StreamEnd end) override { decide(end == StreamEnd::NotConnected); }

    private:
        void decide(bool refused)
        {
            if (m_client.m_crashCheck.get() == this) {
                m_client.onCrashChecked(refused);
            }
        }

        BackendClient& m_client;
        TcpStream m_stream;
        bool m_failed = false;
    };

} // namespace detail

struct BackendClient::Running {
    ConnectionPtr connection;
    Done done;
    TimerId timeout = 0;
    TimerId connectTimeout = 0;
    bool connectionWasNew = false;
    bool isProbe = false;
    bool isBroken = false;
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
    m_timers.cancel(m_unusedTimer);
    m_timers.cancel(m_releaseTimer);
    m_timers.cancel(m_crashTimer);
}

bool BackendClient::setAddress(const std::string& address)
{
    if (address == m_authority) {
        return true;
    }
    detail::SocketAddress parsed;
    std::string host;
    std::uint16_t port = 0;
    if (!detail::parseAddress(address, parsed) || !detail::splitAddress(address, host, port)) {
        return false;
    }
    m_authority = address;
    m_address = parsed;
    onServerStarted();
    return true;
}

void BackendClient::onServerStarted()
{
    m_openedAtStart = m_opened;
    closeIdle();
    for (const auto& [id, running] : m_running) {
        if (!running->connection->sent()) {
            running->connection->abandon();
            m_timers.cancel(running->connectTimeout);
            running->connectTimeout = m_timers.after(Duration::zero(), [this, id = id] { fail(id, notStarted, "the server was replaced", false); });
        }
    }
}

void BackendClient::closeIdle()
{
    std::ranges::for_each(std::exchange(m_idle, {}), [this](auto& it) { release(std::move(it)); });
}

BackendClient::ConnectionPtr BackendClient::acquireConnection(const HttpRequest& request, bool repeatable, bool isProbe)
{
    const auto now = m_timers.now();
    while (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        const auto trusted = !isProbe || connection->number() > m_openedAtLoss;
        if (trusted && connection->usable(request, now, repeatable)) {
            return connection;
        }
        release(std::move(connection));
    }
    return nullptr;
}

std::uint64_t BackendClient::start(HttpRequest request, Duration timeout, bool repeatable, Done done)
{
    return startExchange(std::move(request), timeout, repeatable, false, std::move(done));
}

std::uint64_t BackendClient::probe(HttpRequest request, Duration timeout, Done done)
{
    if (countHeader(request.headers, "Host") == 0) {
        request.headers.insert(request.headers.begin(), { "Host", m_authority });
    }
    return startExchange(std::move(request), timeout, true, true, std::move(done));
}

std::uint64_t BackendClient::startExchange(HttpRequest request, Duration timeout, bool repeatable, bool isProbe, Done done)
{
    const auto id = ++m_lastId;
    if (m_running.empty() && !m_timedOut) {
        m_silentSince = m_timers.now();
    }
    auto running = std::make_unique<Running>();
    running->done = std::move(done);
    running->isProbe = isProbe;
    running->connection = acquireConnection(request, repeatable, isProbe);
    running->connectionWasNew = !running->connection;
    running->timeout = m_timers.after(timeout, [this, id] { onTimeout(id, "response timed out"); });
    auto& connection = running->connection;
    if (!connection) {
        connection = std::make_unique<detail::BackendConnection>(*this, ++m_opened);
        connection->start(id, std::move(request), isProbe);
        connection->dial(m_address);
        running->connectTimeout = m_timers.after(std::min<Duration>(timeout, config::backendConnectTimeout), [this, id] {
            const auto it = m_running.find(id);
            if (it != m_running.end() && !it->second->connection->connected()) {
                onTimeout(id, "connection timed out");
            }
        });
    } else {
        connection->start(id, std::move(request), isProbe);
    }
    m_running.emplace(id, std::move(running));
    return id;
}

void BackendClient::onTimeout(std::uint64_t id, std::string_view detail)
{
    const auto it = m_running.find(id);
    if (it == m_running.end()) {
        return;
    }
    const auto sent = it->second->connection->sent();
    m_timedOut = true;
    if (isSilent()) {
        reportLost();
    }
    fail(id, sent ? timedOut : notStarted, detail, sent);
}

void BackendClient::onHeard()
{
    m_respondedAt = m_timers.now();
    m_silentSince = m_respondedAt;
    m_timedOut = false;
}

/// Notes that the incomplete response on \p connection has \p bytes.
void BackendClient::onBuffered(detail::BackendConnection& connection, std::size_t bytes)
{
    m_bufferedBytes = m_bufferedBytes - connection.bufferedBytes() + bytes;
    connection.setBufferedBytes(bytes);
    limitReading();
}

/// Keeps the memory for incomplete responses bounded. Small ones are read on, and the oldest large one, which ends by its
/// completion, size limit or deadline.
void BackendClient::limitReading()
{
    const auto limits = m_bufferedBytes > config::maxBufferedAnswerBytes;
    if (!std::exchange(m_limitsReading, limits) && !limits) {
        return;
    }
    const auto isLarge = [](const auto& it) { return !it.second->isBroken && it.second->connection->bufferedBytes() >= config::smallAnswerBytes; };
    auto oldest = m_lastId;
    std::ranges::for_each(m_running | std::views::filter(isLarge), [&oldest](const auto& it) { oldest = std::min(oldest, it.first); });
    std::ranges::for_each(m_running, [&](const auto& it) { it.second->connection->pauseReading(limits && isLarge(it) && it.first != oldest); });
}

bool BackendClient::isSilent() const
{
    return m_timers.now() - m_silentSince >= config::backendSilence;
}

/// Reports a connection that the backend server has ended, unless another one shows that the server has not restarted: a
/// server whose process ends loses all its connections. Otherwise servers that reset single connections would be probed,
/// and limited until the answer, at each of them.
void BackendClient::onConnectionEnded(const detail::BackendConnection* ended)
{
    if (!hasOpenConnection(ended) || m_timers.now() - m_respondedAt >= config::backendResponsive) {
        reportLost();
    }
}

bool BackendClient::hasOpenConnection(const detail::BackendConnection* except) const
{
    const auto isOpen = [except](const detail::BackendConnection& it) { return &it != except && it.connected(); };
    return std::ranges::any_of(m_running, [&](const auto& it) { return !it.second->isBroken && isOpen(*it.second->connection); })
        || std::ranges::any_of(m_idle, [&](const ConnectionPtr& it) { return isOpen(*it); });
}

/// Handles the end of a connection before the response of exchange \p id was complete.
void BackendClient::onBroken(std::uint64_t id, std::string_view detail)
{
    const auto it = m_running.find(id);
    if (it == m_running.end()) {
        return;
    }
    if (!m_detectCrashes || it->second->isProbe) {
        fail(id, brokenOff, detail, true);
        return;
    }
    it->second->isBroken = true;
    m_timers.cancel(std::exchange(it->second->timeout, 0));
    m_broken.push_back({ id, std::string(detail) });
    if (!m_crashTimer && !m_crashCheck) {
        m_crashTimer = m_timers.after(config::crashSettleTime, [this] {
            m_crashTimer = 0;
            checkForCrash();
        });
    }
}

void BackendClient::checkForCrash()
{
    m_endedCrashCheck.reset();
    if (hasOpenConnection(nullptr)) {
        onCrashChecked(false);
        return;
    }
    m_crashCheck = std::make_unique<detail::CrashCheck>(*this, m_address);
    const auto delay = m_crashCheck->failed() ? Duration::zero() : Duration(config::crashCheckTimeout);
    m_crashTimer = m_timers.after(delay, [this, failed = m_crashCheck->failed()] {
        m_crashTimer = 0;
        onCrashChecked(failed);
    });
}

/// \param refused whether the backend server refuses connections.
void BackendClient::onCrashChecked(bool refused)
{
    m_timers.cancel(std::exchange(m_crashTimer, 0));
    // Destroyed outside of its own callback.
    m_endedCrashCheck = std::move(m_crashCheck);
    const auto broken = std::exchange(m_broken, {});
    std::ranges::for_each(broken, [&](const Broken& it) { fail(it.id, refused ? crashed : brokenOff, it.detail, true); });
}

void BackendClient::reportLost()
{
    m_openedAtLoss = m_opened;
    if (m_connectionLost) {
        m_connectionLost();
    }
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
    if (running.isProbe) {
        result.health = m_protocol.healthReport(answer);
    } else if (meaning == AnswerKind::Complete || meaning == AnswerKind::NotRun) {
        result.statement = m_protocol.statement(answer);
    }
    if (result.refusal.reason == Reason::None) {
        m_protocol.strip(answer);
        result.response = std::move(answer);
    }
    onBuffered(*running.connection, 0);
    if (reusable && running.connection->number() > m_openedAtStart) {
        running.connection->setIdleSince(m_timers.now());
        m_idle.push_back(std::move(running.connection));
        closeUnused();
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

bool BackendClient::closeIdleConnection(detail::BackendConnection* connection)
{
    const auto it = std::ranges::find(m_idle, connection, &ConnectionPtr::get);
    if (it == m_idle.end()) {
        return false;
    }
    auto dropped = std::move(*it);
    m_idle.erase(it);
    release(std::move(dropped));
    return true;
}

void BackendClient::setCloseUnused(bool enabled)
{
    m_closeUnused = enabled;
    closeUnused();
}

/// Closes the idle connections that are too old to be reused, and reschedules itself for the others.
void BackendClient::closeUnused()
{
    if (!m_closeUnused || m_unusedTimer || m_idle.empty()) {
        return;
    }
    const auto now = m_timers.now();
    std::vector<ConnectionPtr> kept;
    for (auto& it : m_idle) {
        it->unusedAt() <= now ? release(std::move(it)) : kept.push_back(std::move(it));
    }
    m_idle = std::move(kept);
    const auto first = std::ranges::min_element(m_idle, {}, [](const ConnectionPtr& it) { return it->unusedAt(); });
    if (first != m_idle.end()) {
        m_unusedTimer = m_timers.after((*first)->unusedAt() - now, [this] {
            m_unusedTimer = 0;
            closeUnused();
        });
    }
}

void BackendClient::release(ConnectionPtr connection)
{
    onBuffered(*connection, 0);
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
