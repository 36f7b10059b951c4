#include "app/session_server.h"

#include "adapters/codec_control.h"
#include "adapters/compressed_text.h"
#include "config.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace pw {
namespace {

    /// Maximum time for which a daemon may hold a lease after the reply that granted it.
    constexpr Duration maxLeaseDuration = config::validityLease + config::leaseMargin;

} // namespace

SessionServer::SessionServer(PeerNetwork& network, TimePoint now)
    : m_network(network)
    , m_earlierLeasesEnd(now + maxLeaseDuration)
{
}

void SessionServer::reset(const FleetImage& image)
{
    m_deltas.clear();
    m_baseIndex = image.index();
    m_baseConfiguration = image.configuration();
    m_latestConfiguration.reset();
    m_configurationDeltas.clear();
}

void SessionServer::record(const FleetDelta& delta)
{
    if (std::holds_alternative<ConfigurationRecord>(delta.change)) {
        m_latestConfiguration = delta;
        m_configurationDeltas.clear();
    }
    m_deltas.push_back(delta);
    if (m_deltas.size() <= config::maxStoredDeltas) {
        return;
    }
    const auto& oldest = m_deltas.front();
    m_baseIndex = oldest.index;
    if (const auto* configuration = std::get_if<ConfigurationRecord>(&oldest.change)) {
        m_baseConfiguration = *configuration;
    }
    m_deltas.pop_front();
}

ConfigurationRecord SessionServer::configurationAt(std::uint64_t index) const
{
    const auto end = std::ranges::upper_bound(m_deltas, index, {}, &FleetDelta::index);
    const auto isConfiguration = [](const FleetDelta& it) { return std::holds_alternative<ConfigurationRecord>(it.change); };
    const auto it = std::find_if(std::make_reverse_iterator(end), m_deltas.rend(), isConfiguration);
    return it == m_deltas.rend() ? m_baseConfiguration : std::get<ConfigurationRecord>(it->change);
}

const ConfigurationDelta& SessionServer::deltaFrom(const ConfigurationRecord& base)
{
    const auto [it, isNew] = m_configurationDeltas.try_emplace(base.version);
    if (isNew) {
        const auto& latest = std::get<ConfigurationRecord>(m_latestConfiguration->change);
        it->second = { m_latestConfiguration->index, latest.version, base.version, compressText(latest.text, base.text) };
    }
    return it->second;
}

void SessionServer::addChanges(SessionReply& reply)
{
    const auto first = std::ranges::upper_bound(m_deltas, reply.baseIndex, {}, &FleetDelta::index);
    std::copy_if(first, m_deltas.end(), std::back_inserter(reply.deltas),
        [](const FleetDelta& it) { return !std::holds_alternative<ConfigurationRecord>(it.change); });
    if (m_latestConfiguration && m_latestConfiguration->index > reply.baseIndex) {
        reply.configuration = deltaFrom(configurationAt(reply.baseIndex));
    }
}

void SessionServer::handle(const PeerAddress& from, const SessionRequest& ask, const FleetImage& image,
    const Completeness& complete, TimePoint now)
{
    SessionReply reply { complete.cluster, false, ask.sentAt, complete.age, ask.appliedIndex, image.index(), {}, {}, {} };
    const auto isOtherCluster = ask.cluster != 0 && ask.cluster != complete.cluster;
    if (m_closed || isOtherCluster || !complete.age) {
        m_network.send(from, MessageKind::SessionReply, encodeSessionReply(reply));
        return;
    }
    reply.serving = true;
    if (ask.appliedIndex < m_baseIndex || ask.cluster == 0) {
        reply.image = image;
    } else {
        addChanges(reply);
    }
    m_sessions[from] = { ask.name, ask.appliedIndex, ask.version, std::max(image.index(), ask.appliedIndex), now, now };
    m_network.send(from, MessageKind::SessionReply, encodeSessionReply(reply));
}

void SessionServer::push(const FleetImage& image, std::uint64_t cluster, TimePoint now)
{
    const auto latest = m_deltas.empty() ? m_baseIndex : m_deltas.back().index;
    if (latest <= m_pushedIndex) {
        return;
    }
    m_pushedIndex = latest;
    std::map<std::uint64_t, Bytes> replies; // By base index.
    for (auto& [address, session] : m_sessions) {
        if (session.sentIndex >= latest || session.sentIndex < m_baseIndex || now >= session.lastReply + maxLeaseDuration) {
            continue;
        }
        auto& bytes = replies[session.sentIndex];
        if (bytes.empty()) {
            SessionReply reply { cluster, true, {}, {}, session.sentIndex, image.index(), {}, {}, {} };
            addChanges(reply);
            bytes = encodeSessionReply(reply);
        }
        session.sentIndex = image.index();
        m_network.send(address, MessageKind::SessionReply, bytes);
    }
}

void SessionServer::stopServing(std::uint64_t cluster)
{
    m_closed = true;
    const auto notServing = encodeSessionReply({ cluster, false, {}, {}, 0, 0, {}, {}, {} });
    for (const auto& address : m_sessions | std::views::keys) {
        m_network.send(address, MessageKind::SessionReply, notServing);
    }
}

std::uint64_t SessionServer::minAppliedIndex(std::uint64_t applied, TimePoint now)
{
    std::erase_if(m_sessions, [now](const auto& entry) { return now >= entry.second.lastReply + maxLeaseDuration; });
    if (now < m_earlierLeasesEnd) {
        return 0;
    }
    const auto indexes = m_sessions | std::views::values | std::views::transform(&Session::appliedIndex);
    return m_sessions.empty() ? applied : std::min(applied, std::ranges::min(indexes));
}

std::vector<SessionStatus> SessionServer::status(TimePoint now) const
{
    std::vector<SessionStatus> result;
    for (const auto& [address, session] : m_sessions) {
        const auto silence = std::chrono::duration_cast<std::chrono::milliseconds>(now - session.lastRequest);
        result.push_back({ address, session.name, session.appliedIndex, session.version, silence });
    }
    return result;
}

} // namespace pw
