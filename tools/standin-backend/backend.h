#pragma once

#include "behaviour.h"
#include "journal.h"
#include "options.h"

#include "support/http_client.h"
#include "support/loop.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace pw::standin {

/// HTTP server of one service: takes requests, makes its nested calls through the daemon beside, answers.
class Backend {
public:
    Backend(event_base* base, const Options& options);
    ~Backend();
    Backend(const Backend&) = delete;
    Backend& operator=(const Backend&) = delete;

    /// \returns whether the server listens.
    bool listen();

    /// Switches the failure mode.
    void setBehaviour(const Behaviour& behaviour) { m_behaviour = behaviour; }

    /// Switches whether answers echo the exchange id of their request.
    void setEcho(bool echo) { m_echo = echo; }

    /// Sets the headers by which every answer states a rate limit or that the server is leaving; empty for none.
    void setStatement(const std::string& rateLimit, const std::string& leaving);

    const Journal& journal() const { return m_journal; }

    /// \returns counts as one JSON object.
    std::string stats() const;

private:
    struct Exchange;
    using Step = void (Backend::*)(Exchange&);

    static bufferevent* makeConnection(event_base* base, void* self);
    static void bytesArrived(evbuffer* buffer, const evbuffer_cb_info* info, void* self);

    void onRequest(evhttp_request* request);
    void countConnection(evhttp_connection* connection);
    void watchForClose(Exchange& exchange);
    void cancel(Exchange& exchange);
    void work(Exchange& exchange);
    std::chrono::microseconds drawServiceTime();
    void callNested(std::uint64_t id, std::size_t step, std::uint32_t attempt);
    void nestedDone(std::uint64_t id, std::size_t step, std::uint32_t attempt, const support::HttpResult& result);
    void complete(Exchange& exchange);

    void answerWhole(Exchange& exchange);
    void answerNever(Exchange& exchange);
    void answerTruncated(Exchange& exchange);
    void answerLate(Exchange& exchange);
    void answerRefused(Exchange& exchange);
    void answerClosed(Exchange& exchange);
    void answerTwice(Exchange& exchange);

    void addStatement(evhttp_request* request) const;
    bool isOpen(evhttp_connection* connection, std::uint64_t number) const;
    void closeConnection(Exchange& exchange, std::chrono::milliseconds delay);
    void finish(Exchange& exchange, Outcome outcome);
    static evhttp_connection* connectionOf(const Exchange& exchange);
    Exchange* find(std::uint64_t id);
    std::string bodyOf(const Exchange& exchange) const;

    event_base* m_base;
    Options m_options;
    Journal m_journal;
    Behaviour m_behaviour;
    std::string m_rateLimit;
    std::string m_leaving;
    bool m_echo = true; ///< Answers carry the exchange id of their request.
    std::mt19937_64 m_random;
    std::unique_ptr<support::HttpClient> m_daemon;
    std::map<std::uint64_t, std::unique_ptr<Exchange>> m_exchanges;
    std::map<evhttp_connection*, std::uint64_t> m_connections; ///< With a number each: an address is used again.
    std::uint64_t m_lastConnection = 0;
    std::uint64_t m_nextId = 1;
    std::uint32_t m_running = 0;
    std::uint32_t m_maxRunning = 0;
    std::uint64_t m_slotViolations = 0;
    std::uint64_t m_connectionViolations = 0;
    evhttp* m_http = nullptr;
};

} // namespace pw::standin
