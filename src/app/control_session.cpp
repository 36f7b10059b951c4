#include "app/control_session.h"

#include "adapters/codec_control.h"
#include "adapters/compressed_text.h"
#include "adapters/crypto.h"
#include "config.h"

#include <algorithm>
#include <map>
#include <ranges>
#include <set>

namespace pw {
namespace {

    std::map<KeyDigest, std::string> configuredKeys(const Deployment& deployment)
    {
        std::map<KeyDigest, std::string> result;
        for (const auto& workspace : deployment.workspaces) {
            for (const auto& hex : workspace.keyDigests) {
                if (const auto digest = crypto::parseDigest(hex)) {
                    result.emplace(*digest, workspace.name);
                }
            }
        }
        return result;
    }

    std::set<std::string> evacuatedDomainsOf(const FleetImage& image)
    {
        std::set<std::string> result;
        for (const auto& [domain, record] : image.evacuations()) {
            if (record.evacuated) {
                result.insert(domain);
            }
        }
        return result;
    }

} // namespace

/// Implementation of ControlSession.
class ControlSession::Impl {
public:
    Impl(const Settings& settings, PeerNetwork& network, Timers& timers, std::uint64_t seed, EventLog& events,
        DeploymentParser parser)
        : m_settings(settings)
        , m_network(network)
        , m_timers(timers)
        , m_events(events)
        , m_parser(std::move(parser))
        , m_random(seed)
        , m_startedAt(timers.now())
    {
    }

    ~Impl() { m_timers.cancel(m_askTimer); }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    void start();
    bool keysValid(TimePoint now) const;
    std::optional<std::string> workspaceOfKey(const KeyDigest& digest) const;
    const Deployment& deployment() const { return m_deployment; }
    std::uint64_t version() const { return m_version; }
    const FleetImage& image() const { return m_image; }
    bool isEvacuated(const std::string& failureDomain) const { return m_image.isEvacuated(failureDomain); }
    const std::set<std::string>& evacuatedDomains() const { return m_evacuated; }
    const PeerAddress& member() const { return m_choice.current(); }
    std::vector<MemberLocation> members() const;
    void onChanged(std::function<void()> handler) { m_changed.push_back(std::move(handler)); }
    void onSuspectsChanged(std::function<void()> handler) { m_suspectsChanged.push_back(std::move(handler)); }
    bool isCaughtUp() const { return m_validAsOf >= m_startedAt; }
    void onDeparturesChanged(std::function<void()> handler) { m_departuresChanged.push_back(std::move(handler)); }
    void onMembers(std::function<void(const std::vector<MemberLocation>&)> handler) { m_membersChanged.push_back(std::move(handler)); }

private:
    void tick();
    void sendRequest();
    void chooseMember();
    std::vector<PeerAddress> preferred() const;
    void switchMember(std::string_view cause);
    void handle(const PeerAddress& from, SessionReply reply);
    bool checkCluster(const SessionReply& reply);
    bool applyState(SessionReply& reply);
    std::optional<FleetDelta> decodeConfigurationDelta(const SessionReply& reply);
    void renewValidityLease(const SessionReply& reply);
    void enterServiceWithoutLease();
    void publish();
    void publishMembers();
    void publishEvacuations();
    void publishSuspects();
    void publishDepartures();
    void reselectMember();
    void logValidityChange();

    const Settings& m_settings;
    PeerNetwork& m_network;
    Timers& m_timers;
    EventLog& m_events;
    DeploymentParser m_parser;
    Random m_random;
    TimePoint m_startedAt;

    MemberSelector m_choice { {} }; ///< Selects the member attached to; empty before start().
    TimePoint m_attachedAt {};
    TimePoint m_answeredAt {}; ///< Last reply of the member attached to.
    TimerId m_askTimer = 0;

    std::uint64_t m_cluster = 0; ///< Cluster of the first state received; states of other clusters are rejected.
    FleetImage m_image;
    bool m_needsFullState = false; ///< A delta does not apply to the state held here.
    TimePoint m_validAsOf {}; ///< The image contained everything accepted before this time.
    bool m_servesConfiguration = false; ///< The image is at least as new as that of any earlier process of this daemon.
    bool m_valid = false; ///< As last logged.
    std::uint64_t m_version = 0;
    Deployment m_deployment;
    std::set<std::string> m_evacuated; ///< Evacuated failure domains, as last passed to the handlers.
    std::map<KeyDigest, std::string> m_configuredKeys; ///< Workspaces by keys listed in the configuration.
    std::vector<std::function<void()>> m_changed;
    SuspectMap m_suspects; ///< As last passed to the handlers.
    std::vector<std::function<void()>> m_suspectsChanged;
    std::vector<std::uint64_t> m_departures; ///< As last passed to the handlers.
    bool m_wasCaughtUp = false; ///< As last passed to the handlers.
    std::vector<std::function<void()>> m_departuresChanged;
    std::vector<MemberLocation> m_knownMembers; ///< As last passed to the handlers.
    std::vector<std::function<void(const std::vector<MemberLocation>&)>> m_membersChanged;
};

bool ControlSession::Impl::keysValid(TimePoint now) const
{
    const auto leased = now < m_validAsOf + config::validityLease;
    return m_servesConfiguration && (leased || !m_settings.refuseWithoutControl);
}

std::optional<std::string> ControlSession::Impl::workspaceOfKey(const KeyDigest& digest) const
{
    if (const auto it = m_configuredKeys.find(digest); it != m_configuredKeys.end()) {
        return it->second;
    }
    const auto* key = m_image.keyOf(digest);
    return key ? std::optional(key->workspace) : std::nullopt;
}

void ControlSession::Impl::start()
{
    m_network.onMessage(MessageKind::SessionReply, [this](const PeerAddress& from, std::span<const std::byte> bytes) {
        if (auto reply = decodeSessionReply(bytes)) {
            handle(from, std::move(*reply));
        }
    });
    m_network.onLost([this](const PeerAddress& peer) {
        if (peer == member()) {
            switchMember("link-lost");
        }
    });
    chooseMember();
    tick();
}

std::vector<MemberLocation> ControlSession::Impl::members() const
{
    if (m_image.members().empty()) {
        return withUnknownDomains(controlPeerAddresses(m_settings));
    }
    std::vector<MemberLocation> result;
    std::ranges::transform(m_image.members(), std::back_inserter(result),
        [](const ControlMemberRecord& it) { return MemberLocation { it.address, it.failureDomain }; });
    return result;
}

std::vector<PeerAddress> ControlSession::Impl::preferred() const
{
    auto result = orderByProximity(members(), { m_settings.name, m_network.self(), m_settings.failureDomain });
    // Seeds are the last resort: all known members may have been replaced meanwhile.
    std::ranges::copy_if(m_settings.controlSeeds, std::back_inserter(result),
        [known = result](const PeerAddress& it) { return std::ranges::find(known, it) == known.end(); });
    return result;
}

void ControlSession::Impl::chooseMember()
{
    m_choice.update(preferred());
    m_choice.reset();
    m_attachedAt = m_timers.now();
}

void ControlSession::Impl::switchMember(std::string_view cause)
{
    m_choice.update(preferred());
    m_choice.next();
    m_attachedAt = m_timers.now();
    PW_EVENT(m_events, Event::SessionMoved, { "member", member() }, { "cause", cause });
}

void ControlSession::Impl::tick()
{
    const auto now = m_timers.now();
    if (now >= std::max(m_answeredAt, m_attachedAt) + config::sessionTimeout) {
        switchMember("silent");
    } else if (now >= std::max(m_validAsOf, m_attachedAt) + config::sessionStaleTimeout) {
        switchMember("stale"); // It replies, but is partitioned from the leader.
    } else if (now >= m_attachedAt + config::sessionRebalanceTime) {
        chooseMember();
    }
    logValidityChange();
    sendRequest();
    const auto jitter = 0.9 + 0.2 * uniform(m_random);
    const auto urgent = now >= m_validAsOf + config::sessionTimeout;
    const auto interval = urgent ? config::sessionUrgentInterval : config::sessionInterval;
    const auto delay = std::chrono::duration_cast<Duration>(interval * jitter);
    m_askTimer = m_timers.after(delay, [this] { tick(); });
}

void ControlSession::Impl::sendRequest()
{
    if (!member().empty()) {
        const SessionRequest ask { m_needsFullState ? 0 : m_cluster, m_settings.name, m_image.index(), m_version, m_timers.now().time_since_epoch() };
        m_network.send(member(), MessageKind::SessionRequest, encodeSessionAsk(ask));
    }
}

void ControlSession::Impl::handle(const PeerAddress& from, SessionReply reply)
{
    if (from == member()) {
        m_answeredAt = m_timers.now();
    }
    if (!reply.serving) {
        if (from == member() && m_servesConfiguration) {
            switchMember("not-serving");
        }
        return;
    }
    if (!checkCluster(reply)) {
        return;
    }
    const auto before = m_image.index();
    const auto changed = applyState(reply);
    const auto missed = m_image.index() < reply.index;
    renewValidityLease(reply);
    enterServiceWithoutLease();
    publishMembers();
    publishEvacuations();
    publishSuspects();
    publishDepartures();
    publish();
    logValidityChange();
    if (changed || (missed && m_image.index() == before && reply.sentAt == Duration::zero())) {
        sendRequest(); // Acknowledges the changes, or requests missing ones.
    }
}

bool ControlSession::Impl::checkCluster(const SessionReply& reply)
{
    if (m_cluster == 0) {
        m_cluster = reply.image ? reply.cluster : 0;
        return reply.image.has_value();
    }
    if (reply.cluster != m_cluster) {
        PW_EVENT(m_events, Event::ClusterMismatch, { "expected", m_cluster }, { "got", reply.cluster });
    }
    return reply.cluster == m_cluster;
}

bool ControlSession::Impl::applyState(SessionReply& reply)
{
    if (reply.image) {
        const auto newer = reply.image->index() > m_image.index();
        m_needsFullState = false;
        if (newer) {
            m_image = std::move(*reply.image);
        }
        return newer;
    }
    if (reply.baseIndex > m_image.index()) {
        return false; // Earlier changes are missing.
    }
    const auto before = m_image.index();
    if (reply.configuration && reply.configuration->index > before) {
        auto expanded = decodeConfigurationDelta(reply);
        if (!expanded) {
            return false;
        }
        reply.deltas.push_back(std::move(*expanded));
    }
    std::ranges::sort(reply.deltas, {}, &FleetDelta::index);
    std::ranges::for_each(reply.deltas, [this](const FleetDelta& it) { m_image.apply(it); });
    const auto changed = m_image.index() > before;
    m_image.advance(reply.index);
    return changed;
}

/// \returns the decoded configuration of \p reply, or nothing when its base version is not the one held here; then requests
/// it again.
std::optional<FleetDelta> ControlSession::Impl::decodeConfigurationDelta(const SessionReply& reply)
{
    const auto& difference = *reply.configuration;
    const auto& base = m_image.configuration();
    if (difference.baseVersion == base.version) {
        if (auto text = decompressText(difference.encodedDelta, base.text, config::maxFrameBytes)) {
            return FleetDelta { difference.index, ConfigurationRecord { difference.version, std::move(*text) } };
        }
    }
    // A reply to an earlier request may cross with a push, which explains a different index. At the same index the two sides
    // disagree on the base, so the full state is needed.
    m_needsFullState = reply.baseIndex == m_image.index();
    PW_EVENT(m_events, Event::ConfigurationBaseDiffers, { "base", difference.baseVersion }, { "version", difference.version },
        { "have", base.version }, { "index", m_image.index() }, { "whole", m_needsFullState });
    sendRequest();
    return std::nullopt;
}

void ControlSession::Impl::renewValidityLease(const SessionReply& reply)
{
    const TimePoint sentAt(reply.sentAt);
    if (!reply.age || reply.sentAt == Duration::zero() || sentAt > m_timers.now() || m_image.index() < reply.index) {
        return;
    }
    m_validAsOf = std::max(m_validAsOf, sentAt - *reply.age);
    // An earlier process of this daemon cannot have applied changes accepted after this one started.
    m_servesConfiguration = m_servesConfiguration || isCaughtUp();
}

/// A daemon configured to continue without control members uses any configuration it has received, as it cannot wait for
/// the latest one to be confirmed.
void ControlSession::Impl::enterServiceWithoutLease()
{
    m_servesConfiguration = m_servesConfiguration || (!m_settings.refuseWithoutControl && m_image.configuration().version > 0);
}

void ControlSession::Impl::publishMembers()
{
    if (auto known = members(); known != m_knownMembers) {
        m_knownMembers = std::move(known);
        reselectMember();
        std::ranges::for_each(m_membersChanged, [this](const auto& handler) { handler(m_knownMembers); });
    }
}

void ControlSession::Impl::publishEvacuations()
{
    bool changed = false;
    for (const auto& [domain, record] : m_image.evacuations()) {
        if (record.evacuated != m_evacuated.contains(domain)) {
            changed = true;
            PW_EVENT(m_events, Event::EvacuationApplied, { "failureDomain", domain }, { "evacuated", record.evacuated },
                { "revision", record.revision }, { "index", m_image.index() });
        }
    }
    if (!changed) {
        return;
    }
    m_evacuated = evacuatedDomainsOf(m_image);
    std::ranges::for_each(m_changed, [](const auto& handler) { handler(); });
}

void ControlSession::Impl::publishSuspects()
{
    if (m_suspects != m_image.suspects()) {
        m_suspects = m_image.suspects();
        std::ranges::for_each(m_suspectsChanged, [](const auto& handler) { handler(); });
    }
}

void ControlSession::Impl::publishDepartures()
{
    const auto changed = m_departures != m_image.departures();
    if (changed) {
        m_departures = m_image.departures();
    }
    if (std::exchange(m_wasCaughtUp, isCaughtUp()) != m_wasCaughtUp || changed) {
        std::ranges::for_each(m_departuresChanged, [](const auto& handler) { handler(); });
    }
}

/// Selects the preferred one of the members known now.
void ControlSession::Impl::reselectMember()
{
    const auto before = member();
    chooseMember();
    if (member() != before) {
        PW_EVENT(m_events, Event::SessionMoved, { "member", member() }, { "cause", "members-changed" });
    }
}

void ControlSession::Impl::publish()
{
    const auto& record = m_image.configuration();
    if (!m_servesConfiguration || record.version <= m_version) {
        return;
    }
    std::string reason;
    auto parsed = m_parser(record.text, reason);
    if (!parsed) {
        PW_EVENT(m_events, Event::ConfigurationUnreadable, { "version", record.version }, { "reason", reason });
        return;
    }
    m_deployment = std::move(*parsed);
    m_configuredKeys = configuredKeys(m_deployment);
    m_version = record.version;
    PW_EVENT(m_events, Event::ConfigurationApplied, { "version", m_version }, { "index", m_image.index() });
    std::ranges::for_each(m_changed, [](const auto& handler) { handler(); });
}

void ControlSession::Impl::logValidityChange()
{
    const auto valid = keysValid(m_timers.now());
    if (valid == m_valid) {
        return;
    }
    m_valid = valid;
    if (valid) {
        PW_EVENT(m_events, Event::ValidityRenewed, { "index", m_image.index() }, { "member", member() });
    } else {
        PW_EVENT(m_events, Event::ValidityLapsed, { "index", m_image.index() }, { "member", member() });
    }
}

ControlSession::ControlSession(const Settings& settings, PeerNetwork& network, Timers& timers, std::uint64_t seed,
    EventLog& events, DeploymentParser parser)
    : m_impl(std::make_unique<Impl>(settings, network, timers, seed, events, std::move(parser)))
{
}

ControlSession::~ControlSession() = default;

void ControlSession::start()
{
    m_impl->start();
}

const Deployment& ControlSession::deployment() const
{
    return m_impl->deployment();
}

std::uint64_t ControlSession::version() const
{
    return m_impl->version();
}

std::optional<std::string> ControlSession::workspaceOfKey(const KeyDigest& digest) const
{
    return m_impl->workspaceOfKey(digest);
}

bool ControlSession::keysValid(TimePoint now) const
{
    return m_impl->keysValid(now);
}

bool ControlSession::isEvacuated(const std::string& failureDomain) const
{
    return m_impl->isEvacuated(failureDomain);
}

std::vector<std::string> ControlSession::evacuatedDomains() const
{
    const auto& domains = m_impl->evacuatedDomains();
    return { domains.begin(), domains.end() };
}

void ControlSession::onChanged(std::function<void()> handler)
{
    m_impl->onChanged(std::move(handler));
}

std::uint64_t ControlSession::appliedIndex() const
{
    return m_impl->image().index();
}

void ControlSession::onMembers(std::function<void(const std::vector<MemberLocation>&)> handler)
{
    m_impl->onMembers(std::move(handler));
}

const PeerAddress& ControlSession::controlMember() const
{
    return m_impl->member();
}

const SuspectMap& ControlSession::suspects() const
{
    return m_impl->image().suspects();
}

void ControlSession::onSuspectsChanged(std::function<void()> handler)
{
    m_impl->onSuspectsChanged(std::move(handler));
}

bool ControlSession::holdsEarlierDepartures() const
{
    return m_impl->isCaughtUp();
}

bool ControlSession::hasDeparted(std::uint64_t start) const
{
    const auto& departures = m_impl->image().departures();
    return std::ranges::find(departures, start) != departures.end();
}

void ControlSession::onDeparturesChanged(std::function<void()> handler)
{
    m_impl->onDeparturesChanged(std::move(handler));
}

std::vector<MemberLocation> ControlSession::controlMembers() const
{
    return m_impl->members();
}

} // namespace pw
