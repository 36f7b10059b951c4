#pragma once

#include "app/control_log.h"
#include "app/control_session.h"
#include "fake_log_storage.h"
#include "fake_network.h"

#include <algorithm>
#include <map>
#include <memory>

namespace pw::test {

/// Event log that discards all events.
class NullEventLog : public EventLog {
public:
    bool shouldWrite(Event) override { return false; }
    void write(Event, std::initializer_list<EventField>) override { }
};

/// Event log of all VMs that keeps what the control members decided about changes.
class DecisionLog : public EventLog {
public:
    struct Decision {
        std::string changeId;
        std::string outcome;

        bool operator==(const Decision&) const = default;
    };

    bool shouldWrite(Event event) override { return event == Event::ChangeDecided; }

    void write(Event, std::initializer_list<EventField> fields) override
    {
        const auto field = [&fields](std::string_view name) { return std::ranges::find(fields, name, &EventField::name)->value; };
        const Decision decision { field("change"), field("outcome") };
        differs = differs || decisions.emplace(std::stoull(field("index")), decision).first->second != decision;
    }

    std::map<std::uint64_t, Decision> decisions; ///< By log index.
    bool differs = false; ///< Two members decided differently about the same log entry.
};

/// Simulated control members and daemons on a fake clock, network and disks.
class ControlFleet {
public:
    /// A VM with its daemon.
    struct Vm {
        Settings settings;
        FakeDisk disk;
        std::unique_ptr<FakePeer> peer; ///< Null while the VM is down.
        std::unique_ptr<FakeLogStorage> storage;
        std::unique_ptr<ControlLog> log; ///< Only on control members.
        std::unique_ptr<ControlSession> session;
    };

    FakeTimers timers;
    FakeNetwork network;
    DecisionLog events;

    ControlFleet(std::size_t members, std::size_t daemons, std::uint64_t seed, std::uint32_t toleratedLosses = 1)
        : network(timers, seed)
        , m_random(seed)
    {
        for (std::size_t n = 0; n < members + daemons; ++n) {
            Settings settings;
            settings.name = (n < members ? "control" : "daemon") + std::to_string(n);
            settings.peerAddress = settings.name;
            settings.control = n < members;
            settings.toleratedLosses = toleratedLosses;
            settings.failureDomain = "domain" + std::to_string(n % std::max<std::size_t>(members, 1));
            m_vms.push_back(std::make_unique<Vm>());
            m_vms.back()->settings = settings;
        }
        std::vector<ControlMember> list;
        for (const auto& it : controls()) {
            list.push_back({ it->settings.name, it->settings.peerAddress, {} });
        }
        for (auto& it : m_vms) {
            it->settings.controlMembers = list;
            start(*it);
        }
    }

    /// Bootstraps the cluster and waits until every daemon holds a validity lease. \returns whether that succeeded.
    bool form()
    {
        std::string reason;
        return timers.runUntil([&] { return m_vms.front()->log->bootstrap(reason); }, std::chrono::seconds(5))
            && timers.runUntil([this] { return leader() && isComplete() && allValid(); }, std::chrono::seconds(20));
    }

    void start(Vm& vm)
    {
        vm.peer = std::make_unique<FakePeer>(network, vm.settings.peerAddress);
        const auto parser = [](const std::string& text, std::string& reason) -> std::optional<Deployment> {
            if (text == "unreadable") {
                reason = "line 1: unreadable";
                return std::nullopt;
            }
            return Deployment {};
        };
        if (vm.settings.control) {
            vm.storage = std::make_unique<FakeLogStorage>(vm.disk);
            vm.log = std::make_unique<ControlLog>(vm.settings, *vm.peer, timers, m_random(), events, *vm.storage, parser);
            std::string reason;
            vm.log->start(reason);
        }
        vm.session = std::make_unique<ControlSession>(vm.settings, *vm.peer, timers, m_random(), events, parser);
        vm.session->start();
    }

    void crash(Vm& vm)
    {
        vm.session.reset();
        vm.log.reset();
        vm.peer.reset();
        vm.disk.crash();
    }

    const std::vector<std::unique_ptr<Vm>>& vms() const { return m_vms; }

    std::vector<Vm*> controls() const
    {
        return select([](const Vm& it) { return it.settings.control; });
    }

    std::vector<Vm*> daemons() const
    {
        return select([](const Vm& it) { return !it.settings.control; });
    }

    Vm* leader() const
    {
        const auto found = select([this](const Vm& it) { return it.log && it.log->leading(timers.now()); });
        return found.empty() ? nullptr : found.front();
    }

    Vm& follower() const
    {
        return *select([this](const Vm& it) { return it.log && !it.log->leading(timers.now()); }).front();
    }

    bool awaitLeader(Duration limit = std::chrono::seconds(5))
    {
        return timers.runUntil([this] { return leader() != nullptr; }, limit);
    }

    /// \returns whether all control members are voters.
    bool isComplete() const
    {
        const auto members = leader()->log->status().members;
        return members.size() == controls().size() && std::ranges::all_of(members, &ControlMemberRecord::voter);
    }

    bool allValid() const
    {
        return std::ranges::all_of(m_vms, [this](const auto& it) { return it->session && it->session->keysValid(timers.now()); });
    }

    /// Submits \p change at \p vm and runs until it is answered.
    ChangeResult submit(Vm& vm, const Change& change, Duration limit = std::chrono::seconds(6))
    {
        std::optional<ChangeResult> result;
        vm.log->submit(change, [&result](const ChangeResult& it) { result = it; });
        timers.runUntil([&result] { return result.has_value(); }, limit);
        return result.value_or(ChangeResult { ChangeOutcome::Count, 0, 0, "not answered" });
    }

    ChangeResult configure(Vm& vm, const std::string& changeId, std::uint64_t base, const std::string& text)
    {
        return submit(vm, { changeId, SubmitConfiguration { base, text } });
    }

    /// Waits until \p index is reported to be in force at all daemons. \returns the time taken, or nothing on failure.
    std::optional<Duration> awaitInForce(Vm& vm, std::uint64_t index)
    {
        const auto began = timers.now();
        std::optional<bool> result;
        vm.log->awaitInForce(index, [&result](bool it) { result = it; });
        timers.runUntil([&result] { return result.has_value(); }, std::chrono::seconds(12));
        return result.value_or(false) ? std::optional(timers.now() - began) : std::nullopt;
    }

private:
    std::vector<Vm*> select(const std::function<bool(const Vm&)>& condition) const
    {
        std::vector<Vm*> result;
        for (const auto& it : m_vms) {
            if (condition(*it)) {
                result.push_back(it.get());
            }
        }
        return result;
    }

    Random m_random;
    std::vector<std::unique_ptr<Vm>> m_vms;
};

} // namespace pw::test
