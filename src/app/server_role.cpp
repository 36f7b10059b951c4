#include "app/server_role.h"

#include "adapters/codec_call.h"
#include "adapters/crypto.h"
#include "adapters/http_status.h"
#include "config.h"
#include "core/header_rules.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <utility>
#include <vector>

namespace pw {
namespace {

    /// Random tokens, drawn in batches: each draw costs system calls, whatever its size.
    class TokenSource {
    public:
        ContextTable::Token operator()()
        {
            if (m_unused.empty()) {
                m_unused = crypto::randomBytes(tokensPerDraw * ContextTable::tokenBytes);
            }
            ContextTable::Token token;
            std::memcpy(token.data(), m_unused.data() + m_unused.size() - token.size(), token.size());
            m_unused.resize(m_unused.size() - token.size());
            return token;
        }

    private:
        static constexpr std::size_t tokensPerDraw = 32;

        std::string m_unused;
    };

    std::unique_ptr<Limit> limitFrom(const Settings& settings)
    {
        const LimitSettings initial { .start = settings.limitStart };
        auto limit = makeLimit(settings.limitStrategy.empty() ? defaultLimitName() : settings.limitStrategy, initial);
        return limit ? std::move(limit) : makeLimit(defaultLimitName(), initial);
    }

    std::string rateText(const std::optional<double>& requestsPerSecond)
    {
        return requestsPerSecond ? std::to_string(*requestsPerSecond) : "none";
    }

    RunOutcome outcomeOf(const Refusal& refusal)
    {
        switch (refusal.reason) {
        case Reason::None:
            return RunOutcome::Ok;
        case Reason::DeadlineExceeded:
            return RunOutcome::Timeout;
        case Reason::BackendRefused:
            return RunOutcome::Refused;
        default:
            return RunOutcome::Failed;
        }
    }

} // namespace

ServerRole::ServerRole(StreamLoop& loop, const Settings& settings, PeerNetwork& network, Timers& timers, EventLog& log,
    ServerDirectory& directory, FleetView& fleet, const BackendProtocol& protocol, const DemandCache& board,
    SlotPriceTable* prices)
    : m_network(network)
    , m_timers(timers)
    , m_log(log)
    , m_directory(directory)
    , m_fleet(fleet)
    , m_protocol(protocol)
    , m_settings(settings)
    , m_client(loop, timers, protocol)
    , m_admission(limitFrom(settings))
    , m_warmUp({ timers, log, protocol, settings, m_client, m_admission.warmUp(), m_admission.rate() })
    , m_demand(board, prices ? directPriceControl : PriceControl {})
    , m_prices(prices)
    , m_contexts(TokenSource())
    , m_results(timers)
{
    m_entry.name = settings.name;
    m_entry.daemon = settings.peerAddress;
    m_entry.failureDomain = settings.failureDomain;
    m_entry.region = settings.region;
    // Incarnations must increase across restarts of this process. It has no persistent storage, so use the wall clock.
    m_entry.incarnation = static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() / std::chrono::microseconds(1));
    network.onMessage(MessageKind::Call, [this](const PeerAddress& from, std::span<const std::byte> message) { onCall(from, message); });
    network.onMessage(MessageKind::Cancel, [this](const PeerAddress& from, std::span<const std::byte> message) { onCancel(from, message); });
    m_warmUp.rateChanged().connect([this] { onWarmUpRateChanged(); });
    m_warmUp.limitLifted().connect([this] { processQueue(); });
    network.onLost([this](const PeerAddress& peer) { onPeerLost(peer); });
    fleet.onChanged([this] { updateEvacuation(); });
    updateEvacuation();
}

ServerRole::~ServerRole()
{
    m_timers.cancel(m_leaseTimer);
    m_timers.cancel(m_leaveTimer);
    m_timers.cancel(m_wakeTimer);
    m_timers.cancel(m_isolationTimer);
    m_timers.cancel(m_crashTimer);
}

void ServerRole::setWorkspaceWeights(std::map<std::string, double> rates)
{
    m_admission.setWorkspaceWeights(std::move(rates));
}

LoadHint ServerRole::load() const
{
    auto hint = m_admission.loadHint(m_timers.now());
    hint.leaving = m_entry.leaving || !m_announced;
    hint.backendStart = m_backendId;
    hint.departed = m_serverLeft;
    return hint;
}

void ServerRole::onCall(const PeerAddress& from, std::span<const std::byte> message)
{
    auto call = decodeCall(message);
    if (!call) {
        PW_EVENT(m_log, Event::FrameRefused, { "peer", from }, { "why", "not a call" });
        return;
    }
    run(from, std::move(*call), [this, from](const Answer& answer) { m_network.send(from, MessageKind::Answer, encodeAnswer(answer)); });
}

void ServerRole::onCancel(const PeerAddress& from, std::span<const std::byte> message)
{
    if (auto callId = decodeCancel(message)) {
        cancel(from, *callId);
    }
}

std::optional<Refusal> ServerRole::immediateRefusal(const Call& call) const
{
    if (m_evacuated) {
        return Refusal { Verdict::NotRun, Reason::Evacuated, {} };
    }
    if (m_admissionStopped) {
        return Refusal { Verdict::NotRun, Reason::Leaving, {} };
    }
    // The backend server may have been replaced by one of another service.
    if (!m_announced || call.service != m_entry.service) {
        return Refusal { Verdict::NotRun, Reason::NoBackendServer, {} };
    }
    return quarantineRefusal(call);
}

void ServerRole::run(const PeerAddress& from, Call call, Done done)
{
    // The limit may have been stated to an earlier process of this daemon.
    if (call.statedRate && m_backendId != 0 && call.statedRate->backendStart == m_backendId) {
        m_admission.rate().adopt(call.statedRate->requestsPerSecond, m_timers.now());
        reportRate(m_timers.now());
    }
    auto id = ++m_lastId;
    PendingCall work;
    work.key = { from, call.id };
    work.arrived = m_timers.now();
    stopAdmittingIfDue();
    work.deadline = work.arrived + call.timeLeft;
    work.call = std::move(call);
    work.done = std::move(done);
    m_idsByKey.emplace(work.key, id);
    m_calls.emplace(id, std::move(work));
    if (auto refusal = immediateRefusal(m_calls.at(id).call)) {
        refuse(id, *refusal);
        return;
    }
    if (m_calls.at(id).call.nested) {
        m_demand.nestedCallArrived(m_calls.at(id).call.route, m_timers.now());
    }
    if (!waitForIsolation(id)) {
        admit(id);
    }
    processQueue();
}

void ServerRole::updateDemand()
{
    const auto now = m_timers.now();
    m_demand.update(m_admission.capacity(now), m_admission.expectedNestedWait(now), now);
    reportPrice(now);
}

/// Logs changes of the slot price by a step of config::priceLogStep, at most once per config::priceLogInterval.
void ServerRole::reportPrice(TimePoint now)
{
    const auto price = m_demand.price();
    const auto step = price > 0 ? static_cast<int>(std::floor(std::log2(price) / config::priceLogStep)) + 1 : 0;
    if (step == m_priceStep || now - m_priceReported < config::priceLogInterval) {
        return;
    }
    m_priceStep = step;
    m_priceReported = now;
    PW_EVENT(m_log, Event::PriceChanged, { "service", m_entry.service }, { "price", price }, { "offered", m_demand.offered(now) },
        { "slots", m_admission.capacity(now) }, { "limit", m_admission.limit() }, { "running", m_admission.running() },
        { "queued", m_admission.queued() },
        { "nested_wait_ms", std::chrono::duration_cast<std::chrono::milliseconds>(m_admission.expectedNestedWait(now)).count() });
}

void ServerRole::admit(std::uint64_t id)
{
    const auto& work = m_calls.at(id);
    AdmissionItem item { id, work.call.rank, work.call.nested, work.call.workspace, work.deadline };
    const auto limited = !m_admission.warmUp().hasToken(m_timers.now());
    auto result = m_admission.offer(item, m_timers.now());
    if (limited && result.outcome != AdmissionOutcome::Started) {
        recordHeldBack(result.outcome == AdmissionOutcome::Queued ? WarmUpOutcome::Waited : WarmUpOutcome::Refused);
    }
    if (result.outcome == AdmissionOutcome::Started) {
        startRun(id);
    } else if (result.outcome == AdmissionOutcome::Refused) {
        refuse(id, result.refusal);
    }
}

void ServerRole::onWarmUpRateChanged()
{
    const auto began = m_entry.warmUpRate == 0 && m_warmUp.rate() > 0;
    publish();
    if (began) {
        // Most of the calls that were queued before can no longer run in time and are refused, so that other servers run them.
        std::ranges::for_each(m_admission.removeAllQueued(), [this](std::uint64_t id) { admit(id); });
        processQueue();
    }
}

void ServerRole::recordHeldBack(WarmUpOutcome outcome)
{
    m_warmUp.recordHeldBack(outcome);
    m_heldBack.emit(outcome);
}

HttpRequest ServerRole::requestFor(std::uint64_t id, const PendingCall& work) const
{
    // A backend server that stops work before the end of a planned stop still answers through this daemon.
    const auto limit = m_stop ? std::max<Duration>(m_stop->workDeadline() - m_timers.now(), std::chrono::milliseconds(1)) : Duration::max();
    return m_protocol.request({ work.call, exchangeId(id), m_lastAnnouncement.instance, work.token,
        std::chrono::ceil<std::chrono::milliseconds>(std::min(timeLeft(work), limit)) });
}

Duration ServerRole::timeLeft(const PendingCall& work) const
{
    return std::max<Duration>(work.deadline - m_timers.now(), std::chrono::milliseconds(1));
}

std::string ServerRole::exchangeId(std::uint64_t id) const
{
    return std::to_string(m_entry.incarnation) + "-" + std::to_string(id);
}

/// Starts a call whose turn has come, unless something that it was checked for on arrival has changed while it waited.
/// \returns whether it was started; otherwise its slot is free again.
bool ServerRole::startRun(std::uint64_t id)
{
    auto& work = m_calls.at(id);
    if (const auto refusal = immediateRefusal(work.call)) {
        m_admission.cancel(id, m_timers.now());
        refuse(id, *refusal);
        return false;
    }
    if (!m_isolated.contains(id) && waitForIsolation(id)) {
        m_admission.cancel(id, m_timers.now());
        return false;
    }
    work.running = true;
    work.startedAt = m_timers.now();
    work.backendId = m_backendId;
    m_demand.started(work.call.route);
    if (m_protocol.usesContextTokens()) {
        work.token = m_contexts.open(work.call, m_timers.now());
    }
    work.exchange = m_client.start(requestFor(id, work), timeLeft(work), work.call.idempotent,
        [this, id](BackendResult result) { onRunFinished(id, std::move(result)); });
    return true;
}

void ServerRole::onStatement(const PendingCall& work, const BackendStatement& statement)
{
    if (work.backendId != m_backendId) {
        return; // From an earlier start of the backend server.
    }
    if (statement.readable) {
        const auto now = m_timers.now();
        m_admission.rate().learn(statement.requestsPerSecond, work.startedAt, now);
        reportRate(now);
    } else {
        PW_EVENT(m_log, Event::BackendStatementUnreadable, { "request", work.call.requestId }, { "instance", m_lastAnnouncement.instance });
    }
    if (statement.leaving && !m_serverLeft) {
        PW_EVENT(m_log, Event::BackendStatedLeaving, { "request", work.call.requestId }, { "service", m_entry.service },
            { "instance", m_lastAnnouncement.instance });
        m_statedLeaving = true;
        onServerLeaving();
    }
}

/// Logs changes of the stated rate limit, at most once per config::rateLogInterval.
void ServerRole::reportRate(TimePoint now)
{
    const auto rate = rateLimit();
    if (rate == m_reportedRate || now - m_rateReported < config::rateLogInterval) {
        return;
    }
    PW_EVENT(m_log, Event::BackendRateChanged, { "service", m_entry.service }, { "instance", m_lastAnnouncement.instance }, { "rate", rateText(rate) },
        { "previous", rateText(m_reportedRate) }, { "running", m_admission.running() }, { "queued", m_admission.queued() });
    m_reportedRate = rate;
    m_rateReported = now;
}

/// Logs the beginning, steps back and the end of a start ramp; steps back at most once per config::rampLogInterval.
void ServerRole::reportRamp(TimePoint now)
{
    const auto& ramp = startRamp();
    const auto state = ramp.state();
    const auto micros = [](Duration time) { return std::chrono::duration_cast<std::chrono::microseconds>(time).count(); };
    if (state.begun != m_reportedRamp.begun) {
        PW_EVENT(m_log, Event::StartRampBegan, { "service", m_entry.service }, { "instance", m_lastAnnouncement.instance },
            { "cause", rampCauseName(m_admission.rampCause()) }, { "bound", ramp.bound() }, { "slots", m_entry.slots },
            { "reference_micros", micros(state.reference) });
        m_reportedRamp = state;
        m_rampEndReported = false;
    } else if (state.stepsBack != m_reportedRamp.stepsBack && now - m_stepBackReported >= config::rampLogInterval) {
        PW_EVENT(m_log, Event::StartRampSteppedBack, { "service", m_entry.service }, { "instance", m_lastAnnouncement.instance },
            { "steps", state.stepsBack - m_reportedRamp.stepsBack }, { "bound", ramp.bound() }, { "round_micros", micros(state.lastRound) },
            { "reference_micros", micros(state.reference) });
        m_reportedRamp = state;
        m_stepBackReported = now;
    }
    if (ramp.isDone() && !m_rampEndReported) {
        PW_EVENT(m_log, Event::StartRampEnded, { "service", m_entry.service }, { "instance", m_lastAnnouncement.instance }, { "bound", ramp.bound() },
            { "round_micros", micros(state.lastRound) }, { "reference_micros", micros(state.reference) });
        m_rampEndReported = true;
    }
}

/// \returns the work time of a run that ended with a complete response; empty with PickBy::Load. Errors are left out: a server
/// that fails at once must not look fast.
std::optional<Duration> ServerRole::recordPace(const PendingCall& work, const BackendResult& result, Duration nestedTime)
{
    const auto isWhole = result.refusal.reason == Reason::None && result.response.status < http_status::internalError;
    if (m_settings.pickBy != PickBy::Completion || !isWhole || work.backendId != m_backendId) {
        return std::nullopt;
    }
    const auto now = m_timers.now();
    const auto workTime = std::max(now - work.startedAt - nestedTime, Duration(0));
    m_pace.add(work.call.route, workTime, now);
    return workTime;
}

ClosedContext ServerRole::closeContext(const PendingCall& work)
{
    if (work.token.empty()) {
        return { work.call.attempts, {}, {}, {} };
    }
    auto closed = m_contexts.close(work.token, m_timers.now());
    m_results.add([this, token = work.token] { m_contextClosed.emit(token); });
    return closed;
}

void ServerRole::onRunFinished(std::uint64_t id, BackendResult result)
{
    auto& work = m_calls.at(id);
    auto now = m_timers.now();
    auto context = closeContext(work);
    m_demand.ended(work.call.route, now - work.startedAt, now);
    m_runFinished.emit({ work.call.route, work.startedAt - work.arrived, now - work.startedAt, recordPace(work, result, context.nestedTime) });
    m_admission.finish(id, { outcomeOf(result.refusal), context.nestedTime }, now);
    reportRamp(now);
    if (result.statement) {
        onStatement(work, *result.statement);
    }
    Answer reply;
    reply.refusal = result.refusal;
    reply.arrived = result.sent;
    reply.status = result.response.status;
    reply.headers = std::move(result.response.headers);
    reply.body = std::move(result.response.body);
    reply.attemptsUnused = context.attemptsUnused;
    reply.downstream = std::move(context.downstream);
    reply.saturated = std::move(context.saturated);
    if (!reply.isComplete()) {
        PW_EVENT(m_log, Event::BackendFailed, { "request", work.call.requestId }, { "route", work.call.route },
            { "reason", reasonInfo(result.refusal.reason).name }, { "verdict", verdictName(result.refusal.verdict) },
            { "detail", result.detail }, { "instance", m_lastAnnouncement.instance });
    }
    if (reply.isComplete() && reply.status >= http_status::internalError) {
        PW_EVENT(m_log, Event::BackendError, { "request", work.call.requestId }, { "route", work.call.route }, { "status", reply.status },
            { "instance", m_lastAnnouncement.instance }, { "micros", std::chrono::duration_cast<std::chrono::microseconds>(now - work.startedAt).count() });
    }
    recordSuspectRun(id, reply);
    const auto report = end(id, std::move(reply));
    processQueue();
    report();
}

void ServerRole::refuse(std::uint64_t id, Refusal refusal)
{
    const auto& call = m_calls.at(id).call;
    const auto isEvacuation = refusal.reason == Reason::Evacuated;
    PW_EVENT(m_log, isEvacuation ? Event::EvacuationRefused : Event::AdmissionRefused, { "request", call.requestId }, { "route", call.route }, { "workspace", call.workspace },
        { "rank", std::to_string(call.rank.workspace) + "." + std::to_string(call.rank.route) }, { "reason", reasonInfo(refusal.reason).name },
        { "running", m_admission.running() }, { "queued", m_admission.queued() }, { "limit", m_admission.limit() },
        { "rate", rateText(rateLimit()) }, { "retry_ms", refusal.retryAfter.count() });
    if (isEvacuation) {
        m_evacuationRefused.emit(call.route);
    }
    Answer reply;
    reply.refusal = refusal;
    reply.attemptsUnused = call.attempts;
    answerLater(id, std::move(reply));
}

/// Removes a call. \returns a function that reports its answer.
std::function<void()> ServerRole::end(std::uint64_t id, Answer answer)
{
    endIsolation(id);
    auto node = m_calls.extract(id);
    m_idsByKey.erase(node.mapped().key);
    answer.id = node.mapped().call.id;
    answer.load = load();
    answer.load.workTime = m_pace.workTime(node.mapped().call.route, m_timers.now());
    updateDemand();
    answer.demands = m_demand.demandsToReport(node.mapped().key.first, node.mapped().call.route, m_entry.service, m_timers.now());
    addPrices(node.mapped().key.first, answer);
    return [done = std::move(node.mapped().done), answer = std::move(answer)]() mutable { done(std::move(answer)); };
}

void ServerRole::answerLater(std::uint64_t id, Answer answer)
{
    m_results.add(end(id, std::move(answer)));
}

void ServerRole::addPrices(const PeerAddress& receiver, Answer& answer)
{
    if (!m_prices) {
        return;
    }
    if (m_announced) {
        m_prices->recordOwn(m_entry.service, m_entry.name, m_demand.price(), m_timers.now());
    }
    if (receiver != m_network.self()) {
        answer.prices = m_prices->pricesFor(receiver, m_timers.now());
    }
}

void ServerRole::cancel(const PeerAddress& from, std::uint64_t callId)
{
    auto entry = m_idsByKey.find({ from, callId });
    if (entry == m_idsByKey.end()) {
        return;
    }
    auto id = entry->second;
    endIsolation(id);
    auto node = m_calls.extract(id);
    m_idsByKey.erase(entry);
    const auto& work = node.mapped();
    if (work.running) {
        m_demand.ended(work.call.route, m_timers.now() - work.startedAt, m_timers.now());
        m_client.cancel(work.exchange);
        closeContext(work);
    }
    m_admission.cancel(id, m_timers.now());
    processQueue();
}

void ServerRole::onPeerLost(const PeerAddress& peer)
{
    if (m_prices) {
        m_prices->forgetPeer(peer);
    }
    std::vector<std::uint64_t> orphans;
    for (const auto& [id, work] : m_calls) {
        // A non-idempotent request that is already running is left to finish.
        if (work.key.first == peer && (!work.running || work.call.idempotent)) {
            orphans.push_back(work.key.second);
        }
    }
    std::ranges::for_each(orphans, [&](std::uint64_t callId) { cancel(peer, callId); });
}

/// Starts the queued calls whose turn has come and refuses those that were shed. \returns whether a slot is free again because a
/// call was not started.
bool ServerRole::pollQueue()
{
    const auto ready = m_admission.poll(m_timers.now());
    reportRamp(m_timers.now());
    const auto limited = !m_admission.warmUp().hasToken(m_timers.now());
    const auto started = std::ranges::count_if(ready.start, [this](std::uint64_t id) { return startRun(id); });
    std::ranges::for_each(ready.shed, [&](const ShedRequest& it) {
        if (limited) {
            recordHeldBack(WarmUpOutcome::Refused);
        }
        refuse(it.id, it.refusal);
    });
    return started < std::ranges::ssize(ready.start);
}

void ServerRole::processQueue()
{
    stopAdmittingIfDue();
    while (pollQueue()) { }
    m_timers.cancel(std::exchange(m_wakeTimer, 0));
    if (auto wake = m_admission.nextWake()) {
        m_wakeTimer = m_timers.after(*wake - m_timers.now(), [this] {
            m_wakeTimer = 0;
            processQueue();
        });
    }
}

} // namespace pw
