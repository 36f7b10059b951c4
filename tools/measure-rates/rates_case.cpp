#include "rates_case.h"

#include "app/control_ledger.h"
#include "app/daemon_grants.h"
#include "fleet_net.h"

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

namespace pw::measure {
namespace {

    const std::vector<PeerAddress> memberNames { "c1", "c2", "c3" };

    Settings settingsOf(const std::string& name)
    {
        Settings settings;
        settings.name = name;
        std::ranges::transform(memberNames, std::back_inserter(settings.controlMembers),
            [](const PeerAddress& address) { return ControlMember { address, address, {} }; });
        return settings;
    }

    class FixedFleet : public FleetView {
    public:
        explicit FixedFleet(Deployment deployment)
            : m_deployment(std::move(deployment))
        {
        }

        const Deployment& deployment() const override { return m_deployment; }
        std::uint64_t version() const override { return 1; }
        std::optional<std::string> workspaceOfKey(const KeyDigest& /*digest*/) const override { return std::nullopt; }
        bool keysValid(TimePoint /*now*/) const override { return true; }
        bool isEvacuated(const std::string& /*failureDomain*/) const override { return false; }
        void onChanged(std::function<void()> /*handler*/) override { }

    private:
        Deployment m_deployment;
    };

    /// Knowledge of who leads; shared by all members.
    struct Tenure {
        PeerAddress leader;
        std::uint64_t epoch = 0;
        std::vector<std::function<void()>> handlers;

        void change(PeerAddress next)
        {
            epoch += next.empty() ? 0 : 1;
            leader = std::move(next);
            std::ranges::for_each(handlers, [](const auto& handler) { handler(); });
        }
    };

    class TenureView : public Leadership {
    public:
        TenureView(Tenure& tenure, PeerAddress self)
            : m_tenure(tenure)
            , m_self(std::move(self))
        {
        }

        bool leading(TimePoint /*now*/) const override { return m_tenure.leader == m_self; }
        std::uint64_t epoch() const override { return m_tenure.epoch; }
        PeerAddress leader() const override { return m_tenure.leader; }
        void onChanged(std::function<void(bool)> handler) override
        {
            m_tenure.handlers.push_back([this, handler = std::move(handler)] { handler(leading({})); });
        }

    private:
        Tenure& m_tenure;
        PeerAddress m_self;
    };

    /// One bucket that sees every request at once: what a single place that counts would admit.
    class Bucket {
    public:
        Bucket(double rate, double burst)
            : m_rate(rate)
            , m_burst(burst)
            , m_level(burst)
        {
        }

        bool take(TimePoint now)
        {
            const std::chrono::duration<double> passed = now - m_last;
            m_level = std::min(m_burst, m_level + m_rate * std::max(0.0, passed.count()));
            m_last = now;
            const bool has = m_level >= 1;
            m_level -= has ? 1 : 0;
            return has;
        }

    private:
        double m_rate;
        double m_burst;
        double m_level;
        TimePoint m_last;
    };

    /// Fill of a bucket that leaks at the rate; stays within the burst when no window breaks the bound.
    struct Leak {
        double fill = 0;
        double highest = 0;
        TimePoint last;

        void admit(TimePoint now, double rate)
        {
            const std::chrono::duration<double> passed = now - last;
            fill = std::max(0.0, fill - rate * passed.count()) + 1;
            last = now;
            highest = std::max(highest, fill);
        }
    };

    struct Member {
        Member(FleetNet& net, const PeerAddress& name, FleetView& fleet, Tenure& tenure)
            : peer(net, name)
            , leadership(tenure, name)
            , ledger(settingsOf(name), peer, peer, peer, fleet, leadership)
        {
        }

        FleetPeer peer;
        TenureView leadership;
        ControlLedger ledger;
    };

    struct Daemon {
        Daemon(FleetNet& net, const PeerAddress& name, FleetView& fleet, std::uint64_t seed)
            : peer(net, name)
            , grants(settingsOf(name), peer, peer, seed, peer, fleet)
        {
        }

        FleetPeer peer;
        DaemonGrants grants;
    };

    /// Runs the requests of one case.
    class Run {
    public:
        explicit Run(const RatesCase& settings)
            : m_settings(settings)
            , m_random(settings.seed)
            , m_net(m_clock, settings.seed)
            , m_fleet(deploymentOf(settings))
            , m_leaks(settings.workspaces)
        {
            for (const auto& name : memberNames) {
                m_members.push_back(std::make_unique<Member>(m_net, name, m_fleet, m_tenure));
            }
            for (std::size_t n = 0; n < settings.daemons; ++n) {
                m_daemons.push_back(std::make_unique<Daemon>(m_net, "d" + std::to_string(n), m_fleet, m_random()));
            }
            for (std::size_t n = 0; n < settings.workspaces; ++n) {
                m_buckets.emplace_back(settings.rate, settings.burst);
                m_names.push_back(m_fleet.deployment().workspaces[n].name);
            }
        }

        RatesResult run()
        {
            m_tenure.change(memberNames.front());
            // The buckets fill up and the daemons learn their demand before anything counts.
            const std::chrono::duration<double> fill(m_settings.burst / m_settings.rate);
            m_clock.run(std::chrono::duration_cast<Duration>(fill) + std::chrono::seconds(2));
            startDemand();
            m_clock.run(std::chrono::seconds(3));
            std::ranges::for_each(m_daemons, [](auto& daemon) { daemon->peer.cost = {}; });
            std::ranges::for_each(m_members, [](auto& member) { member->peer.cost = {}; });
            m_counting = true;
            startGaps();
            m_clock.run(m_settings.time);
            m_counting = false;
            m_stopped = true;
            m_clock.run(std::chrono::seconds(1));
            return result();
        }

    private:
        static Deployment deploymentOf(const RatesCase& settings)
        {
            Deployment deployment;
            for (std::size_t n = 0; n < settings.workspaces; ++n) {
                deployment.workspaces.push_back({ "workspace-" + std::to_string(n), settings.rate, settings.burst });
            }
            return deployment;
        }

        void startDemand()
        {
            for (std::size_t n = 0; n < m_settings.workspaces; ++n) {
                next(n);
            }
        }

        /// Requests of one workspace come at random, independent times.
        void next(std::size_t workspace)
        {
            const auto demand = workspace ? m_settings.demand : m_settings.greedyDemand;
            const std::chrono::duration<double> gap(std::exponential_distribution<double>(m_settings.rate * demand)(m_random));
            m_clock.after(std::chrono::duration_cast<Duration>(gap), [this, workspace] {
                if (!m_stopped) {
                    request(workspace);
                    next(workspace);
                }
            });
        }

        std::size_t pickDaemon(std::size_t workspace)
        {
            const auto count = m_daemons.size();
            const auto hot = std::max<std::size_t>(1, count / 10);
            if (m_settings.spread == Spread::Even || uniform(m_random) >= 0.9) {
                return m_random() % count;
            }
            const auto second = std::chrono::duration_cast<std::chrono::seconds>(m_clock.now().time_since_epoch()).count();
            const auto shift = m_settings.spread == Spread::Moving ? static_cast<std::size_t>(second) * 7 : 0;
            return (workspace + shift + m_random() % hot) % count;
        }

        void request(std::size_t workspace)
        {
            auto& daemon = *m_daemons[pickDaemon(workspace)];
            const auto start = m_clock.now();
            const bool fair = m_buckets[workspace].take(start);
            const bool counts = m_counting;
            m_result.asked += counts && inside(workspace) ? 1 : 0;
            daemon.peer.charge([&] {
                daemon.grants.takeToken(m_names[workspace], start + std::chrono::seconds(2), [=, this](std::optional<Refusal> refusal) {
                    ended(workspace, start, fair, counts, refusal.has_value());
                });
            });
        }

        /// \returns whether the workspace keeps within its rate.
        bool inside(std::size_t workspace) const { return workspace || m_settings.greedyDemand <= 1; }

        void ended(std::size_t workspace, TimePoint start, bool fair, bool counts, bool refused)
        {
            const auto now = m_clock.now();
            if (!refused) {
                m_leaks[workspace].admit(now, m_settings.rate);
            }
            if (!counts) {
                return;
            }
            m_result.wrongful += refused && fair && inside(workspace) ? 1 : 0;
            m_greedyAdmitted += !refused && !workspace ? 1 : 0;
            if (!refused) {
                m_waits.push_back(std::chrono::duration<double, std::milli>(now - start).count());
            }
        }

        void startGaps()
        {
            if (m_settings.leaderGap == std::chrono::milliseconds(0)) {
                return;
            }
            constexpr std::chrono::seconds interval { 10 };
            for (auto at = Duration(interval) / 2; at < m_settings.time; at += interval) {
                m_clock.after(at, [this] { m_tenure.change({}); });
                m_clock.after(at + m_settings.leaderGap, [this] { m_tenure.change(memberNames[m_tenure.epoch % memberNames.size()]); });
            }
        }

        RatesResult result()
        {
            const std::chrono::duration<double> time = m_settings.time;
            Cost all;
            for (const auto& daemon : m_daemons) {
                all.bytes += daemon->peer.cost.bytes;
                all.messages += daemon->peer.cost.messages;
                all.processor += daemon->peer.cost.processor;
            }
            std::chrono::duration<double> owner { 0 };
            std::ranges::for_each(m_members, [&owner](const auto& member) { owner += member->peer.cost.processor; });
            const std::chrono::duration<double> processor = all.processor;
            const auto each = static_cast<double>(m_daemons.size()) * time.count();
            m_result.daemonBytes = static_cast<double>(all.bytes) / each;
            m_result.daemonMessages = static_cast<double>(all.messages) / each;
            m_result.daemonProcessor = processor.count() / each;
            m_result.ownerProcessor = owner.count() / time.count();
            m_result.greedyShare = static_cast<double>(m_greedyAdmitted) / (m_settings.rate * time.count());
            const auto worst = std::ranges::max_element(m_leaks, {}, &Leak::highest);
            m_result.worstFill = worst->highest / m_settings.burst;
            std::ranges::sort(m_waits);
            m_result.waitMillis99 = m_waits.empty() ? 0 : m_waits[m_waits.size() * 99 / 100];
            return m_result;
        }

        RatesCase m_settings;
        Random m_random;
        FleetClock m_clock;
        FleetNet m_net;
        FixedFleet m_fleet;
        Tenure m_tenure;
        std::vector<std::unique_ptr<Member>> m_members;
        std::vector<std::unique_ptr<Daemon>> m_daemons;
        std::vector<std::string> m_names;
        std::vector<Bucket> m_buckets;
        std::vector<Leak> m_leaks;
        std::vector<double> m_waits;
        std::size_t m_greedyAdmitted = 0;
        bool m_counting = false;
        bool m_stopped = false;
        RatesResult m_result;
    };

} // namespace

RatesResult runRates(const RatesCase& settings)
{
    return Run(settings).run();
}

} // namespace pw::measure
