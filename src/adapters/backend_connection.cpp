#include "adapters/backend_connection.h"

#include "adapters/http_status.h"
#include "config.h"
#include "core/header_rules.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace pw::detail {
namespace {

    constexpr Refusal neverConnected { Verdict::NotRun, Reason::Unreachable, {} };
    constexpr Refusal brokenOff { Verdict::MayHaveRun, Reason::BackendFailed, {} };

    constexpr HttpSizeLimits answerLimits { config::maxHeaderBytes, config::maxAnswerBytes };

    std::string render(const HttpRequest& request)
    {
        std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
        for (const auto& it : request.headers) {
            text += it.name;
            text += ": ";
            text += it.value;
            text += "\r\n";
        }
        if (!request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH") {
            text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
        }
        text += "\r\n";
        return text + request.body;
    }

    /// \returns the "timeout" parameter of a Keep-Alive header.
    std::optional<Duration> keepAliveOf(const HttpResponse& answer)
    {
        const auto value = singleHeader(answer.headers, "Keep-Alive");
        constexpr std::string_view name = "timeout=";
        const auto at = value ? value->find(name) : std::string_view::npos;
        if (at == std::string_view::npos) {
            return std::nullopt;
        }
        unsigned seconds = 0;
        const auto* begin = value->data() + at + name.size();
        const auto [end, ec] = std::from_chars(begin, value->data() + value->size(), seconds);
        return ec == std::errc() ? std::optional<Duration>(std::chrono::seconds(seconds)) : std::nullopt;
    }

} // namespace

BackendConnection::BackendConnection(BackendClient& client, std::uint64_t number)
    : m_client(client)
    , m_number(number)
    , m_stream(client.m_loop, *this)
    , m_reader(answerLimits)
{
}

void BackendConnection::dial(const SocketAddress& address)
{
    if (!m_stream.dial(address)) {
        // Report asynchronously, like every other failure.
        m_client.m_timers.after(Duration::zero(), [&client = m_client, id = m_exchange] {
            client.reportLost();
            client.fail(id, neverConnected, "cannot connect", false);
        });
    }
}

void BackendConnection::start(std::uint64_t exchange, HttpRequest request, bool isProbe)
{
    m_exchange = exchange;
    m_isProbe = isProbe;
    m_sent = m_stream.connected();
    m_sawStrayResponse = false;
    m_interimResponses = 0;
    const auto bytes = render(request);
    // A long request may fill the window of a server that is slow to read it; its deadline bounds it then.
    m_stream.setUnacknowledgedTimeout(bytes.size() <= config::shortRequestBytes ? config::backendUnacknowledgedTimeout : std::chrono::milliseconds(0));
    m_stream.write(bytes);
    m_request = std::move(request);
    m_request.body = {};
    m_reader.begin(m_request.method == "HEAD");
}

void BackendConnection::abandon()
{
    m_exchange = 0;
    m_stream.close();
}

void BackendConnection::streamConnected()
{
    m_sent = m_exchange != 0;
}

void BackendConnection::streamReadable()
{
    if (!m_exchange) {
        // Unsolicited bytes, possibly a duplicate response to an earlier request.
        m_client.closeIdleConnection(this);
        return;
    }
    readResponse();
}

void BackendConnection::readResponse()
{
    m_client.onHeard();
    while (m_exchange && !m_stream.input().empty()) {
        m_stream.consume(m_reader.take(m_stream.input()));
        if (m_reader.fault() != HttpFault::None) {
            fail("answer cannot be read");
            return;
        }
        if (!m_reader.complete()) {
            m_client.onBuffered(*this, m_reader.bodyBytes());
            return;
        }
        const auto keepsAlive = m_reader.keepsAlive();
        handleResponse(m_reader.finish(), keepsAlive);
    }
}

void BackendConnection::handleResponse(HttpResponse answer, bool keepsAlive)
{
    if (isInterimStatus(answer.status)) {
        if (++m_interimResponses > config::maxInterimResponses) {
            fail("too many interim answers");
            return;
        }
        m_reader.begin(m_request.method == "HEAD");
        return;
    }
    auto meaning = m_client.m_protocol.classify(m_request, answer);
    if (m_isProbe && meaning != AnswerKind::Mismatched) {
        meaning = AnswerKind::Complete;
    }
    if (meaning == AnswerKind::Mismatched && keepsAlive && ++m_strayResponses <= config::maxSkippedAnswers) {
        m_sawStrayResponse = true;
        m_reader.begin(m_request.method == "HEAD");
        return;
    }
    if (meaning == AnswerKind::Mismatched || meaning == AnswerKind::Invalid) {
        fail(meaning == AnswerKind::Mismatched ? "answer to another request" : "response is not from the backend server");
        return;
    }
    readKeepAlive(answer);
    // Unsent bytes of this request or unread bytes after the response must not mix with the next exchange.
    const auto clean = m_stream.input().empty() && m_stream.backlog() == 0 && !m_stream.writeFailed() && !m_sawStrayResponse;
    const auto reusable = keepsAlive && clean && m_client.m_protocol.identifiesRequest(m_request, answer);
    m_isNew = false;
    if (meaning == AnswerKind::NotRun || meaning == AnswerKind::WrongServer) {
        m_refused.push_back(m_request);
    }
    m_client.finish(std::exchange(m_exchange, 0), meaning, std::move(answer), reusable);
}

void BackendConnection::readKeepAlive(const HttpResponse& answer)
{
    if (const auto keepAlive = keepAliveOf(answer)) {
        m_keepAlive = keepAlive;
    }
}

void BackendConnection::streamEnded(StreamEnd end)
{
    if (!m_exchange) {
        // Otherwise this side has released the connection already.
        if (m_client.closeIdleConnection(this)) {
            m_client.onConnectionEnded(this);
        }
        return;
    }
    if (end == StreamEnd::NotConnected) {
        m_client.reportLost();
        m_client.fail(std::exchange(m_exchange, 0), neverConnected, "cannot connect", false);
        return;
    }
    if (end == StreamEnd::EndOfStream) {
        m_reader.takeEnd();
        if (m_reader.complete()) {
            handleResponse(m_reader.finish(), false);
            return;
        }
    }
    m_client.onConnectionEnded(this);
    m_client.onBroken(std::exchange(m_exchange, 0),
        end == StreamEnd::EndOfStream ? "connection closed before the end of the response" : "connection reset");
}

void BackendConnection::fail(std::string_view why)
{
    m_client.fail(std::exchange(m_exchange, 0), brokenOff, why, true);
}

bool BackendConnection::usable(const HttpRequest& request, TimePoint now, bool repeatable) const
{
    // A duplicate of an earlier response would be accepted as the response to a request with the same id. Only a request that was
    // refused is sent again.
    const auto isRepeat = [&](const HttpRequest& earlier) { return m_client.m_protocol.haveSameIdentity(earlier, request); };
    if (isRepeat(m_request) || std::ranges::any_of(m_refused, isRepeat) || m_refused.size() >= config::maxRefusedOnConnection) {
        return false;
    }
    const auto idle = now - m_idleSince;
    return m_stream.input().empty() && idle < maxIdle() && (repeatable || idle < config::maxIdleForNonIdempotent);
}

Duration BackendConnection::maxIdle() const
{
    return m_keepAlive ? *m_keepAlive - config::keepAliveMargin : Duration(config::backendIdleTimeout);
}

} // namespace pw::detail
