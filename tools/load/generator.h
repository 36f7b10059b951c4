#pragma once

#include "mix.h"
#include "report.h"

#include "support/http_client.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace pw::load {

/// Open-loop source of requests: arrivals do not wait for answers.
class Generator {
public:
    Generator(event_base* base, const std::vector<support::Address>& targets, std::vector<Mix> mixes, std::uint64_t seed, Report& report);

    /// Begins the arrivals; they end after \p duration.
    void start(std::chrono::milliseconds duration);

    /// Ends the arrivals now.
    void stop() { m_stopped = true; }

    /// \returns whether the arrivals have ended and every request has.
    bool done() const;

private:
    using Clock = std::chrono::steady_clock;

    /// A mix with its arrival process.
    struct Source {
        Mix mix;
        std::mt19937_64 random;
        Clock::time_point due {};
        std::uint64_t sent = 0;
    };
    /// A request with its attempts.
    struct Job {
        const Mix& mix;
        std::string marker;
        Clock::time_point due;
        std::uint32_t attempt = 0;
        std::size_t target = 0;
    };

    void scheduleNext(Source& source);
    void launch(Source& source);
    void send(const std::shared_ptr<Job>& job);
    void ended(const std::shared_ptr<Job>& job, const std::string& marker, const support::HttpResult& result);
    void retry(const std::shared_ptr<Job>& job, const support::HttpResult& result);

    event_base* m_base;
    std::deque<support::HttpClient> m_clients;
    std::deque<Source> m_sources;
    std::string m_runName;
    Report& m_report;
    Clock::time_point m_start {};
    Clock::time_point m_end {};
    std::size_t m_nextClient = 0;
    std::size_t m_running = 0;
    std::size_t m_activeSources = 0;
    bool m_stopped = false;
};

} // namespace pw::load
