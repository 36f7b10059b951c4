#include "support/raft_cluster.h"

#include <boost/test/unit_test.hpp>

#include <ranges>

namespace {

using namespace std::chrono_literals;
using pw::test::RaftCluster;
using Node = RaftCluster::Node;

/// Applies random faults and proposals to a cluster, reproducible from a seed.
class Schedule {
public:
    Schedule(std::size_t members, std::uint64_t seed)
        : m_cluster(members, seed, true)
        , m_random(seed * 7919)
    {
        m_cluster.network.faults.loss = 0.02;
        m_cluster.network.faults.duplication = 0.05;
        m_cluster.network.faults.maxDelay = 20ms;
        m_cluster.network.faults.ordered = m_random() % 2 == 0;
    }

    RaftCluster& cluster() { return m_cluster; }

    void run(int steps)
    {
        BOOST_REQUIRE(m_cluster.form());
        for (auto n = 0; n < steps; ++n) {
            applyRandomAction();
            m_cluster.run(std::chrono::milliseconds(m_random() % 150));
        }
        recover();
    }

private:
    void applyRandomAction()
    {
        using Action = void (Schedule::*)();
        static constexpr std::array<Action, 18> actions { &Schedule::propose, &Schedule::propose, &Schedule::propose,
            &Schedule::propose, &Schedule::crash, &Schedule::crashInWrite, &Schedule::restart, &Schedule::restart,
            &Schedule::isolate, &Schedule::cutOneWay, &Schedule::heal, &Schedule::heal, &Schedule::stall,
            &Schedule::compact, &Schedule::wipe, &Schedule::transferLeadership, &Schedule::fillDisk, &Schedule::freeDisks };
        (this->*actions[m_random() % actions.size()])();
    }

    Node& randomNode() { return *m_cluster.nodes[m_random() % m_cluster.nodes.size()]; }

    std::size_t stoppedCount() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_cluster.nodes, [](const auto& it) { return !it->raft; }));
    }

    void propose() { m_cluster.propose("change " + std::to_string(++m_proposals)); }

    void crash()
    {
        if (auto& node = randomNode(); node.raft) {
            m_cluster.crash(node);
        }
    }

    void crashInWrite()
    {
        auto& node = randomNode();
        node.disk.writesUntilCrash = static_cast<int>(m_random() % 4);
        node.disk.keepsCrashingWrite = m_random() % 2 == 0;
    }

    void fillDisk()
    {
        auto& disk = randomNode().disk;
        disk.full = true;
        disk.keepsFailedWrite = m_random() % 2 == 0;
    }

    void freeDisks()
    {
        for (const auto& it : m_cluster.nodes) {
            it->disk.full = false;
        }
    }

    void restart()
    {
        const auto it = std::ranges::find_if(m_cluster.nodes, [](const auto& node) { return !node->raft; });
        if (it != m_cluster.nodes.end()) {
            m_cluster.start(**it);
        }
    }

    void isolate() { m_cluster.network.isolate(randomNode().name); }
    void cutOneWay() { m_cluster.network.cutOneWay(randomNode().name, randomNode().name); }
    void heal() { m_cluster.network.healAll(); }
    void stall() { randomNode().stalledUntil = m_cluster.timers.now() + std::chrono::milliseconds(m_random() % 900); }
    void compact()
    {
        if (auto& node = randomNode(); node.raft) {
            m_cluster.compact(node);
        }
    }

    /// Wipes the data folder of one node, but only while all nodes are running voters, as an operator would.
    void wipe()
    {
        if (stoppedCount() > 0 || !m_cluster.allAreCurrentVoters()) {
            return;
        }
        auto& node = randomNode();
        m_cluster.crash(node);
        node.disk.wipe();
        m_cluster.start(node);
    }

    void transferLeadership()
    {
        if (auto* node = m_cluster.leader()) {
            node->raft->transferLeadership(m_cluster.localNow(*node));
        }
    }

    void recover()
    {
        m_cluster.network.healAll();
        m_cluster.network.faults = {};
        freeDisks();
        for (auto& it : m_cluster.nodes) {
            it->disk.writesUntilCrash = -1;
        }
        while (stoppedCount() > 0) {
            restart();
        }
        m_cluster.runUntil([this] { return m_cluster.allAreCurrentVoters(); }, 20s);
    }

    RaftCluster m_cluster;
    pw::Random m_random;
    int m_proposals = 0;
};

/// \returns whether any of the schedules violates an invariant after \p prepare has been applied to its cluster.
bool violatesInvariants(const std::function<void(RaftCluster&)>& prepare)
{
    const auto violates = [&prepare](std::uint64_t seed) {
        Schedule schedule(3, seed);
        prepare(schedule.cluster());
        schedule.run(120);
        return !schedule.cluster().violations.empty();
    };
    return std::ranges::any_of(std::views::iota(std::uint64_t { 1 }, std::uint64_t { 60 }), violates);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RaftSchedules)

BOOST_AUTO_TEST_CASE(randomFaultsBreakNoInvariant)
{
    for (const auto members : { 3U, 5U }) {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            Schedule schedule(members, seed);
            schedule.run(120);
            auto& cluster = schedule.cluster();
            BOOST_TEST_CONTEXT("members " << members << " seed " << seed)
            {
                BOOST_TEST(cluster.violations.empty(), cluster.firstViolation());
                BOOST_TEST(cluster.allAreCurrentVoters()); // All nodes recover once the faults end.
                std::set<std::string> kept;
                for (const auto& [index, entry] : cluster.committed) {
                    kept.insert(entry.data);
                }
                BOOST_TEST(std::ranges::includes(kept, cluster.accepted));
            }
        }
    }
}

// The same schedules with one safety mechanism disabled: the checks must detect the violations.

BOOST_AUTO_TEST_CASE(checksNoticeALeaderLeaseThatOutlastsTheVotersPromise)
{
    const auto detected = violatesInvariants([](RaftCluster& cluster) {
        for (auto& it : cluster.nodes) {
            cluster.crash(*it);
            it->options.leaderLease = 1500ms;
            cluster.start(*it);
        }
    });
    BOOST_TEST(detected);
}

BOOST_AUTO_TEST_CASE(checksNoticeADiskThatLosesSyncedWrites)
{
    const auto detected = violatesInvariants([](RaftCluster& cluster) {
        for (auto& it : cluster.nodes) {
            it->disk.lostWrites = 2;
        }
    });
    BOOST_TEST(detected);
}

BOOST_AUTO_TEST_SUITE_END()
