#include "adapters/http_connection.h"

#include "adapters/http_status.h"
#include "config.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace pw::detail {
namespace {

    constexpr std::string_view continueLine = "HTTP/1.1 100 Continue\r\n\r\n";

    int statusOf(HttpFault fault)
    {
        switch (fault) {
        case HttpFault::HeaderTooLarge:
            return http_status::headersTooLarge;
        case HttpFault::BodyTooLarge:
            return http_status::bodyTooLarge;
        default:
            return http_status::badRequest;
        }
    }

    std::string_view nameOf(HttpFault fault)
    {
        switch (fault) {
        case HttpFault::HeaderTooLarge:
            return "header too large";
        case HttpFault::BodyTooLarge:
            return "body too large";
        default:
            return "malformed request";
        }
    }

} // namespace

HttpConnection::HttpConnection(HttpServer& server, evutil_socket_t fd)
    : m_server(server)
    , m_stream(server.m_loop, *this)
    , m_reader(server.m_limits.sizes)
    , m_lastProgress(server.m_timers.now())
{
    m_stream.adopt(fd);
}

HttpConnection::~HttpConnection()
{
    m_server.m_timers.cancel(m_readTimer);
}

void HttpConnection::streamReadable()
{
    if (m_closing) {
        m_stream.consume(m_stream.input().size());
        return;
    }
    m_lastProgress = m_server.m_timers.now();
    readRequests();
}

void HttpConnection::readRequests()
{
    m_reading = true;
    while (!m_closing && mayTakeRequest() && !m_stream.input().empty()) {
        m_stream.consume(m_reader.take(m_stream.input()));
        if (m_reader.fault() != HttpFault::None) {
            refuse(statusOf(m_reader.fault()), nameOf(m_reader.fault()));
            break;
        }
        if (!m_reader.complete()) {
            m_requestBegan = m_requestBegan.value_or(m_lastProgress);
            if (m_reader.awaitsContinue() && !std::exchange(m_sentContinue, true)) {
                m_stream.write(continueLine);
            }
            break;
        }
        m_requestBegan.reset();
        m_sentContinue = false;
        const auto keepsAlive = m_reader.keepsAlive();
        take(m_reader.finish(), keepsAlive);
    }
    m_reading = false;
    updateReading();
}

/// While the server is leaving, the response to a pending request closes the connection: requests behind it are not read, so
/// that callers repeat them elsewhere.
bool HttpConnection::mayTakeRequest() const
{
    return m_server.m_leaving ? m_slots.empty() : m_slots.size() < config::maxPipelinedRequests;
}

void HttpConnection::take(HttpRequest request, bool keepsAlive)
{
    const auto number = m_firstSlot + m_slots.size();
    const auto bodiless = request.method == "HEAD";
    auto exchange = std::make_shared<HttpExchange>(m_server.m_pending, *this, number, std::move(request));
    m_slots.push_back({ exchange, keepsAlive, bodiless, {}, false });
    m_closing = !keepsAlive;
    m_server.m_handler(std::move(exchange));
}

/// Responds to an invalid request and closes, since the start of the next request is unknown.
void HttpConnection::refuse(int status, std::string_view what)
{
    const auto response = m_server.m_faultAnswer ? m_server.m_faultAnswer(status, what)
                                                 : HttpResponse { status, {}, std::string(what) + "\n" };
    m_closing = true;
    m_slots.push_back({ {}, false, false, render(response, false, true), true });
    sendResponses();
}

void HttpConnection::answer(std::uint64_t slot, const HttpResponse& response)
{
    assert(isFinalStatus(response.status));
    auto& it = m_slots.at(slot - m_firstSlot);
    it.exchange.reset();
    // Callers repeat requests that follow a closing response, so none of those may be running.
    it.closes = !it.keepsAlive || (m_server.m_leaving && slot + 1 == m_firstSlot + m_slots.size());
    m_closing = m_closing || it.closes;
    it.answer = render(response, it.bodiless, it.closes);
    m_lastProgress = m_server.m_timers.now();
    sendResponses();
}

void HttpConnection::sendResponses()
{
    while (!m_slots.empty() && !m_slots.front().answer.empty()) {
        m_stream.write(m_slots.front().answer);
        const auto closes = m_slots.front().closes;
        m_slots.pop_front();
        ++m_firstSlot;
        if (closes) {
            beginClose();
            return;
        }
    }
    if (!m_reading) {
        updateReading();
        readLater();
    }
}

/// Takes the requests that had to wait for this response. Not at once: a response may be given in the middle of a loop or change,
/// where the handler must not be called.
void HttpConnection::readLater()
{
    if (m_readTimer || m_closing || m_stream.input().empty()) {
        return;
    }
    m_readTimer = m_server.m_timers.after(Duration::zero(), [this] {
        m_readTimer = 0;
        readRequests();
    });
}

/// Closes the sending side first and discards further input, so that a reset does not destroy the last response.
void HttpConnection::beginClose()
{
    m_closing = true;
    m_stream.consume(m_stream.input().size());
    m_stream.pauseReading(false);
    m_stream.finishWriting();
}

void HttpConnection::updateReading()
{
    // A caller's disconnect is noticed only while reading.
    const auto full = m_slots.size() >= config::maxPipelinedRequests || m_stream.backlog() > config::maxUnreadAnswerBytes
        || m_stream.input().size() > config::maxUnreadAnswerBytes;
    m_stream.pauseReading(full && !m_closing);
}

std::string HttpConnection::render(const HttpResponse& response, bool bodiless, bool closes) const
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + ' ';
    text += reasonPhrase(response.status);
    text += "\r\n";
    for (const auto& it : response.headers) {
        text += it.name;
        text += ": ";
        text += it.value;
        text += "\r\n";
    }
    if (!hasNoBody(response.status)) {
        text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    }
    text += closes ? "Connection: close\r\n\r\n" : "\r\n";
    if (!bodiless && !hasNoBody(response.status)) {
        text += response.body;
    }
    return text;
}

bool HttpConnection::idle() const
{
    return m_slots.empty() && m_stream.backlog() == 0 && !m_reader.begun() && m_stream.input().empty();
}

bool HttpConnection::unfinished() const
{
    return m_stream.backlog() > 0 || (!m_closing && (m_reader.begun() || !m_stream.input().empty()));
}

/// A caller that reads an answer makes progress, however slowly.
void HttpConnection::noteSendProgress(TimePoint now)
{
    if (std::exchange(m_bytesSent, m_stream.bytesSent()) != m_stream.bytesSent()) {
        m_lastProgress = now;
    }
}

void HttpConnection::check(TimePoint now)
{
    const auto& limits = m_server.m_limits;
    if (m_stream.backlog() == 0) {
        updateReading();
    }
    noteSendProgress(now);
    if (m_closing && m_slots.empty()) {
        const auto isSending = m_stream.backlog() > 0;
        if (now - m_lastProgress >= (isSending ? limits.idleTimeout : config::lingerTimeout)) {
            drop();
        }
        return;
    }
    if (!m_slots.empty()) {
        m_lastProgress = m_stream.backlog() > 0 ? m_lastProgress : now;
    }
    if (m_requestBegan && now - *m_requestBegan >= limits.headerTimeout && !m_reader.headerDone()) {
        refuse(http_status::requestTimeout, "header not received in time");
    } else if (m_requestBegan && now - *m_requestBegan >= limits.requestTimeout) {
        refuse(http_status::requestTimeout, "request not received in time");
    } else if (now - m_lastProgress >= limits.idleTimeout) {
        drop();
    }
}

void HttpConnection::streamEnded(StreamEnd)
{
    drop();
}

void HttpConnection::drop()
{
    if (std::exchange(m_dropped, true)) {
        return;
    }
    m_closing = true;
    m_server.m_timers.cancel(std::exchange(m_readTimer, 0));
    const auto slots = std::exchange(m_slots, {});
    m_server.remove(this);
    const auto forEachExchange = [&slots](void (HttpExchange::*action)()) {
        std::ranges::for_each(slots, [action](const Slot& it) {
            if (const auto exchange = it.exchange.lock()) {
                ((*exchange).*action)();
            }
        });
    };
    // A notified handler may respond to other requests of this connection, or release them.
    forEachExchange(&HttpExchange::detach);
    forEachExchange(&HttpExchange::notifyDisconnected);
}

} // namespace pw::detail
