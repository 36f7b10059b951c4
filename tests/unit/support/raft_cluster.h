#pragma once

#include "adapters/codec_control.h"
#include "core/raft.h"
#include "fake_log_storage.h"
#include "fake_network.h"

#include <set>

namespace pw::test {

/// Simulated Raft cluster on a fake clock, network and disks; checks the invariants at every step.
class RaftCluster {
public:
    struct Node {
        std::string name;
        FakeDisk disk;
        RaftOptions options;
        double clockRate = 1; ///< Speed of its clock relative to the simulated time.
        TimePoint stalledUntil {}; ///< Suspended until then; handles all queued messages afterwards.
        std::unique_ptr<FakeLogStorage> storage;
        std::unique_ptr<Raft> raft; ///< Null while the node is down.
        std::unique_ptr<FakePeer> peer;
        std::vector<std::pair<PeerAddress, RaftMessage>> inbox;
        std::uint64_t applied = 0;
    };

    FakeTimers timers;
    FakeNetwork network;
    Random random;
    std::vector<std::unique_ptr<Node>> nodes;
    std::map<std::uint64_t, LogEntry> committed; ///< Entries by index, as seen by the first member that applied them.
    std::set<std::string> accepted; ///< Proposals that a leader applied and would therefore have answered.
    /// \returns the first violation, empty when there is none.
    std::string firstViolation() const { return violations.empty() ? std::string() : violations.front(); }

    std::vector<std::string> violations;

    RaftCluster(std::size_t count, std::uint64_t seed, bool drift = false)
        : network(timers, seed)
        , random(seed)
    {
        for (std::size_t n = 0; n < count; ++n) {
            nodes.push_back(std::make_unique<Node>());
            nodes.back()->name = std::string(1, static_cast<char>('a' + n));
            nodes.back()->options.voters = count;
            nodes.back()->clockRate = drift ? 0.98 + 0.04 * uniform(random) : 1;
            start(*nodes.back());
        }
        step();
    }

    /// Bootstraps the cluster at the first node and waits until all nodes are voters.
    bool form()
    {
        nodes.front()->raft->bootstrap(localNow(*nodes.front()));
        return runUntil([this] { return allAreCurrentVoters(); }, std::chrono::seconds(10));
    }

    void start(Node& node)
    {
        node.storage = std::make_unique<FakeLogStorage>(node.disk);
        const auto stored = node.storage->open(random);
        node.raft = std::make_unique<Raft>(node.options, *node.storage, *stored, node.name, node.name, random(), localNow(node));
        node.peer = std::make_unique<FakePeer>(network, node.name);
        node.peer->onMessage(MessageKind::Raft, [&node](const auto& from, auto bytes) {
            node.inbox.emplace_back(from, decodeRaftMessage(bytes).value());
        });
        node.applied = 0;
    }

    void crash(Node& node)
    {
        node.raft.reset();
        node.peer.reset();
        node.inbox.clear();
        node.disk.crash();
        node.disk.writesUntilCrash = -1;
    }

    /// \returns the time on the clock of \p node.
    TimePoint localNow(const Node& node) const
    {
        const auto real = static_cast<double>(timers.now().time_since_epoch().count());
        return TimePoint(Duration(static_cast<Duration::rep>(real * node.clockRate)));
    }

    Node* leader()
    {
        const auto leads = [this](const auto& it) { return it->raft && it->raft->leading(localNow(*it)); };
        const auto it = std::ranges::find_if(nodes, leads);
        return it == nodes.end() ? nullptr : it->get();
    }

    Node* awaitLeader(Duration limit = std::chrono::seconds(5))
    {
        runUntil([this] { return leader() != nullptr; }, limit);
        return leader();
    }

    Node& other(const Node& node)
    {
        return **std::ranges::find_if(nodes, [&node](const auto& it) { return it.get() != &node && it->raft; });
    }

    std::optional<std::uint64_t> propose(const std::string& data)
    {
        std::optional<std::uint64_t> index;
        if (auto* node = leader()) {
            runUntilCrash(*node, [&] { index = node->raft->propose(data, localNow(*node)); });
        }
        return index;
    }

    void run(Duration time)
    {
        runUntil([] { return false; }, time);
    }

    bool runUntil(const std::function<bool()>& done, Duration limit)
    {
        const auto end = timers.now() + limit;
        while (!done() && timers.now() < end) {
            timers.run(std::chrono::milliseconds(1));
            step();
        }
        return done();
    }

    /// \returns whether every node is running, is a voter and has applied everything committed.
    bool allAreCurrentVoters()
    {
        const auto* leaderNode = leader();
        return leaderNode && std::ranges::all_of(nodes, [&](const auto& it) {
            const auto isVoter = [&](const auto& member) { return member.id == it->raft->identity() && member.voter; };
            return it->raft && std::ranges::any_of(leaderNode->raft->members(), isVoter) && it->applied == leaderNode->applied
                && leaderNode->raft->members().size() == nodes.size() && it->raft->commitIndex() == leaderNode->raft->lastIndex();
        });
    }

    /// \returns a hash of all committed entries up to \p index, which stands for the encoded state.
    std::string stateAt(std::uint64_t index) const
    {
        std::string result;
        for (auto it = committed.begin(); it != committed.end() && it->first <= index; ++it) {
            result.append(it->second.data);
            result = std::to_string(std::hash<std::string> {}(result));
        }
        return result;
    }

    void compact(Node& node)
    {
        runUntilCrash(node, [&] { node.raft->compact(stateAt(node.applied)); });
    }

    /// Runs \p action at \p node, which crashes if its disk simulates a crash during a write.
    void runUntilCrash(Node& node, const std::function<void()>& action)
    {
        try {
            action();
        } catch (const SimulatedCrash&) {
            crash(node);
        }
    }

private:
    void step()
    {
        ++m_steps;
        for (auto& it : nodes) {
            if (it->raft && timers.now() >= it->stalledUntil) {
                runUntilCrash(*it, [&] { processNode(*it); });
            }
        }
        checkLeaders();
    }

    void processNode(Node& node)
    {
        const auto now = localNow(node);
        if (m_steps % 20 == 0) {
            reopenStorage(node);
            node.raft->tick(now);
        }
        for (const auto& [from, message] : std::exchange(node.inbox, {})) {
            node.raft->receive(from, message, now);
        }
        if (m_steps % 200 == 0 && node.raft->members().empty()) {
            requestJoin(node);
        }
        applyCommitted(node);
        for (const auto& [address, message] : node.raft->takeMessages()) {
            node.peer->send(address, MessageKind::Raft, encodeRaftMessage(message));
        }
    }

    void reopenStorage(Node& node)
    {
        if (!node.raft->mayResume()) {
            return;
        }
        if (const auto stored = node.storage->open(random)) {
            expect(node.raft->resume(*stored, localNow(node)), "the disk lost committed entries at " + node.name);
        }
    }

    void requestJoin(const Node& node)
    {
        if (auto* leaderNode = leader(); leaderNode && leaderNode != &node) {
            runUntilCrash(*leaderNode, [&] { leaderNode->raft->addLearner({ node.raft->identity(), node.name, node.name, false, {} }, localNow(*leaderNode)); });
        }
    }

    void applyCommitted(Node& node)
    {
        if (const auto snapshot = node.raft->takeSnapshot()) {
            expect(snapshot->data == stateAt(snapshot->index), "snapshot does not match the committed state at " + node.name);
            expect(snapshot->index >= node.applied, "applied index decreased at " + node.name);
            node.applied = snapshot->index;
        }
        for (const auto& entry : node.raft->takeCommitted()) {
            expect(entry.index == node.applied + 1, "entry applied out of order at " + node.name);
            expect(committed.emplace(entry.index, entry).first->second == entry, "different entry committed at the same index at " + node.name);
            node.applied = entry.index;
            if (entry.term == node.raft->term() && node.raft->role() == RaftRole::Leader && !entry.data.empty()) {
                expect(accepted.insert(entry.data).second, "proposal applied twice: " + entry.data);
            }
        }
    }

    void checkLeaders()
    {
        const auto leads = [this](const auto& it) { return it->raft && it->raft->leading(localNow(*it)); };
        expect(std::ranges::count_if(nodes, leads) <= 1, "two members hold the leader lease at once");
        for (const auto& it : nodes) {
            if (it->raft && it->raft->role() == RaftRole::Leader) {
                const auto known = m_leaders.emplace(it->raft->term(), it->raft->identity()).first->second;
                expect(known == it->raft->identity(), "two leaders in one term");
            }
        }
    }

    void expect(bool holds, const std::string& what)
    {
        if (!holds) {
            violations.push_back(what);
        }
    }

    std::map<std::uint64_t, MemberId> m_leaders;
    std::uint64_t m_steps = 0;
};

} // namespace pw::test
