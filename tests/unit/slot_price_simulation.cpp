#include "slot_price_simulation.h"

#include "ports/random.h"
#include "support/slot_price_fleet.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <memory>
#include <numbers>
#include <queue>
#include <tuple>

namespace pw::play {
namespace {

    using namespace detail;

    class Fleet {
    public:
        Fleet(const PricePlay& play, PriceMode mode, std::uint64_t seed, const PriceControl& control);
        PriceResult run();

    private:
        enum class End : std::uint8_t {
            Ok,
            Refused, ///< Not run.
            Failed,
        };

        void at(TimePoint time, std::function<void()> action) { m_events.push({ time, ++m_eventCount, std::move(action) }); }
        double demandAt(TimePoint time) const;
        void scheduleFaults();
        void changeStalls();
        void crashHalf();
        void nextRoot(const Kind& kind);
        void rootArrives(const Kind& kind);
        bool pick(const JobPtr& job, bool withCapacity);
        void send(const JobPtr& job);
        void arrive(const JobPtr& job);
        void begin(const JobPtr& job);
        void segment(const JobPtr& job);
        void endSegment(const JobPtr& job, Duration time);
        void poll(Server& server);
        void endRun(const JobPtr& job, End end);
        void answer(const JobPtr& job, End end);
        void onAnswer(const JobPtr& job, End end, const LoadHint* hint);
        void done(const JobPtr& job, End end);
        void endRoot(const Root& root, End end);
        bool isCut(const Daemon& from, const Daemon& to) const;
        bool isWithin(Duration begin) const { return begin > Duration(0) && m_now >= m_begin + begin && m_now < m_begin + begin + faultLength; }
        bool isStarted(const Kind& kind) const { return kind.perSecond > 0; }

        struct Event {
            TimePoint time;
            std::uint64_t order;
            std::function<void()> action;
            bool operator<(const Event& other) const { return std::tie(time, order) > std::tie(other.time, other.order); }
        };
        struct Second {
            int sent = 0;
            int inTime = 0;
        };

        PricePlay m_play;
        PriceMode m_mode;
        Random m_arrivals;
        Random m_random;
        std::priority_queue<Event> m_events;
        std::uint64_t m_eventCount = 0;
        std::uint64_t m_lastJob = 0;
        const TimePoint m_begin { 1h };
        TimePoint m_now = m_begin;
        Rank m_rank;
        std::vector<std::unique_ptr<Daemon>> m_daemons;
        std::vector<std::unique_ptr<Server>> m_servers;
        std::array<std::vector<ServerEntry>, services.size()> m_view;
        std::vector<Second> m_seconds;
        PriceResult m_result;
    };

    Fleet::Fleet(const PricePlay& play, PriceMode mode, std::uint64_t seed, const PriceControl& control)
        : m_play(play)
        , m_mode(mode)
        , m_arrivals(seed)
        , m_random(seed + 1000)
        , m_seconds(static_cast<std::size_t>(play.length / 1s) + 1)
    {
        Deployment deployment;
        for (const auto& it : rootKinds) {
            deployment.routes.push_back({ .name = it.route, .service = services.at(it.service).name, .open = true });
        }
        m_rank = rankOf(deployment.routes.front(), 0);
        for (std::size_t n = 0; n < daemons; ++n) {
            m_daemons.push_back(std::make_unique<Daemon>(n, seed * daemons + n));
            m_daemons.back()->throttle.configure(deployment);
            std::ranges::for_each(services, [&](const auto& it) { m_daemons.back()->prices.setServerCount(it.name, it.servers); });
        }
        for (std::size_t service = 0; service < services.size(); ++service) {
            const auto& spec = services.at(service);
            for (std::size_t n = 0; n < spec.servers; ++n) {
                auto& daemon = *m_daemons.at(m_servers.size());
                m_servers.push_back(std::make_unique<Server>(spec, n, daemon, control));
                const auto& server = *m_servers.back();
                m_view.at(service).push_back({ std::to_string(m_servers.size() - 1), spec.name, daemon.address, daemon.domain, "r", server.slots, 1000 });
            }
        }
    }

    PriceResult Fleet::run()
    {
        std::ranges::for_each(rootKinds, [this](const Kind& it) { nextRoot(it); });
        scheduleFaults();
        // Roots that are under way at the end of the measured time still end.
        const auto end = m_begin + m_play.length + 6s;
        while (!m_events.empty() && m_events.top().time < end) {
            // The top is const only to protect the order, which the action does not take part in.
            const auto action = std::move(const_cast<Event&>(m_events.top()).action); // NOLINT(cppcoreguidelines-pro-type-const-cast)
            m_now = m_events.top().time;
            m_events.pop();
            action();
        }
        for (auto n = static_cast<std::size_t>(warmUp / 1s); n < static_cast<std::size_t>(m_play.length / 1s); ++n) {
            const auto& it = m_seconds.at(n);
            m_result.worstSecond = std::min(m_result.worstSecond, static_cast<double>(it.inTime) / std::max(it.sent, 1));
        }
        return m_result;
    }

    double Fleet::demandAt(TimePoint time) const
    {
        const auto passed = time - m_begin;
        const auto isStep = m_play.step > 0 && passed >= m_play.stepBegin && passed < m_play.stepBegin + m_play.stepLength;
        const auto wave = 1 + m_play.amplitude * std::sin(2 * std::numbers::pi * seconds(passed) / wavePeriod);
        return (isStep ? m_play.step : m_play.demand) * wave;
    }

    void Fleet::scheduleFaults()
    {
        changeStalls();
        if (m_play.crashAt > Duration(0)) {
            at(m_begin + m_play.crashAt, [this] { crashHalf(); });
        }
        if (m_play.cutAt <= Duration(0)) {
            return;
        }
        const auto setUnresponsive = [this](bool unresponsive) {
            for (auto& from : m_daemons) {
                for (auto& to : m_daemons) {
                    if (from->domain != to->domain && to->domain == "d0") {
                        from->picker.setUnresponsive(to->address, unresponsive);
                    }
                }
            }
        };
        at(m_begin + m_play.cutAt + detectionTime, [setUnresponsive] { setUnresponsive(true); });
        at(m_begin + m_play.cutAt + faultLength, [setUnresponsive] { setUnresponsive(false); });
    }

    void Fleet::changeStalls()
    {
        for (auto& it : m_servers) {
            it->stalled = it->service->stalls && uniform(m_random) < stallShare;
        }
        at(m_now + stallPeriod, [this] { changeStalls(); });
    }

    /// The daemons beside the crashed servers continue; the servers leave the view at once.
    void Fleet::crashHalf()
    {
        auto& view = m_view.at(deepest);
        const auto kept = view.size() / 2;
        for (auto n = kept; n < view.size(); ++n) {
            auto& server = *m_servers.at(std::stoul(view[n].name));
            server.alive = false;
            const auto jobs = server.jobs;
            std::ranges::for_each(jobs, [this](const auto& it) { endRun(it.second, End::Failed); });
        }
        view.resize(kept);
        std::ranges::for_each(m_daemons, [kept](auto& it) { it->prices.setServerCount(services.at(deepest).name, kept); });
    }

    void Fleet::nextRoot(const Kind& kind)
    {
        if (m_now >= m_begin + m_play.length) {
            return;
        }
        const auto rate = kind.perSecond * demandAt(m_now);
        const auto gap = std::exponential_distribution<double>(rate)(m_arrivals);
        at(m_now + scaled(1s, gap), [this, &kind] {
            rootArrives(kind);
            nextRoot(kind);
        });
    }

    void Fleet::rootArrives(const Kind& kind)
    {
        auto& entry = *m_daemons.at(std::uniform_int_distribution<std::size_t>(0, daemons - 1)(m_arrivals));
        auto root = std::make_shared<Root>(Root { &kind, m_now });
        auto demands = entry.board.demandsOf(kind.route, m_now);
        if (m_mode == PriceMode::Direct) {
            entry.prices.applyTo(demands, m_now);
        }
        if (!entry.throttle.admit(kind.route, "", m_rank, demands, m_now)) {
            endRoot(*root, End::Refused);
            return;
        }
        send(std::make_shared<Job>(Job { &kind, &entry, root, nullptr, m_now + kind.deadline }));
    }

    bool Fleet::pick(const JobPtr& job, bool withCapacity)
    {
        const auto& view = m_view.at(job->kind->service);
        const auto index = job->sender->picker.pick(view, { job->sender->domain, "r", job->tried }, m_now);
        if (!index || (withCapacity && !job->sender->picker.hasCapacity(view[*index], m_now))) {
            return false;
        }
        job->server = std::stoul(view[*index].name);
        job->tried.push_back(view[*index].name);
        return true;
    }

    void Fleet::send(const JobPtr& job)
    {
        if (!job->tried.empty() || pick(job, false)) {
            job->id = ++m_lastJob;
            job->sentAt = m_now;
            job->sender->picker.started(job->tried.back(), m_now);
            at(m_now + linkLatency, [this, job] { arrive(job); });
        } else {
            done(job, End::Failed);
        }
    }

    void Fleet::arrive(const JobPtr& job)
    {
        auto& server = *m_servers.at(job->server);
        if (!server.alive) {
            answer(job, End::Refused);
            return;
        }
        if (job->parent) {
            server.demand.nestedCallArrived(job->kind->route, m_now);
        }
        server.jobs[job->id] = job;
        const auto offered = server.admission.offer({ job->id, m_rank, job->parent != nullptr, {}, job->deadline }, m_now);
        if (offered.outcome == AdmissionOutcome::Started) {
            begin(job);
        } else if (offered.outcome == AdmissionOutcome::Refused) {
            answer(job, End::Refused);
        }
        poll(server);
    }

    void Fleet::begin(const JobPtr& job)
    {
        auto& server = *m_servers.at(job->server);
        job->startedAt = m_now;
        job->running = true;
        job->callsLeft = job->kind->calls;
        server.demand.started(job->kind->route);
        segment(job);
    }

    /// Runs until the next nested call or the end.
    void Fleet::segment(const JobPtr& job)
    {
        const auto& server = *m_servers.at(job->server);
        const auto isNearlyFull = server.service->slowsDown && server.admission.running() > slowdownThreshold * server.service->slots;
        const auto factor = (isNearlyFull ? slowdownFactor : 1.0) * (server.stalled ? stallFactor : 1.0) / server.speed;
        const auto time = scaled(job->kind->work / (job->kind->calls + 1), factor);
        at(m_now + time, [this, job, time] { endSegment(job, time); });
    }

    void Fleet::endSegment(const JobPtr& job, Duration time)
    {
        if (job->ended) {
            return;
        }
        job->root->work += seconds(time);
        if (m_now >= job->deadline) {
            endRun(job, End::Failed);
        } else if (job->callsLeft > 0) {
            --job->callsLeft;
            auto& server = *m_servers.at(job->server);
            const auto& callee = *job->kind->callee;
            server.demand.nestedCallSent(callee.route);
            send(std::make_shared<Job>(
                Job { &callee, &server.daemon, job->root, job, std::min<TimePoint>(job->deadline, m_now + callee.deadline) }));
        } else {
            endRun(job, End::Ok);
        }
    }

    void Fleet::poll(Server& server)
    {
        const auto work = server.admission.poll(m_now);
        const auto jobOf = [&server](std::uint64_t id) { return server.jobs.at(id); };
        std::ranges::for_each(work.start, [&](std::uint64_t id) { begin(jobOf(id)); });
        std::ranges::for_each(work.shed, [&](const ShedRequest& it) { answer(jobOf(it.id), End::Refused); });
    }

    void Fleet::endRun(const JobPtr& job, End end)
    {
        auto& server = *m_servers.at(job->server);
        if (job->running) {
            server.demand.ended(job->kind->route, m_now - job->startedAt, m_now);
            server.admission.finish(job->id, { RunOutcome::Ok, {} }, m_now);
        } else {
            server.admission.cancel(job->id, m_now);
        }
        answer(job, end);
        poll(server);
    }

    bool Fleet::isCut(const Daemon& from, const Daemon& to) const
    {
        return isWithin(m_play.cutAt) && from.domain == "d0" && to.domain != "d0";
    }

    void Fleet::answer(const JobPtr& job, End end)
    {
        auto& server = *m_servers.at(job->server);
        server.jobs.erase(job->id);
        job->ended = end != End::Refused;
        job->running = false;
        if (isCut(server.daemon, *job->sender)) {
            at(m_now + detectionTime, [this, job] { onAnswer(job, End::Failed, nullptr); });
            return;
        }
        auto& beside = server.daemon;
        const auto isCrashed = !server.alive;
        if (!isCrashed) {
            server.demand.update(server.admission.capacity(m_now), server.admission.expectedNestedWait(m_now), m_now);
        }
        const auto demands = isCrashed ? std::vector<ServiceDemand> {}
                                       : server.demand.demandsToReport(job->sender->address, job->kind->route, server.service->name, m_now);
        std::vector<SlotPrice> prices;
        if (m_mode == PriceMode::Direct && job->sender != &beside) {
            if (!isCrashed) {
                beside.prices.recordOwn(server.service->name, beside.address, server.demand.price(), m_now);
            }
            prices = beside.prices.pricesFor(job->sender->address, m_now);
            m_result.largestReport = std::max(m_result.largestReport, static_cast<int>(prices.size()));
        }
        at(m_now + linkLatency, [this, job, end, demands, prices, hint = server.admission.loadHint(m_now), isCrashed] {
            if (!isWithin(m_play.dropAt)) {
                job->sender->board.record(job->kind->route, demands, m_now);
                job->sender->prices.record(prices, m_now);
            }
            onAnswer(job, end, isCrashed ? nullptr : &hint);
        });
    }

    void Fleet::onAnswer(const JobPtr& job, End end, const LoadHint* hint)
    {
        constexpr std::array<RunOutcome, 3> outcomes { RunOutcome::Ok, RunOutcome::Refused, RunOutcome::Ok };
        job->sender->picker.finished(job->tried.back(), hint ? outcomes.at(static_cast<std::size_t>(end)) : RunOutcome::Failed, m_now - job->sentAt, hint, m_now);
        if (end == End::Refused && m_now < job->deadline && job->tried.size() < config::maxDaemonsOffered && pick(job, hint != nullptr)) {
            send(job);
            return;
        }
        done(job, end);
    }

    void Fleet::done(const JobPtr& job, End end)
    {
        if (!job->parent) {
            endRoot(*job->root, end);
        } else if (job->parent->ended) {
            return;
        } else if (end == End::Ok) {
            segment(job->parent);
        } else {
            endRun(job->parent, End::Failed);
        }
    }

    void Fleet::endRoot(const Root& root, End end)
    {
        if (root.sent < m_begin + warmUp) {
            return;
        }
        auto& second = m_seconds.at(static_cast<std::size_t>((root.sent - m_begin) / 1s));
        const auto isInTime = end == End::Ok && m_now - root.sent <= root.kind->target;
        ++m_result.sent;
        ++second.sent;
        second.inTime += isInTime ? 1 : 0;
        m_result.inTime += isInTime ? 1 : 0;
        m_result.late += end == End::Ok && !isInTime ? 1 : 0;
        m_result.refused += end == End::Refused ? 1 : 0;
        m_result.failed += end == End::Failed ? 1 : 0;
        m_result.wastedWork += end == End::Failed ? root.work : 0;
    }

} // namespace

PriceResult playPrices(const PricePlay& play, PriceMode mode, std::uint64_t seed, const PriceControl& control)
{
    return Fleet(play, mode, seed, control).run();
}

PriceResult playPrices(const PricePlay& play, PriceMode mode, std::uint64_t seed)
{
    return playPrices(play, mode, seed, mode == PriceMode::Direct ? directPriceControl : PriceControl {});
}

} // namespace pw::play
