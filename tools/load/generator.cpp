#include "generator.h"

#include "support/http_names.h"
#include "support/loop.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace pw::load {
namespace {

    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    using std::chrono::milliseconds;

    constexpr int okStatus = 200;

    /// \returns the marker that a stand-in backend server wrote into \p body.
    std::string markerIn(const std::string& body)
    {
        constexpr std::string_view prefix = "marker=";
        if (!body.starts_with(prefix)) {
            return {};
        }
        return body.substr(prefix.size(), body.find('\n') - prefix.size());
    }

    Attempt describe(const support::HttpResult& result, const std::string& marker)
    {
        Attempt attempt;
        attempt.marker = marker;
        attempt.status = result.status;
        attempt.verdict = result.header(support::http::verdictHeader);
        attempt.reason = result.whole ? result.header(support::http::reasonHeader) : result.error;
        if (result.whole && attempt.reason.empty() && result.status != okStatus) {
            attempt.reason = "status-" + std::to_string(result.status);
        }
        if (result.whole && result.status == okStatus) {
            attempt.whole = markerIn(result.body) == marker;
            attempt.crossed = !attempt.whole;
        }
        return attempt;
    }

} // namespace

Generator::Generator(event_base* base, const std::vector<support::Address>& targets, std::vector<Mix> mixes, std::uint64_t seed, Report& report)
    : m_base(base)
    , m_runName("r" + std::to_string(seed))
    , m_report(report)
{
    for (const auto& target : targets) {
        m_clients.emplace_back(base, target);
    }
    for (auto& mix : mixes) {
        m_sources.push_back({ std::move(mix), std::mt19937_64(seed + m_sources.size()) });
    }
}

void Generator::start(milliseconds duration)
{
    m_start = Clock::now();
    m_end = m_start + duration;
    m_activeSources = m_sources.size();
    for (auto& it : m_sources) {
        it.due = m_start + it.mix.from;
        scheduleNext(it);
    }
}

bool Generator::done() const
{
    return (!m_activeSources || m_stopped) && !m_running;
}

void Generator::scheduleNext(Source& source)
{
    source.due += duration_cast<Clock::duration>(std::chrono::duration<double>(std::exponential_distribution<double>(source.mix.rate)(source.random)));
    if (m_stopped || source.due >= std::min(m_end, m_start + source.mix.to)) {
        --m_activeSources;
        return;
    }
    const auto wait = std::max(source.due - Clock::now(), Clock::duration::zero());
    support::after(m_base, duration_cast<microseconds>(wait), [this, &source] { launch(source); });
}

void Generator::launch(Source& source)
{
    const std::string marker = m_runName + "-" + source.mix.name + "-" + std::to_string(source.sent++);
    ++m_running;
    send(std::make_shared<Job>(Job { source.mix, marker, source.due, 0, m_nextClient++ }));
    scheduleNext(source);
}

void Generator::send(const std::shared_ptr<Job>& job)
{
    const Mix& mix = job->mix;
    // With a request id the attempts are one request, so they bear one marker.
    const std::string marker = mix.requestId ? job->marker : job->marker + "." + std::to_string(job->attempt);
    support::HttpRequest request;
    request.method = mix.method;
    request.target = mix.path + "?marker=" + marker;
    if (!mix.key.empty()) {
        request.headers.emplace_back(support::http::keyHeader, mix.key);
    }
    if (mix.requestId) {
        request.headers.emplace_back(support::http::requestIdHeader, job->marker);
    }
    support::HttpClient& client = m_clients.at(job->target++ % m_clients.size());
    client.send(request, mix.timeout, [this, job, marker](const support::HttpResult& result) { ended(job, marker, result); });
}

void Generator::ended(const std::shared_ptr<Job>& job, const std::string& marker, const support::HttpResult& result)
{
    const auto now = Clock::now();
    Attempt attempt = describe(result, marker);
    attempt.mix = job->mix.name;
    attempt.workspace = job->mix.workspace;
    attempt.latency = duration_cast<microseconds>(now - job->due);
    attempt.at = duration_cast<milliseconds>(now - m_start);
    attempt.last = attempt.whole || job->attempt >= job->mix.retries || m_stopped;
    m_report.add(attempt);
    if (attempt.last) {
        --m_running;
    } else {
        retry(job, result);
    }
}

void Generator::retry(const std::shared_ptr<Job>& job, const support::HttpResult& result)
{
    ++job->attempt;
    const std::string seconds = result.header("retry-after");
    const auto wait = job->mix.obeyRetryAfter ? std::chrono::seconds(std::strtol(seconds.c_str(), nullptr, 10)) : std::chrono::seconds(0);
    support::after(m_base, wait, [this, job] { send(job); });
}

} // namespace pw::load
