#include "app/dispatcher.h"

#include "config.h"

#include <algorithm>
#include <utility>

namespace pw {
namespace {

    constexpr int firstServerErrorStatus = 500;

    /// \returns the outcome recorded for the server. An HTTP 5xx response counts as a failure.
    RunOutcome outcomeOf(const Answer& answer)
    {
        if (answer.isComplete()) {
            return answer.status >= firstServerErrorStatus ? RunOutcome::Failed : RunOutcome::Ok;
        }
        switch (answer.refusal.reason) {
        case Reason::DeadlineExceeded:
            return answer.refusal.verdict == Verdict::NotRun ? RunOutcome::Refused : RunOutcome::Timeout;
        case Reason::Unreachable:
        case Reason::BackendFailed:
        case Reason::BackendCrashed:
            return RunOutcome::Failed;
        default:
            return RunOutcome::Refused;
        }
    }

    /// \returns whether the daemon beside the server has refused the call because its failure domain is evacuated.
    bool isEvacuationRefusal(const Answer& answer)
    {
        return answer.refusal.reason == Reason::Evacuated && answer.refusal.verdict == Verdict::NotRun && !answer.arrived;
    }

    /// \returns the part of \p budget kept for retries at this hop while a call is in flight.
    std::uint32_t reservedAttempts(std::uint32_t budget)
    {
        return budget / config::budgetReserveDivisor;
    }

} // namespace

Dispatcher::Dispatcher(const Settings& settings, CallTransport& transport, Timers& timers, EventLog& log, ServerDirectory& directory,
    const FleetView& fleet, std::uint64_t seed)
    : m_settings(settings)
    , m_transport(transport)
    , m_timers(timers)
    , m_log(log)
    , m_directory(directory)
    , m_fleet(fleet)
    , m_random(seed)
    , m_picker(seed + 1, settings.pickBy)
    , m_retryBudget(settings.retryBudget.ratio, settings.retryBudget.extra, settings.retryBudget.window)
{
    directory.onChanged([this](const std::string&) { updateRetryBudget(); });
    transport.responsivenessChanged().connect(sigc::mem_fun(*this, &Dispatcher::onResponsivenessChanged));
}

/// There is one daemon beside each backend server, so the number of daemons follows from the membership view.
void Dispatcher::updateRetryBudget()
{
    m_retryBudget.configure(m_settings.retryBudget.ratio, m_settings.retryBudget.extra, m_settings.retryBudget.window);
    m_retryBudget.setDaemons(m_directory.serverCount());
}

Dispatcher::~Dispatcher()
{
    std::ranges::for_each(m_jobs, [this](auto& it) { m_timers.cancel(it.second.retryTimer); });
    m_timers.cancel(m_rerouteTimer);
}

std::uint64_t Dispatcher::start(DispatchRequest request, Done done)
{
    auto id = ++m_lastId;
    Job job;
    job.request = std::move(request);
    job.done = std::move(done);
    m_jobs.emplace(id, std::move(job));
    attempt(id);
    return id;
}

/// \returns whether \p failureDomain is evacuated, as known to this daemon or to one that has refused this request.
bool Dispatcher::isEvacuated(const Job& job, const std::string& failureDomain) const
{
    return m_fleet.isEvacuated(failureDomain) || std::ranges::find(job.evacuatedDomains, failureDomain) != job.evacuatedDomains.end();
}

/// \returns the constraints of the next pick; valid as long as \p job.
PickContext Dispatcher::pickContext(const Job& job) const
{
    return { m_settings.failureDomain, m_settings.region, job.triedServers, {},
        [this, &job](const std::string& failureDomain) { return isEvacuated(job, failureDomain); }, job.request.call.route };
}

const ServerEntry* Dispatcher::pickForSuspect(const Job& job) const
{
    const auto& call = job.request.call;
    return m_quarantine->serverFor(call.service, [&](const ServerEntry& it) {
        const auto isTried = std::ranges::find(job.triedServers, it.name) != job.triedServers.end();
        return !isTried && !isEvacuated(job, it.failureDomain) && !m_unresponsive.contains(it.daemon);
    });
}

const ServerEntry* Dispatcher::pick(const Job& job)
{
    if (m_quarantine && m_quarantine->isSuspect(job.request.call)) {
        return pickForSuspect(job);
    }
    const auto& servers = m_directory.servers(job.request.call.service);
    auto context = pickContext(job);
    if (job.serversReached > 0) {
        // A failure that hit the first server may have hit others that are not yet known to be unresponsive.
        context.preferAnsweredSince = std::max<TimePoint>(job.sentAt, m_timers.now() - config::peerUnresponsiveAfter / 2);
    }
    auto index = m_picker.pick(servers, context, m_timers.now());
    if (!index && !job.triedServers.empty()) {
        // Every server has been tried once; try them again, since a refusal may be temporary.
        context.excluded.clear();
        index = m_picker.pick(servers, context, m_timers.now());
    }
    return index ? &servers[*index] : nullptr;
}

Refusal Dispatcher::noServerRefusal(const Job& job) const
{
    const auto& servers = m_directory.servers(job.request.call.service);
    if (std::ranges::any_of(servers, [&](const ServerEntry& it) { return isEvacuated(job, it.failureDomain); })) {
        return { Verdict::NotRun, Reason::Evacuated, config::evacuatedRetryAfter };
    }
    return { Verdict::NotRun, Reason::NoBackendServer, config::noServerRetryAfter };
}

Call Dispatcher::makeAttemptCall(const Job& job) const
{
    auto call = job.request.call;
    auto nestedBudget = job.request.attempts - 1;
    call.attempts = nestedBudget - reservedAttempts(nestedBudget);
    call.timeLeft = std::chrono::duration_cast<std::chrono::microseconds>(job.request.deadline - m_timers.now());
    call.statedRate = m_picker.statedRate(job.serverName);
    return call;
}

void Dispatcher::attempt(std::uint64_t id)
{
    auto& job = m_jobs.at(id);
    job.retryTimer = 0;
    auto now = m_timers.now();
    if (job.request.deadline <= now) {
        finishLater(id, { Verdict::NotRun, Reason::DeadlineExceeded, {} });
        return;
    }
    const auto& suspect = job.request.call;
    if (job.crashes > 0 && (m_quarantine->modeOf(suspect.digest) >= SuspectMode::Trial || !m_quarantine->canRisk(suspect.service, suspect.digest))) {
        finishLater(id, { Verdict::NotRun, Reason::Quarantined, {} });
        return;
    }
    if (job.request.attempts == 0) {
        finishLater(id, { Verdict::NotRun, Reason::BudgetExhausted, {} });
        return;
    }
    const auto* server = pick(job);
    if (!server) {
        finishLater(id, noServerRefusal(job));
        return;
    }
    PW_EVENT(m_log, Event::RouteDecision, { "request", job.request.call.requestId }, { "route", job.request.call.route },
        { "server", server->name }, { "workspace", job.request.call.workspace }, { "depth", job.request.call.depth }, { "try", job.attemptsMade + 1 });
    ++job.attemptsMade;
    job.serverName = server->name;
    job.daemon = server->daemon;
    job.failureDomain = server->failureDomain;
    job.sentAt = now;
    job.triedServers.push_back(server->name);
    m_picker.started(server->name, now, job.request.call.route);
    if (job.attemptsMade == 1) {
        m_retryBudget.recordFirstAttempt(job.request.call.service, now);
    }
    auto call = makeAttemptCall(job);
    job.delegatedAttempts = call.attempts;
    job.request.attempts -= 1 + job.delegatedAttempts;
    job.callId = m_transport.start(server->daemon, std::move(call), [this, id](Answer answer) { onAnswer(id, std::move(answer)); });
}

void Dispatcher::onAnswer(std::uint64_t id, Answer answer)
{
    auto& job = m_jobs.at(id);
    auto now = m_timers.now();
    auto hasLoad = answer.isComplete() || answer.load.limit > 0 || answer.load.leaving;
    m_picker.finished(job.serverName, outcomeOf(answer), now - job.sentAt, hasLoad ? &answer.load : nullptr, now, job.request.call.route);
    auto notDelivered = answer.refusal.verdict == Verdict::NotRun && answer.refusal.reason == Reason::Unreachable;
    job.request.attempts += notDelivered ? job.delegatedAttempts : std::min(answer.attemptsUnused, job.delegatedAttempts);
    if (answer.arrived || answer.refusal.verdict == Verdict::MayHaveRun) {
        ++job.serversReached;
    }
    if (isEvacuationRefusal(answer)) {
        onEvacuated(job, answer);
    }
    if (answer.refusal.reason == Reason::BackendCrashed && m_quarantine) {
        ++job.crashes;
        job.request.call.suspect = true;
        m_quarantine->crashHeardOf(job.request.call.digest, job.crashes);
    }
    if (answer.isComplete()) {
        m_retryPolicy.onSuccess();
        finish(id, std::move(answer));
        return;
    }
    retryOrFinish(id, std::move(answer));
}

/// Excludes the failure domain for the rest of the request. The offer does not count as an attempt.
void Dispatcher::onEvacuated(Job& job, Answer& answer)
{
    job.evacuatedDomains.push_back(job.failureDomain);
    ++job.request.attempts;
    // Reported to the caller if no other failure domain is left.
    answer.refusal.retryAfter = config::evacuatedRetryAfter;
}

/// \returns the attempts made, without offers that were refused because of an evacuation. Each of those excludes a failure
/// domain, which bounds their number.
std::uint32_t Dispatcher::countedAttempts(const Job& job)
{
    return job.attemptsMade - static_cast<std::uint32_t>(job.evacuatedDomains.size());
}

void Dispatcher::retryOrFinish(std::uint64_t id, Answer answer)
{
    auto& job = m_jobs.at(id);
    if (!isEvacuationRefusal(answer) || countedAttempts(job) == 0) {
        job.lastRefusal = answer.refusal; // A refusal by a server in use is more informative.
    }
    job.mayHaveRun = job.mayHaveRun || answer.refusal.verdict != Verdict::NotRun;
    const auto wait = retryDelay(job, answer);
    PW_EVENT(m_log, Event::RetryDecision, { "request", job.request.call.requestId }, { "route", job.request.call.route },
        { "server", job.serverName }, { "reason", reasonInfo(answer.refusal.reason).name }, { "verdict", verdictName(answer.refusal.verdict) },
        { "reached", job.serversReached }, { "budget", m_retryBudget.available(job.request.call.service, m_timers.now()) }, { "retry", wait.has_value() });
    if (!wait) {
        answer.refusal = job.lastRefusal;
        finish(id, std::move(answer));
        return;
    }
    job.retryTimer = m_timers.after(*wait, [this, id] { attempt(id); });
}

/// Excludes an unresponsive daemon from new calls and reroutes its idempotent calls in flight.
void Dispatcher::onResponsivenessChanged(const PeerAddress& daemon, bool unresponsive)
{
    m_picker.setUnresponsive(daemon, unresponsive);
    if (unresponsive) {
        m_unresponsive.insert(daemon);
        rerouteFromUnresponsive();
    } else {
        m_unresponsive.erase(daemon);
    }
}

/// Reroutes idempotent calls away from unresponsive daemons within the retry budget, and reschedules itself for the rest.
void Dispatcher::rerouteFromUnresponsive()
{
    m_timers.cancel(std::exchange(m_rerouteTimer, 0));
    std::vector<std::uint64_t> affected;
    for (const auto& [id, job] : m_jobs) {
        if (m_unresponsive.contains(job.daemon) && isInFlight(job) && job.request.call.idempotent) {
            affected.push_back(id);
        }
    }
    for (const auto id : affected) {
        // Check again for each call: every reroute uses up retry budget.
        if (const auto it = m_jobs.find(id); it != m_jobs.end() && isInFlight(it->second) && canReroute(it->second)) {
            m_transport.cancel(it->second.callId);
            Answer answer;
            answer.refusal = { Verdict::MayHaveRun, Reason::Unreachable, {} };
            onAnswer(id, std::move(answer));
        }
    }
    if (!affected.empty()) {
        m_rerouteTimer = m_timers.after(config::peerProbeInterval, [this] { rerouteFromUnresponsive(); });
    }
}

bool Dispatcher::mayHaveRun(std::uint64_t id) const
{
    const auto it = m_jobs.find(id);
    return it != m_jobs.end() && (it->second.mayHaveRun || isInFlight(it->second));
}

bool Dispatcher::isInFlight(const Job& job)
{
    return job.callId != 0 && job.retryTimer == 0;
}

/// \returns whether a call in flight may be repeated on another server. Otherwise its answer is waited for.
bool Dispatcher::canReroute(const Job& job) const
{
    const auto& call = job.request.call;
    const auto mayRetry = call.idempotent && !call.trial && job.request.attempts > 0 && countedAttempts(job) < config::maxTriesPerHop
        && job.serversReached + 1 < job.request.maxServers;
    return mayRetry && m_retryPolicy.tokens() >= 1 && m_retryBudget.available(call.service, m_timers.now()) >= 1
        && hasAnotherServer(job);
}

/// \returns whether the service has a server besides that of the current attempt that is not in an evacuated failure domain.
bool Dispatcher::hasAnotherServer(const Job& job) const
{
    return std::ranges::count_if(m_directory.servers(job.request.call.service),
               [&](const ServerEntry& it) { return it.name == job.serverName || !isEvacuated(job, it.failureDomain); })
        > 1;
}

/// \returns the delay before the next attempt, or nothing when the request is not retried.
std::optional<Duration> Dispatcher::retryDelay(Job& job, const Answer& answer)
{
    const auto& call = job.request.call;
    const auto mayHaveCrashed = call.trial && answer.refusal.verdict != Verdict::NotRun;
    if (mayHaveCrashed || job.crashes >= config::crashesUntilTrial) {
        // The request itself may be what crashes the backend servers.
        return std::nullopt;
    }
    if (answer.refusal.verdict == Verdict::NotRun && !answer.arrived && job.serversReached == 0) {
        // No backend server has received the request: fail over at once, without using retry budget.
        return canFailOver(job, answer.refusal) ? std::optional(Duration::zero()) : std::nullopt;
    }
    if (isEvacuationRefusal(answer)) {
        // The retry budget was taken for an attempt that has reached no server, so that it covers the next one.
        return Duration::zero();
    }
    if (job.serversReached >= job.request.maxServers || m_retryBudget.available(call.service, m_timers.now()) < 1) {
        return std::nullopt;
    }
    const auto timeLeft = job.request.deadline - m_timers.now();
    auto wait = m_retryPolicy.next({ answer.refusal, call.idempotent, job.request.attempts, timeLeft, countedAttempts(job) }, m_random);
    if (wait) {
        m_retryBudget.tryTake(call.service, m_timers.now());
        job.request.call.repeated = true;
        if (answer.refusal.reason == Reason::BackendCrashed) {
            // Copies of the request may be crashing other backend servers at the same time.
            wait = std::max<Duration>(*wait, config::crashRetryDelay);
        }
    }
    return wait;
}

bool Dispatcher::canFailOver(const Job& job, const Refusal& refusal)
{
    if (!isRetryableReason(refusal.reason) || countedAttempts(job) >= config::maxDaemonsOffered || job.request.attempts == 0) {
        return false;
    }
    const auto& servers = m_directory.servers(job.request.call.service);
    const auto next = m_picker.pick(servers, pickContext(job), m_timers.now());
    // After an overload refusal, a server that is just as full would refuse as well: require free capacity.
    return next && (refusal.reason != Reason::Overloaded || m_picker.hasCapacity(servers[*next], m_timers.now()));
}

void Dispatcher::finish(std::uint64_t id, Answer answer)
{
    auto node = m_jobs.extract(id);
    auto& job = node.mapped();
    if (!answer.isComplete() && job.mayHaveRun) {
        answer.refusal.verdict = Verdict::MayHaveRun;
    }
    answer.attemptsUnused = job.request.attempts;
    job.done(std::move(answer));
}

void Dispatcher::finishWith(std::uint64_t id, Refusal refusal)
{
    const auto& job = m_jobs.at(id);
    Answer answer;
    // After a failed attempt, its refusal is more informative than the reason why no further attempt was made.
    answer.refusal = job.attemptsMade > 0 ? job.lastRefusal : refusal;
    finish(id, std::move(answer));
}

/// Ends a request for which no attempt is made, once the caller of attempt() has returned.
void Dispatcher::finishLater(std::uint64_t id, Refusal refusal)
{
    m_jobs.at(id).retryTimer = m_timers.after(Duration::zero(), [this, id, refusal] { finishWith(id, refusal); });
}

void Dispatcher::cancel(std::uint64_t id)
{
    auto node = m_jobs.extract(id);
    if (node.empty()) {
        return;
    }
    auto& job = node.mapped();
    m_timers.cancel(job.retryTimer);
    if (job.retryTimer == 0) {
        auto now = m_timers.now();
        m_picker.finished(job.serverName, RunOutcome::Cancelled, now - job.sentAt, nullptr, now, job.request.call.route);
        m_transport.cancel(job.callId);
    }
}

} // namespace pw
