#include "node.h"

#include "config.h"

#include <algorithm>
#include <cmath>

namespace pw::measure {

namespace {

    /// How much faster than the crowding the work of a server with too many requests slows down; above one, more
    /// requests lower its throughput.
    constexpr double misledExponent = 1.5;

} // namespace

World::World(const DeploymentModel& deploymentModel, const StrategyModel& strategyModel, std::uint64_t seed)
    : deployment(deploymentModel)
    , strategy(strategyModel)
    , random(seed)
{
    for (std::size_t s = 0; s < deployment.services.size(); ++s) {
        const auto& service = deployment.services[s];
        std::vector<ServerEntry> servers;
        for (std::uint32_t n = 0; n < service.servers; ++n) {
            ServerEntry entry;
            entry.name = service.name + "-" + std::to_string(n);
            entry.service = service.name;
            entry.daemon = entry.name;
            entry.failureDomain = "d" + std::to_string(n % 3);
            entry.region = "r";
            entry.slots = service.slots;
            entry.connections = service.connections;
            servers.push_back(entry);
            nodes.push_back(std::make_unique<Node>(*this, entry, s));
            byName[entry.name] = nodes.back().get();
        }
        directory.push_back(std::move(servers));
    }
}

World::~World() = default;

Duration World::delayBetween(const Node& from, const Node& to) const
{
    if (&from == &to) {
        return Duration(0);
    }
    auto same = from.entry().failureDomain == to.entry().failureDomain;
    return same ? sameDomainDelay : deployment.domainDelay;
}

Duration World::sampleWork(std::size_t route, double busy)
{
    const auto& model = deployment.routes[route];
    auto factor = 0.5 + std::exponential_distribution<double>(2.0)(random);
    factor *= model.service == deployment.slowService ? slowFactor : 1;
    auto crowding = 2 * busy / deployment.services[model.service].slots;
    if (misled == Misled::Slows && model.service == deployment.misledService && crowding > 1) {
        factor *= std::pow(crowding, misledExponent);
    }
    return std::chrono::duration_cast<Duration>(model.work * factor);
}

void World::endRoot(Root& root, bool whole)
{
    root.ended = true;
    root.whole = whole;
    (whole ? totals.useful : totals.wasted) += root.work;
}

Node::Node(World& world, const ServerEntry& entry, std::size_t service)
    : m_world(world)
    , m_entry(entry)
    , m_service(service)
    , m_picker(world.random())
    , m_demand(m_board)
    , m_contexts([&world] {
        ContextTable::Token token;
        std::ranges::generate(token, [&world] { return static_cast<std::byte>(world.random()); });
        return token;
    })
{
    configureGate();
    if (world.strategy.limit.empty()) {
        return;
    }
    m_admission = std::make_unique<Admission>(makeLimit(world.strategy.limit, { entry.slots, entry.connections, true }));
    std::map<std::string, double> weights;
    for (std::size_t w = 0; w < world.deployment.workspaceRates.size(); ++w) {
        weights["w" + std::to_string(w)] = world.deployment.workspaceRates[w];
    }
    if (world.strategy.importance) {
        m_admission->setWorkspaceWeights(weights);
    }
}

void Node::configureGate()
{
    Deployment deployment;
    for (const auto& model : m_world.deployment.routes) {
        deployment.routes.push_back({ .name = model.name, .importance = model.importance, .open = true });
    }
    for (std::size_t w = 0; w < m_world.deployment.workspaceRates.size(); ++w) {
        deployment.workspaces.push_back({ .name = "w" + std::to_string(w), .rate = m_world.deployment.workspaceRates[w] });
    }
    m_gate.configure(deployment);
}

void Node::updateDemand()
{
    const auto now = m_world.events.now();
    m_demand.update(m_admission->capacity(now), m_admission->expectedNestedWait(now), now);
}

Answer Node::signedAnswer(const Request& request, Answer answer)
{
    if (!m_admission) {
        return answer;
    }
    updateDemand();
    answer.load = m_admission->loadHint(m_world.events.now());
    answer.demands = m_demand.demandsToReport(*request.from, m_world.deployment.routes[request.route].name, m_entry.service, m_world.events.now());
    return answer;
}

void Node::receive(std::uint64_t id, const Request& request, Done done)
{
    auto refuse = [&](const Refusal& refusal) {
        Answer answer;
        answer.refusal = refusal;
        answer.attemptsUnused = request.attempts - 1;
        done(signedAnswer(request, answer));
    };
    auto now = m_world.events.now();
    if (!m_admission) {
        if (m_runs.size() >= m_entry.connections) {
            refuse({ Verdict::NotRun, Reason::BackendRefused, config::minRetryAfter });
            return;
        }
        m_runs.emplace(id, std::make_shared<Run>(Run { request, std::move(done) }));
        m_world.events.at(request.deadline, [this, id] { timeOut(id); });
        begin(id);
        return;
    }
    AdmissionItem item { id, request.rank, request.nested, request.workspace, request.deadline };
    if (!m_world.strategy.importance) {
        item = { id, Importance::Normal, false, {}, request.deadline };
    }
    if (request.nested) {
        m_demand.nestedCallArrived(m_world.deployment.routes[request.route].name, now);
    }
    auto result = m_admission->offer(item, now);
    if (result.outcome == AdmissionOutcome::Refused) {
        refuse(result.refusal);
    } else {
        m_runs.emplace(id, std::make_shared<Run>(Run { request, std::move(done) }));
        m_world.events.at(request.deadline, [this, id] { timeOut(id); });
    }
    if (result.outcome == AdmissionOutcome::Started) {
        begin(id);
    }
    pollAdmission();
}

void Node::pollAdmission()
{
    auto work = m_admission->poll(m_world.events.now());
    for (const auto& shed : work.shed) {
        if (auto it = m_runs.find(shed.id); it != m_runs.end()) {
            finish(shed.id, it->second, RunOutcome::Refused, shed.refusal);
        }
    }
    std::ranges::for_each(work.start, [this](auto id) { begin(id); });
    scheduleWake();
}

void Node::scheduleWake()
{
    auto wake = m_admission->nextWake();
    if (!wake || (m_wake && *m_wake <= *wake && *m_wake > m_world.events.now())) {
        return;
    }
    auto time = std::max(*wake, m_world.events.now() + std::chrono::milliseconds(1));
    m_wake = time;
    m_world.events.at(time, [this, time] {
        if (m_wake == time) {
            m_wake.reset();
            pollAdmission();
        }
    });
}

void Node::begin(std::uint64_t id)
{
    auto it = m_runs.find(id);
    if (it == m_runs.end()) {
        return;
    }
    if (m_world.misled == Misled::Refuses && m_service == m_world.deployment.misledService && 2 * m_busy >= m_entry.slots) {
        finish(id, it->second, RunOutcome::Refused, { Verdict::NotRun, Reason::BackendRefused, config::minRetryAfter });
        return;
    }
    if (m_busy >= m_entry.slots) {
        m_backlog.push_back(id);
        return;
    }
    work(id, it->second);
}

void Node::work(std::uint64_t id, const RunPtr& run)
{
    ++m_busy;
    run->working = true;
    run->began = m_world.events.now();
    m_demand.started(m_world.deployment.routes[run->request.route].name);
    auto duration = m_world.sampleWork(run->request.route, m_busy);
    m_world.events.after(duration, [this, id, run, duration] {
        auto& root = *run->request.root;
        if (!run->working) {
            return;
        }
        run->workDone = true;
        if (root.ended) {
            (root.whole ? m_world.totals.useful : m_world.totals.wasted) += duration;
        } else {
            root.work += duration;
        }
        callNested(id, run);
    });
}

void Node::callNested(std::uint64_t id, const RunPtr& run)
{
    const auto& nested = m_world.deployment.routes[run->request.route].nested;
    if (nested.empty()) {
        finish(id, run, RunOutcome::Ok, {});
        return;
    }
    Call call;
    call.id = id;
    call.route = m_world.deployment.routes[run->request.route].name;
    call.workspace = run->request.workspace;
    call.rank = run->request.rank;
    call.attempts = run->request.attempts - 1;
    call.depth = run->request.depth;
    call.timeLeft = std::chrono::duration_cast<std::chrono::microseconds>(run->request.deadline - m_world.events.now());
    run->token = m_contexts.open(call, m_world.events.now());
    run->pendingNested = nested.size();
    for (auto route : nested) {
        auto granted = m_contexts.beginNested(run->token, m_world.events.now());
        if (!granted.grant) {
            Answer answer;
            answer.refusal = granted.refusal;
            nestedDone(id, run, route, answer);
            return;
        }
        m_demand.nestedCallSent(m_world.deployment.routes[route].name);
        Request request { route, run->request.workspace, run->request.rank, run->request.deadline, true,
            granted.grant->depth, granted.grant->attempts, run->request.root };
        run->cancelNested.push_back(
            send(request, [this, id, run, route](const Answer& answer) { nestedDone(id, run, route, answer); }));
        if (!run->working) {
            return;
        }
    }
}

void Node::nestedDone(std::uint64_t id, const RunPtr& run, std::size_t route, const Answer& answer)
{
    const auto& service = m_world.deployment.services[m_world.deployment.routes[route].service].name;
    m_contexts.endNested(run->token, answer.attemptsUnused, service, &answer, m_world.events.now());
    if (!run->working) {
        return;
    }
    if (!answer.isComplete()) {
        // The backend server gives up on its own request at the first nested failure, and says so as an error page.
        finish(id, run, RunOutcome::Ok, { Verdict::Ran, Reason::BackendFailed, {} });
    } else if (--run->pendingNested == 0) {
        finish(id, run, RunOutcome::Ok, {});
    }
}

void Node::finish(std::uint64_t id, RunPtr run, // NOLINT(performance-unnecessary-value-param) the map may hold the last other reference
    RunOutcome outcome, const Refusal& refusal)
{
    auto now = m_world.events.now();
    freeSlot(run);
    ClosedContext closed;
    closed.attemptsUnused = run->request.attempts - 1;
    if (!run->token.empty()) {
        closed = m_contexts.close(run->token, now);
    }
    auto cancelNested = std::move(run->cancelNested);
    run->cancelNested.clear();
    std::ranges::for_each(cancelNested, [](const auto& action) { action(); });
    if (m_admission) {
        m_admission->finish(id, { outcome, closed.nestedTime }, now);
    }
    m_runs.erase(id);
    if (!run->answered) {
        run->answered = true;
        Answer answer;
        answer.refusal = refusal;
        answer.attemptsUnused = closed.attemptsUnused;
        answer.downstream = closed.downstream;
        answer.saturated = closed.saturated;
        run->done(signedAnswer(run->request, answer));
    }
    if (m_admission) {
        m_world.events.after(Duration(0), [this] { pollAdmission(); });
    }
}

void Node::freeSlot(const RunPtr& run)
{
    if (!run->working) {
        return;
    }
    run->working = false;
    --m_busy;
    if (!run->workDone) {
        m_world.totals.wasted += m_world.events.now() - run->began;
    }
    std::chrono::duration<double> held = m_world.events.now() - run->began;
    m_demand.ended(m_world.deployment.routes[run->request.route].name, m_world.events.now() - run->began, m_world.events.now());
    run->request.root->slotSeconds[m_service] += held.count();
    if (!m_backlog.empty()) {
        auto id = m_backlog.front();
        m_backlog.pop_front();
        m_world.events.after(Duration(0), [this, id] { begin(id); });
    }
}

void Node::timeOut(std::uint64_t id)
{
    auto it = m_runs.find(id);
    if (it == m_runs.end()) {
        return;
    }
    auto run = it->second;
    Refusal refusal { Verdict::MayHaveRun, Reason::DeadlineExceeded, {} };
    if (m_admission) {
        finish(id, run, RunOutcome::Timeout, refusal);
        return;
    }
    // Nobody tells the backend server: it goes on with work that nobody waits for.
    run->answered = true;
    Answer answer;
    answer.refusal = refusal;
    run->done(answer);
}

void Node::cancel(std::uint64_t id)
{
    auto it = m_runs.find(id);
    if (it == m_runs.end() || !m_admission) {
        return;
    }
    auto run = it->second;
    run->answered = true;
    m_admission->cancel(id, m_world.events.now());
    finish(id, run, RunOutcome::Cancelled, { Verdict::MayHaveRun, Reason::Cancelled, {} });
}

} // namespace pw::measure
