#include "backend.h"

#include "support/http_names.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>
#include <string_view>
#include <utility>

namespace pw::standin {
namespace {

    constexpr std::chrono::milliseconds duplicateDelay { 20 };
    constexpr std::chrono::milliseconds flushTime { 5 };
    constexpr double logNormalSigma = 0.5;
    constexpr std::string_view postPrefix = "POST:";
    constexpr int serviceUnavailable = 503;
    constexpr int badGateway = 502;

    std::string headerOf(evhttp_request* request, const char* name)
    {
        const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
        return value ? value : "";
    }

    const char* methodOf(evhttp_request* request)
    {
        switch (evhttp_request_get_command(request)) {
        case EVHTTP_REQ_POST:
            return "POST";
        case EVHTTP_REQ_PUT:
            return "PUT";
        case EVHTTP_REQ_DELETE:
            return "DELETE";
        default:
            return "GET";
        }
    }

    void reply(evhttp_request* request, int status, const std::string& body)
    {
        evbuffer* buffer = evbuffer_new();
        evbuffer_add(buffer, body.data(), body.size());
        evhttp_send_reply(request, status, nullptr, buffer);
        evbuffer_free(buffer);
    }

    /// Writes past evhttp, which would refuse to send a broken answer.
    void sendRaw(evhttp_connection* connection, const std::string& text)
    {
        (void)send(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), text.data(), text.size(), MSG_NOSIGNAL);
    }

    std::string rawAnswer(const std::string& exchangeId, const std::string& body, std::size_t bytesSent)
    {
        const auto echo = exchangeId.empty() ? std::string() : std::string(support::http::exchangeHeader) + ": " + exchangeId + "\r\n";
        return "HTTP/1.1 200 OK\r\n" + echo + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body.substr(0, bytesSent);
    }

} // namespace

/// A request that is being worked on.
struct Backend::Exchange {
    Backend* backend = nullptr;
    std::uint64_t id = 0;
    evhttp_request* request = nullptr;
    std::size_t record = 0;
    Mode mode = Mode::Normal;
    std::string marker;
    std::string context;
    std::string exchangeId; ///< Echoed in the answer, so that the daemon can tell whose answer it is.
    std::vector<std::string> calls; ///< Paths of nested calls.
    std::size_t callsDone = 0;
    bool nestedFailed = false;
    std::string nestedBodies;
    support::EventPtr closed;
};

Backend::Backend(event_base* base, const Options& options)
    : m_base(base)
    , m_options(options)
    , m_journal(options.journalFile)
    , m_random(options.seed)
    , m_http(evhttp_new(base))
{
    if (options.daemon) {
        m_daemon = std::make_unique<support::HttpClient>(base, *options.daemon);
    }
    evhttp_set_bevcb(m_http, &Backend::makeConnection, this);
    evhttp_set_gencb(
        m_http, [](evhttp_request* request, void* self) { static_cast<Backend*>(self)->onRequest(request); }, this);
}

Backend::~Backend()
{
    m_exchanges.clear();
    evhttp_free(m_http);
}

bool Backend::listen()
{
    return evhttp_bind_socket(m_http, m_options.listen.host.c_str(), m_options.listen.port) == 0;
}

bufferevent* Backend::makeConnection(event_base* base, void* self)
{
    bufferevent* connection = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    if (static_cast<Backend*>(self)->m_options.recordBytes) {
        evbuffer_add_cb(bufferevent_get_input(connection), &Backend::bytesArrived, self);
    }
    return connection;
}

void Backend::bytesArrived(evbuffer* buffer, const evbuffer_cb_info* info, void* self)
{
    if (!info->n_added) {
        return;
    }
    std::string arrived(info->n_added, '\0');
    evbuffer_ptr position;
    evbuffer_ptr_set(buffer, &position, evbuffer_get_length(buffer) - info->n_added, EVBUFFER_PTR_SET);
    evbuffer_copyout_from(buffer, &position, arrived.data(), arrived.size());
    static_cast<Backend*>(self)->m_journal.bytes += arrived;
}

void Backend::onRequest(evhttp_request* request)
{
    countConnection(evhttp_request_get_connection(request));
    const auto target = support::parseTarget(request);
    auto owned = std::make_unique<Exchange>();
    Exchange& exchange = *owned;
    exchange.backend = this;
    exchange.id = m_nextId++;
    exchange.request = request;
    exchange.mode = m_behaviour.take(target.path);
    exchange.marker = target.text("marker");
    exchange.context = headerOf(request, support::http::contextHeader);
    exchange.exchangeId = m_echo ? headerOf(request, support::http::exchangeHeader) : std::string();
    const auto chain = std::ranges::find_if(m_options.chains, [&](const Chain& it) { return target.path.starts_with(it.prefix); });
    if (chain != m_options.chains.end()) {
        exchange.calls = chain->paths;
    }
    exchange.record = m_journal.begin({ methodOf(request), target.path, exchange.marker, headerOf(request, support::http::requestIdHeader) });
    m_exchanges.emplace(exchange.id, std::move(owned));
    m_maxRunning = std::max(m_maxRunning, ++m_running);
    if (m_running > m_options.slots) {
        ++m_slotViolations;
    }
    watchForClose(exchange);
    work(exchange);
}

void Backend::countConnection(evhttp_connection* connection)
{
    if (!m_connections.try_emplace(connection, m_lastConnection + 1).second) {
        return;
    }
    ++m_lastConnection;
    if (m_connections.size() > m_options.connections) {
        ++m_connectionViolations;
    }
    evhttp_connection_set_closecb(
        connection, [](evhttp_connection* closed, void* self) { static_cast<Backend*>(self)->m_connections.erase(closed); }, this);
}

void Backend::watchForClose(Exchange& exchange)
{
    // evhttp does not read while a request is pending, so it would not notice that the daemon closed.
    bufferevent* connection = evhttp_connection_get_bufferevent(evhttp_request_get_connection(exchange.request));
    auto closed = [](evutil_socket_t, short, void* arg) {
        auto* self = static_cast<Exchange*>(arg);
        self->backend->cancel(*self);
    };
    exchange.closed.reset(event_new(m_base, bufferevent_getfd(connection), EV_CLOSED, closed, &exchange));
    event_add(exchange.closed.get(), nullptr);
}

void Backend::cancel(Exchange& exchange)
{
    if (exchange.mode == Mode::Late) {
        return;
    }
    evhttp_connection* connection = evhttp_request_get_connection(exchange.request);
    finish(exchange, Outcome::Cancelled);
    evhttp_connection_free(connection);
}

void Backend::work(Exchange& exchange)
{
    if (exchange.mode == Mode::Refuse) {
        answerRefused(exchange);
        return;
    }
    auto time = drawServiceTime();
    if (exchange.mode == Mode::Slow) {
        time = std::chrono::duration_cast<std::chrono::microseconds>(time * m_behaviour.factor);
    }
    support::after(m_base, time, [this, id = exchange.id] {
        Exchange* found = find(id);
        if (!found) {
            return;
        }
        const std::size_t atOnce = m_options.parallel ? found->calls.size() : std::min<std::size_t>(found->calls.size(), 1);
        if (!atOnce) {
            complete(*found);
        }
        for (std::size_t step = 0; step < atOnce; ++step) {
            callNested(id, step, 1);
        }
    });
}

std::chrono::microseconds Backend::drawServiceTime()
{
    const auto mean = static_cast<double>(m_options.serviceTime.count());
    double drawn = mean;
    if (m_options.spread == Spread::Exponential) {
        drawn = std::exponential_distribution<double>(1 / std::max(mean, 1.0))(m_random);
    } else if (m_options.spread == Spread::LogNormal) {
        const double shift = std::log(std::max(mean, 1.0)) - logNormalSigma * logNormalSigma / 2;
        drawn = std::lognormal_distribution<double>(shift, logNormalSigma)(m_random);
    }
    return std::chrono::microseconds(static_cast<std::int64_t>(drawn));
}

void Backend::callNested(std::uint64_t id, std::size_t step, std::uint32_t attempt)
{
    const Exchange* exchange = find(id);
    if (!exchange || !m_daemon) {
        nestedDone(id, step, m_options.nestedAttempts, {});
        return;
    }
    support::HttpRequest request;
    std::string path = exchange->calls[step];
    if (path.starts_with(postPrefix)) {
        request.method = "POST";
        path.erase(0, postPrefix.size());
    }
    request.target = path + "?marker=" + exchange->marker + "/" + std::to_string(step);
    request.headers.emplace_back(support::http::contextHeader, exchange->context);
    m_daemon->send(request, m_options.nestedTimeout,
        [this, id, step, attempt](const support::HttpResult& result) { nestedDone(id, step, attempt, result); });
}

void Backend::nestedDone(std::uint64_t id, std::size_t step, std::uint32_t attempt, const support::HttpResult& result)
{
    Exchange* exchange = find(id);
    if (!exchange) {
        return;
    }
    const bool good = result.whole && result.status == HTTP_OK;
    if (!good && attempt < m_options.nestedAttempts) {
        callNested(id, step, attempt + 1);
        return;
    }
    exchange->nestedFailed = exchange->nestedFailed || !good;
    exchange->nestedBodies += result.body;
    ++exchange->callsDone;
    if (exchange->callsDone == exchange->calls.size() || (!good && !m_options.parallel)) {
        complete(*exchange);
    } else if (!m_options.parallel) {
        callNested(id, step + 1, 1);
    }
}

void Backend::complete(Exchange& exchange)
{
    static constexpr std::array<Step, static_cast<std::size_t>(Mode::Count)> steps {
        &Backend::answerWhole, &Backend::answerWhole, &Backend::answerNever, &Backend::answerTruncated,
        &Backend::answerLate, &Backend::answerRefused, &Backend::answerClosed, &Backend::answerTwice
    };
    (this->*steps.at(static_cast<std::size_t>(exchange.mode)))(exchange);
}

void Backend::setStatement(const std::string& rateLimit, const std::string& leaving)
{
    m_rateLimit = rateLimit;
    m_leaving = leaving;
}

void Backend::addStatement(evhttp_request* request) const
{
    const auto add = [request](const char* name, const std::string& value) {
        if (!value.empty()) {
            evhttp_add_header(evhttp_request_get_output_headers(request), name, value.c_str());
        }
    };
    add(support::http::rateLimitHeader, m_rateLimit);
    add(support::http::leavingHeader, m_leaving);
}

void Backend::answerWhole(Exchange& exchange)
{
    evhttp_request* request = exchange.request;
    const std::string body = bodyOf(exchange);
    const bool failed = exchange.nestedFailed;
    if (!exchange.exchangeId.empty()) {
        evhttp_add_header(evhttp_request_get_output_headers(request), support::http::exchangeHeader, exchange.exchangeId.c_str());
    }
    addStatement(request);
    finish(exchange, failed ? Outcome::Failed : Outcome::Answered);
    reply(request, failed ? badGateway : HTTP_OK, body);
}

void Backend::answerNever(Exchange& exchange)
{
    m_journal.end(exchange.record, Outcome::Silent);
}

void Backend::answerTruncated(Exchange& exchange)
{
    const std::string body = bodyOf(exchange);
    sendRaw(connectionOf(exchange), rawAnswer(exchange.exchangeId, body, body.size() / 2));
    closeConnection(exchange, flushTime);
    finish(exchange, Outcome::Truncated);
}

void Backend::answerLate(Exchange& exchange)
{
    support::after(m_base, m_behaviour.delay, [this, id = exchange.id] {
        if (Exchange* found = find(id)) {
            answerWhole(*found);
        }
    });
}

void Backend::answerRefused(Exchange& exchange)
{
    evhttp_request* request = exchange.request;
    addStatement(request);
    finish(exchange, Outcome::Refused);
    evhttp_add_header(evhttp_request_get_output_headers(request), support::http::notRunHeader, "1");
    reply(request, serviceUnavailable, {});
}

void Backend::answerClosed(Exchange& exchange)
{
    closeConnection(exchange, std::chrono::milliseconds(0));
    finish(exchange, Outcome::Closed);
}

void Backend::answerTwice(Exchange& exchange)
{
    evhttp_connection* connection = connectionOf(exchange);
    const std::string body = bodyOf(exchange);
    const std::string again = rawAnswer(exchange.exchangeId, body, body.size());
    answerWhole(exchange);
    const auto number = m_connections.at(connection);
    support::after(m_base, duplicateDelay, [this, connection, number, again] {
        if (isOpen(connection, number)) {
            sendRaw(connection, again);
        }
    });
}

bool Backend::isOpen(evhttp_connection* connection, std::uint64_t number) const
{
    const auto it = m_connections.find(connection);
    return it != m_connections.end() && it->second == number;
}

void Backend::closeConnection(Exchange& exchange, std::chrono::milliseconds delay)
{
    evhttp_connection* connection = connectionOf(exchange);
    support::after(m_base, delay, [this, connection, number = m_connections.at(connection)] {
        if (isOpen(connection, number)) {
            evhttp_connection_free(connection);
        }
    });
}

void Backend::finish(Exchange& exchange, Outcome outcome)
{
    assert(m_running > 0);
    --m_running;
    m_journal.end(exchange.record, outcome);
    m_exchanges.erase(exchange.id);
}

evhttp_connection* Backend::connectionOf(const Exchange& exchange)
{
    return evhttp_request_get_connection(exchange.request);
}

Backend::Exchange* Backend::find(std::uint64_t id)
{
    const auto it = m_exchanges.find(id);
    return it == m_exchanges.end() ? nullptr : it->second.get();
}

std::string Backend::bodyOf(const Exchange& exchange) const
{
    std::string body = "marker=" + exchange.marker + "\nserver=" + m_options.name + "\n" + exchange.nestedBodies;
    body.resize(std::max(body.size(), m_options.bodyBytes), '.');
    return body;
}

std::string Backend::stats() const
{
    std::string text = "{";
    const auto add = [&text](const std::string& name, std::uint64_t value) {
        text += (text.size() > 1 ? "," : "") + ("\"" + name + "\":") + std::to_string(value);
    };
    for (std::size_t it = 0; it < static_cast<std::size_t>(Outcome::Count); ++it) {
        const auto outcome = static_cast<Outcome>(it);
        add(outcomeName(outcome), m_journal.count(outcome));
    }
    add("busy", m_running);
    add("maxBusy", m_maxRunning);
    add("openConnections", m_connections.size());
    add("slotViolations", m_slotViolations);
    add("connectionViolations", m_connectionViolations);
    return text + "}\n";
}

} // namespace pw::standin
