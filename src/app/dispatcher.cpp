#include "app/dispatcher.h"

#include "config.h"

#include <algorithm>
#include <utility>

namespace pw {
namespace {

    constexpr int firstServerErrorStatus = 500;

    /// \returns how an answer counts for its server; a server that answers errors is no better than one that fails.
    RunOutcome outcomeOf(const Answer& answer)
    {
        if (answer.whole()) {
            return answer.status >= firstServerErrorStatus ? RunOutcome::Failed : RunOutcome::Ok;
        }
        switch (answer.refusal.reason) {
        case Reason::DeadlineExceeded:
            return answer.refusal.verdict == Verdict::NotRun ? RunOutcome::Refused : RunOutcome::Timeout;
        case Reason::Unreachable:
        case Reason::BackendFailed:
            return RunOutcome::Failed;
        default:
            return RunOutcome::Refused;
        }
    }

    /// \returns the part of \p budget kept for further attempts at this hop while one is under way.
    std::uint32_t reserved(std::uint32_t budget)
    {
        return budget / config::budgetReserveDivisor;
    }

} // namespace

Dispatcher::Dispatcher(const Settings& settings, CallTransport& transport, Timers& timers, EventLog& log, ServerDirectory& directory,
    std::uint64_t seed)
    : m_settings(settings)
    , m_transport(transport)
    , m_timers(timers)
    , m_log(log)
    , m_directory(directory)
    , m_random(seed)
    , m_picker(seed + 1)
    , m_budget(settings.retryBudget.ratio, settings.retryBudget.extra, settings.retryBudget.window)
{
    directory.onChanged([this](const std::string&) { followDirectory(); });
    transport.silenceChanged().connect(sigc::mem_fun(*this, &Dispatcher::noteSilence));
}

/// Each backend server stands beside a daemon, so their number is known from the view.
void Dispatcher::followDirectory()
{
    m_budget.configure(m_settings.retryBudget.ratio, m_settings.retryBudget.extra, m_settings.retryBudget.window);
    m_budget.setDaemons(m_directory.serverCount());
}

Dispatcher::~Dispatcher()
{
    std::ranges::for_each(m_jobs, [this](auto& it) { m_timers.cancel(it.second.backoff); });
    m_timers.cancel(m_leaveTimer);
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

const ServerEntry* Dispatcher::pick(const Job& job)
{
    const auto& servers = m_directory.servers(job.request.call.service);
    PickContext context { m_settings.failureDomain, m_settings.region, job.tried, {} };
    if (job.reached > 0) {
        // Others may have fallen silent with the server that was asked, and not be found out yet.
        context.heardSince = std::max<TimePoint>(job.sent, m_timers.now() - config::peerSilentAfter / 2);
    }
    auto index = m_picker.pick(servers, context, m_timers.now());
    if (!index && !job.tried.empty()) {
        // Every server was asked once; a refusal may have been of the moment.
        context.excluded.clear();
        index = m_picker.pick(servers, context, m_timers.now());
    }
    return index ? &servers[*index] : nullptr;
}

Call Dispatcher::callFor(const Job& job) const
{
    auto call = job.request.call;
    auto below = job.request.attempts - 1;
    call.attempts = below - reserved(below);
    call.timeLeft = std::chrono::duration_cast<std::chrono::microseconds>(job.request.deadline - m_timers.now());
    return call;
}

void Dispatcher::attempt(std::uint64_t id)
{
    auto& job = m_jobs.at(id);
    job.backoff = 0;
    auto now = m_timers.now();
    if (job.request.deadline <= now) {
        endWith(id, { Verdict::NotRun, Reason::DeadlineExceeded, {} });
        return;
    }
    if (job.request.attempts == 0) {
        endWith(id, { Verdict::NotRun, Reason::BudgetExhausted, {} });
        return;
    }
    const auto* server = pick(job);
    if (!server) {
        endWith(id, { Verdict::NotRun, Reason::NoBackendServer, config::noServerRetryAfter });
        return;
    }
    PW_EVENT(m_log, Event::RouteDecision, { "request", job.request.call.requestId }, { "route", job.request.call.route },
        { "server", server->name }, { "workspace", job.request.call.workspace }, { "depth", job.request.call.depth }, { "try", job.tries + 1 });
    ++job.tries;
    job.server = server->name;
    job.daemon = server->daemon;
    job.sent = now;
    job.tried.push_back(server->name);
    m_picker.started(server->name, now);
    if (job.tries == 1) {
        m_budget.sentFirst(job.request.call.service, now);
    }
    auto call = callFor(job);
    job.lent = call.attempts;
    job.request.attempts -= 1 + job.lent;
    auto handle = m_transport.start(server->daemon, std::move(call), [this, id](Answer answer) { answered(id, std::move(answer)); });
    if (auto it = m_jobs.find(id); it != m_jobs.end()) {
        it->second.call = handle;
    }
}

void Dispatcher::answered(std::uint64_t id, Answer answer)
{
    auto& job = m_jobs.at(id);
    auto now = m_timers.now();
    auto heard = answer.whole() || answer.load.limit > 0 || answer.load.leaving;
    m_picker.finished(job.server, outcomeOf(answer), now - job.sent, heard ? &answer.load : nullptr, now);
    auto neverArrived = answer.refusal.verdict == Verdict::NotRun && answer.refusal.reason == Reason::Unreachable;
    job.request.attempts += neverArrived ? job.lent : std::min(answer.attemptsUnused, job.lent);
    if (answer.arrived || answer.refusal.verdict == Verdict::MayHaveRun) {
        ++job.reached;
    }
    if (answer.whole()) {
        m_retries.onWhole();
        end(id, std::move(answer));
        return;
    }
    tryAgainOrEnd(id, std::move(answer));
}

void Dispatcher::tryAgainOrEnd(std::uint64_t id, Answer answer)
{
    auto& job = m_jobs.at(id);
    job.last = answer.refusal;
    job.mayHaveRun = job.mayHaveRun || answer.refusal.verdict != Verdict::NotRun;
    const auto wait = backoff(job, answer);
    PW_EVENT(m_log, Event::RetryDecision, { "request", job.request.call.requestId }, { "route", job.request.call.route },
        { "server", job.server }, { "reason", reasonInfo(answer.refusal.reason).name }, { "verdict", verdictName(answer.refusal.verdict) },
        { "reached", job.reached }, { "budget", m_budget.left(job.request.call.service, m_timers.now()) }, { "retry", wait.has_value() });
    if (!wait) {
        end(id, std::move(answer));
        return;
    }
    // From the loop also when at once: the answer may have come from within attempt().
    job.backoff = m_timers.after(*wait, [this, id] { attempt(id); });
}

/// Picks no silent daemon for new calls, and brings those that may run twice elsewhere.
void Dispatcher::noteSilence(const PeerAddress& daemon, bool silent)
{
    m_picker.setSilent(daemon, silent);
    if (silent) {
        m_silent.insert(daemon);
        leaveSilent();
    } else {
        m_silent.erase(daemon);
    }
}

/// Makes calls at silent daemons again elsewhere, as far as the budget goes, and the others when it has grown.
void Dispatcher::leaveSilent()
{
    m_timers.cancel(std::exchange(m_leaveTimer, 0));
    std::vector<std::uint64_t> waiting;
    for (const auto& [id, job] : m_jobs) {
        if (m_silent.contains(job.daemon) && isUnderWay(job) && job.request.call.idempotent) {
            waiting.push_back(id);
        }
    }
    for (const auto id : waiting) {
        // Each one that leaves draws on the budget of the next.
        if (const auto it = m_jobs.find(id); it != m_jobs.end() && isUnderWay(it->second) && canLeave(it->second)) {
            m_transport.cancel(it->second.call);
            Answer answer;
            answer.refusal = { Verdict::MayHaveRun, Reason::Unreachable, {} };
            answered(id, std::move(answer));
        }
    }
    if (!waiting.empty()) {
        m_leaveTimer = m_timers.after(config::peerWatchInterval, [this] { leaveSilent(); });
    }
}

bool Dispatcher::isUnderWay(const Job& job)
{
    return job.call != 0 && job.backoff == 0;
}

/// \returns whether a call under way can be made again elsewhere; otherwise its answer is waited for.
bool Dispatcher::canLeave(const Job& job) const
{
    const auto& call = job.request.call;
    const auto mayRepeat = call.idempotent && job.request.attempts > 0 && job.tries < config::maxTriesPerHop
        && job.reached + 1 < job.request.maxServers;
    return mayRepeat && m_retries.tokens() >= 1 && m_budget.left(call.service, m_timers.now()) >= 1
        && m_directory.servers(call.service).size() > 1;
}

/// \returns the time after which the request is tried again, or nothing when it is not.
std::optional<Duration> Dispatcher::backoff(Job& job, const Answer& answer)
{
    const auto& call = job.request.call;
    if (answer.refusal.verdict == Verdict::NotRun && !answer.arrived && job.reached == 0) {
        // No backend server has seen it: another daemon may take it over as if it had been asked first.
        return canHandOver(job, answer.refusal) ? std::optional(Duration::zero()) : std::nullopt;
    }
    if (job.reached >= job.request.maxServers || m_budget.left(call.service, m_timers.now()) < 1) {
        return std::nullopt;
    }
    const auto timeLeft = job.request.deadline - m_timers.now();
    auto wait = m_retries.next({ answer.refusal, call.idempotent, job.request.attempts, timeLeft, job.tries }, m_random);
    if (wait) {
        m_budget.take(call.service, m_timers.now());
        job.request.call.repeated = true;
    }
    return wait;
}

bool Dispatcher::canHandOver(const Job& job, const Refusal& refusal)
{
    if (!retryCanHelp(refusal.reason) || job.tries >= config::maxHandOvers || job.request.attempts == 0) {
        return false;
    }
    const auto& servers = m_directory.servers(job.request.call.service);
    const PickContext context { m_settings.failureDomain, m_settings.region, job.tried, {} };
    const auto next = m_picker.pick(servers, context, m_timers.now());
    // One that is as full as the one that refused would refuse as well.
    return next && (refusal.reason != Reason::Overloaded || m_picker.hasRoom(servers[*next], m_timers.now()));
}

void Dispatcher::end(std::uint64_t id, Answer answer)
{
    auto node = m_jobs.extract(id);
    auto& job = node.mapped();
    if (!answer.whole() && job.mayHaveRun) {
        answer.refusal.verdict = Verdict::MayHaveRun;
    }
    answer.attemptsUnused = job.request.attempts;
    job.done(std::move(answer));
}

void Dispatcher::endWith(std::uint64_t id, Refusal refusal)
{
    const auto& job = m_jobs.at(id);
    Answer answer;
    // Past the first attempt, what that attempt met says more than that no other could be made.
    answer.refusal = job.tries > 0 ? job.last : refusal;
    end(id, std::move(answer));
}

void Dispatcher::cancel(std::uint64_t id)
{
    auto node = m_jobs.extract(id);
    if (node.empty()) {
        return;
    }
    auto& job = node.mapped();
    m_timers.cancel(job.backoff);
    if (job.backoff == 0) {
        auto now = m_timers.now();
        m_picker.finished(job.server, RunOutcome::Cancelled, now - job.sent, nullptr, now);
        m_transport.cancel(job.call);
    }
}

} // namespace pw
