#pragma once

#include "app/settings.h"
#include "ports/events.h"
#include "ports/fleet.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Fakes of the replicated state and of the leadership, controlled by the test.
namespace pw::test {

/// Discards all events.
class NullEventLog : public EventLog {
public:
    bool shouldWrite(Event /*event*/) override { return false; }
    void write(Event /*event*/, std::initializer_list<EventField> /*fields*/) override { }
};

/// Replicated state whose configuration comes into force at all daemons at once.
class FakeFleet : public FleetView {
public:
    const Deployment& deployment() const override { return m_deployment; }
    std::uint64_t version() const override { return m_version; }
    std::optional<std::string> workspaceOfKey(const KeyDigest& /*digest*/) const override { return std::nullopt; }
    bool keysValid(TimePoint /*now*/) const override { return true; }
    bool isEvacuated(const std::string& failureDomain) const override { return m_evacuated.contains(failureDomain); }
    void onChanged(std::function<void()> handler) override { m_handlers.push_back(std::move(handler)); }

    void apply(Deployment deployment)
    {
        m_deployment = std::move(deployment);
        ++m_version;
        notify();
    }

    /// Evacuates \p failureDomain, or finishes its evacuation.
    void evacuate(const std::string& failureDomain, bool evacuated = true)
    {
        if (evacuated) {
            m_evacuated.insert(failureDomain);
        } else {
            m_evacuated.erase(failureDomain);
        }
        notify();
    }

private:
    void notify()
    {
        const auto handlers = m_handlers;
        std::ranges::for_each(handlers, [](const auto& handler) { handler(); });
    }

    std::set<std::string> m_evacuated;
    Deployment m_deployment;
    std::uint64_t m_version = 0;
    std::vector<std::function<void()>> m_handlers;
};

/// Election decided by the test: at most one member leads, and the epoch increases with each election.
class FakeElection {
public:
    /// Removes the leader; no member leads until the next call of elect().
    void removeLeader()
    {
        m_leading = false;
        notify();
    }

    void elect(PeerAddress leader)
    {
        m_leader = std::move(leader);
        m_leading = true;
        ++m_epoch;
        notify();
    }

    const PeerAddress& leader() const { return m_leader; }
    bool leading() const { return m_leading; }
    std::uint64_t epoch() const { return m_epoch; }
    void onChanged(std::function<void()> handler) { m_handlers.push_back(std::move(handler)); }

private:
    void notify()
    {
        const auto handlers = m_handlers;
        std::ranges::for_each(handlers, [](const auto& handler) { handler(); });
    }

    PeerAddress m_leader;
    bool m_leading = false;
    std::uint64_t m_epoch = 0;
    std::vector<std::function<void()>> m_handlers;
};

/// The leadership as known to one member.
class FakeLeadership : public Leadership {
public:
    FakeLeadership(FakeElection& election, PeerAddress self)
        : m_election(election)
        , m_self(std::move(self))
    {
    }

    bool leading(TimePoint /*now*/) const override { return m_election.leading() && m_election.leader() == m_self; }
    std::uint64_t epoch() const override { return m_election.epoch(); }
    PeerAddress leader() const override { return m_election.leading() ? m_election.leader() : PeerAddress(); }

    void onChanged(std::function<void(bool leading)> handler) override
    {
        m_election.onChanged([this, handler = std::move(handler)] { handler(leading({})); });
    }

private:
    FakeElection& m_election;
    PeerAddress m_self;
};

/// \returns the settings of daemon \p name in a fleet with control members at \p members.
inline Settings daemonSettings(const std::string& name, const std::vector<PeerAddress>& members)
{
    Settings settings;
    settings.name = name;
    settings.peerAddress = name;
    std::ranges::transform(members, std::back_inserter(settings.controlMembers),
        [](const PeerAddress& address) { return ControlMember { address, address, {} }; });
    return settings;
}

} // namespace pw::test
