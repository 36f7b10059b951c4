#include "app/control_log.h"

#include "app/control_log_impl.h"

#include <array>

namespace pw {
namespace {

    constexpr std::array<std::string_view, static_cast<std::size_t>(ControlRole::Count)> roleNames {
        "empty", "learner", "follower", "candidate", "leader", "stopped"
    };

} // namespace

std::string_view controlRoleName(ControlRole role)
{
    return roleNames.at(static_cast<std::size_t>(role));
}

ControlLog::ControlLog(const Settings& settings, PeerNetwork& network, Timers& timers, std::uint64_t seed, EventLog& events,
    LogStorage& storage, DeploymentParser parser)
    : m_impl(std::make_unique<Impl>(settings, network, timers, seed, events, storage, std::move(parser)))
{
}

ControlLog::~ControlLog() = default;

bool ControlLog::start(std::string& reason)
{
    return m_impl->start(reason);
}

bool ControlLog::bootstrap(std::string& reason)
{
    return m_impl->bootstrap(reason);
}

void ControlLog::submit(Change change, Done done)
{
    m_impl->submit(std::move(change), std::move(done));
}

void ControlLog::readLatest(std::function<void(const ConfigurationRecord*)> done)
{
    m_impl->readLatest(std::move(done));
}

void ControlLog::awaitInForce(std::uint64_t index, std::function<void(bool)> done)
{
    m_impl->submit(AwaitInForce { index }, [done = std::move(done)](const ChangeResult& result) {
        done(result.outcome == ChangeOutcome::Accepted);
    });
}

void ControlLog::removeMember(const std::string& name, Done done)
{
    m_impl->submit(RemoveMember { name }, std::move(done));
}

void ControlLog::transferLeadership(std::function<void()> done)
{
    m_impl->transferLeadership(std::move(done));
}

ControlStatus ControlLog::status() const
{
    return m_impl->status();
}

const FleetImage& ControlLog::image() const
{
    return m_impl->state().image();
}

std::vector<ConfigurationRevision> ControlLog::history() const
{
    const auto& history = m_impl->state().history();
    return { history.begin(), history.end() };
}

bool ControlLog::leading(TimePoint now) const
{
    return m_impl->leading(now);
}

std::uint64_t ControlLog::epoch() const
{
    return m_impl->epoch();
}

PeerAddress ControlLog::leader() const
{
    return m_impl->leader();
}

void ControlLog::onChanged(std::function<void(bool leading)> handler)
{
    m_impl->onChanged(std::move(handler));
}

} // namespace pw
