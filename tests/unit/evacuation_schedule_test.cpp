#include "config.h"
#include "support/control_fleet.h"

#include <boost/test/unit_test.hpp>

#include <array>

namespace {

using namespace std::chrono_literals;
using pw::ChangeOutcome;
using pw::test::ControlFleet;

constexpr auto domain = "domain1";
/// Time for which a platform's operator sends an unconfirmed order again.
constexpr auto resendTime = 4s;

/// One copy of an order, as received by a control member.
struct Copy {
    bool evacuated = false;
    pw::TimePoint receivedAt {};
    bool acknowledged = false;
    std::uint64_t index = 0; ///< Log index of the acknowledged copy.
};

/// An operator who gives one order at a time and sends it again, each time as a new copy, until it is acknowledged.
struct Operator {
    bool busy = false;
    bool evacuated = false;
    std::string waitingFor; ///< Id of the copy that is not answered yet; empty for none.
    const ControlFleet::Vm* asked = nullptr; ///< Control member that received it.
    pw::TimePoint resendAt {};
    pw::TimePoint giveUpAt {};
};

/// Two operators who start and finish the evacuation of one domain, under random faults; reproducible from a seed.
class Schedule {
public:
    Schedule(std::size_t members, std::uint32_t toleratedLosses, std::uint64_t seed)
        : m_fleet(members, 3, seed, toleratedLosses)
        , m_random(seed * 104729)
    {
        BOOST_REQUIRE(m_fleet.form());
        m_fleet.network.faults.loss = 0.02;
        m_fleet.network.faults.duplication = 0.05;
        m_fleet.network.faults.maxDelay = 30ms;
        m_fleet.network.faults.ordered = m_random() % 2 == 0;
    }

    void run(int steps)
    {
        for (auto n = 0; n < steps; ++n) {
            if (m_random() % 3 == 0) {
                applyRandomFault();
            }
            for (auto& it : m_operators) {
                act(it);
            }
            m_fleet.timers.run(std::chrono::milliseconds(m_random() % 200));
        }
        recover();
    }

    /// Checks what must hold after the faults have ended.
    void check()
    {
        BOOST_TEST(!m_fleet.events.differs);
        std::map<std::string, std::uint64_t> acceptedAt; // Index by change id, of its first acceptance.
        for (const auto& [index, decision] : m_fleet.events.decisions) {
            if (decision.outcome == "accepted") {
                acceptedAt.emplace(decision.changeId, index);
            }
            BOOST_TEST(decision.outcome != "invalid");
        }
        checkAcknowledgedOrders(acceptedAt);
        checkSequence(acceptedAt);
    }

    std::size_t acknowledgedCount() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_copies, [](const auto& it) { return it.second.acknowledged; }));
    }

private:
    void checkAcknowledgedOrders(const std::map<std::string, std::uint64_t>& acceptedAt)
    {
        for (const auto& [id, copy] : m_copies) {
            if (copy.acknowledged) {
                const auto it = acceptedAt.find(id);
                BOOST_TEST((it != acceptedAt.end() && it->second == copy.index), "acknowledged, but not in the log: " << id);
            }
        }
    }

    /// No copy changes the state after one that was received later, and the state is that of the last accepted order.
    void checkSequence(const std::map<std::string, std::uint64_t>& acceptedAt)
    {
        std::map<std::uint64_t, const Copy*> sequence;
        for (const auto& [id, index] : acceptedAt) {
            sequence[index] = &m_copies.at(id);
        }
        bool evacuated = false;
        pw::TimePoint latest {};
        for (const auto& [index, copy] : sequence) {
            BOOST_TEST((copy->evacuated == evacuated || copy->receivedAt >= latest), "changed by an earlier order at index " << index);
            evacuated = copy->evacuated;
            latest = std::max(latest, copy->receivedAt);
        }
        for (const auto& it : m_fleet.vms()) {
            BOOST_TEST(it->session->isEvacuated(domain) == evacuated, it->settings.name);
        }
    }

    void act(Operator& person)
    {
        const auto now = m_fleet.timers.now();
        if (!person.busy && m_random() % 4 == 0) {
            person = { true, m_random() % 2 == 0, {}, nullptr, now, now + resendTime };
        }
        if (person.busy && now >= person.giveUpAt) {
            person.busy = false;
        }
        if (person.busy && person.waitingFor.empty() && now >= person.resendAt) {
            send(person);
        }
    }

    void send(Operator& person)
    {
        auto controls = m_fleet.controls();
        std::erase_if(controls, [](const auto* it) { return !it->log; });
        if (controls.empty()) {
            return;
        }
        const auto id = "order" + std::to_string(m_copies.size());
        m_copies[id] = { person.evacuated, m_fleet.timers.now(), false, 0 };
        auto& asked = *controls[m_random() % controls.size()];
        person.waitingFor = id;
        person.asked = &asked;
        asked.log->submit({ id, pw::SetEvacuation { domain, person.evacuated, {} } },
            [this, &person, id](const pw::ChangeResult& result) {
                auto& copy = m_copies.at(id);
                BOOST_TEST((result.outcome != ChangeOutcome::Invalid));
                copy.acknowledged = result.outcome == ChangeOutcome::Accepted;
                copy.index = result.index;
                if (person.waitingFor == id) {
                    person.waitingFor.clear();
                    person.busy = !copy.acknowledged;
                    person.resendAt = m_fleet.timers.now() + std::chrono::milliseconds(m_random() % 300);
                }
            });
    }

    void applyRandomFault()
    {
        using Fault = void (Schedule::*)();
        static constexpr std::array<Fault, 9> faults { &Schedule::crash, &Schedule::restart, &Schedule::restart, &Schedule::isolate,
            &Schedule::cutOneWay, &Schedule::heal, &Schedule::heal, &Schedule::wipe, &Schedule::restartLeader };
        (this->*faults[m_random() % faults.size()])();
    }

    ControlFleet::Vm& randomControl()
    {
        const auto controls = m_fleet.controls();
        return *controls[m_random() % controls.size()];
    }

    void crash()
    {
        if (auto& vm = *m_fleet.vms()[m_random() % m_fleet.vms().size()]; vm.session) {
            crash(vm);
        }
    }

    /// The operators who wait for an answer of \p vm lose their connection.
    void crash(ControlFleet::Vm& vm)
    {
        m_fleet.crash(vm);
        for (auto& it : m_operators) {
            if (it.asked == &vm) {
                it.waitingFor.clear();
            }
        }
    }

    void restart()
    {
        const auto it = std::ranges::find_if(m_fleet.vms(), [](const auto& vm) { return !vm->session; });
        if (it != m_fleet.vms().end()) {
            m_fleet.start(**it);
        }
    }

    void isolate() { m_fleet.network.isolate(randomControl().settings.peerAddress); }
    void cutOneWay() { m_fleet.network.cutOneWay(randomControl().settings.peerAddress, randomControl().settings.peerAddress); }
    void heal() { m_fleet.network.healAll(); }

    /// Wipes as many disks as the cluster tolerates, but only while all members are running and up to date.
    void wipe()
    {
        const auto controls = m_fleet.controls();
        const auto isRunning = [](const auto* it) { return it->log != nullptr; };
        if (!std::ranges::all_of(controls, isRunning) || !m_fleet.leader() || !m_fleet.isComplete()) {
            return;
        }
        const auto& leader = m_fleet.leader()->log->status();
        const auto isCurrent = [&leader](const auto* it) { return it->log->status().appliedIndex == leader.appliedIndex; };
        if (!std::ranges::all_of(controls, isCurrent)) {
            return;
        }
        const auto first = m_random() % controls.size();
        for (std::size_t n = 0; n < controls.front()->settings.toleratedLosses; ++n) {
            auto& vm = *controls[(first + n) % controls.size()];
            crash(vm);
            vm.disk.wipe();
            m_fleet.start(vm);
        }
    }

    void restartLeader()
    {
        if (auto* leader = m_fleet.leader()) {
            crash(*leader);
            m_fleet.start(*leader);
        }
    }

    void recover()
    {
        m_fleet.network.healAll();
        m_fleet.network.faults = {};
        for (const auto& it : m_fleet.vms()) {
            if (!it->session) {
                m_fleet.start(*it);
            }
        }
        // Longer than any copy is retried, so that nothing is under way.
        const auto settled = m_fleet.timers.runUntil([this] { return m_fleet.leader() && m_fleet.isComplete() && m_fleet.allValid(); }, 40s);
        BOOST_TEST(settled);
        m_fleet.timers.run(5s);
    }

    ControlFleet m_fleet;
    pw::Random m_random;
    std::array<Operator, 2> m_operators;
    std::map<std::string, Copy> m_copies; ///< By change id.
};

} // namespace

BOOST_AUTO_TEST_SUITE(EvacuationSchedules)

/// Guards against lost or undone acknowledged orders while leaders change, members are partitioned and disks wiped.
BOOST_AUTO_TEST_CASE(randomFaultsUndoNoLaterOrder)
{
    std::size_t acknowledged = 0;
    for (const auto& [members, losses] : { std::pair(3U, 1U), std::pair(5U, 2U) }) {
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            BOOST_TEST_CONTEXT("members " << members << " seed " << seed)
            {
                Schedule schedule(members, losses, seed);
                schedule.run(150);
                schedule.check();
                acknowledged += schedule.acknowledgedCount();
            }
        }
    }
    BOOST_TEST_MESSAGE("acknowledged orders: " << acknowledged);
    BOOST_TEST(acknowledged > 200U); // Otherwise the schedules test little.
}

BOOST_AUTO_TEST_SUITE_END()
