#include "app/control_claims.h"

#include "adapters/codec_claims.h"
#include "adapters/crypto.h"
#include "adapters/file_marker.h"
#include "config.h"
#include "core/claim_replica.h"
#include "core/claim_replicas.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace pw {
namespace {

    std::vector<std::string> memberAddresses(const Settings& settings)
    {
        std::vector<std::string> result;
        std::ranges::transform(settings.controlMembers, std::back_inserter(result), &ControlMember::peerAddress);
        return result;
    }

    std::vector<std::string> excluding(std::vector<std::string> addresses, const std::string& self)
    {
        std::erase(addresses, self);
        return addresses;
    }

} // namespace

class ControlClaims::Impl {
public:
    Impl(const Settings& settings, PeerNetwork& network, Timers& timers, EventLog& events, StartMarker& marker, std::uint64_t seed)
        : m_network(network)
        , m_timers(timers)
        , m_events(events)
        , m_marker(marker)
        , m_members(memberAddresses(settings))
        , m_replica(excluding(m_members, network.self()), seed, !marker.isSet(), { config::claimRetention, config::claimRoundLimit }, timers.now())
    {
        m_network.onMessage(MessageKind::ClaimMemberRequest, [this](const PeerAddress& from, std::span<const std::byte> message) { handleMessage(from, message); });
        PW_EVENT(m_events, Event::ClaimReplicaRefilling, { "first_start", marker.isSet() ? "no" : "yes" });
        continueRefill();
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    ~Impl()
    {
        m_network.onMessage(MessageKind::ClaimMemberRequest, {});
        m_timers.cancel(m_timer);
    }

    const ClaimReplica& replica() const { return m_replica; }

private:
    /// Requests the missing claims from the other members, periodically until the replica is complete.
    void continueRefill()
    {
        m_timer = 0;
        if (startGrantingIfComplete()) {
            return;
        }
        for (const auto& [address, request] : m_replica.refillRequests(m_timers.now())) {
            m_network.send(address, MessageKind::ClaimMemberRequest, encodeClaimMessage(request));
        }
        m_timer = m_timers.after(config::claimRefillRetry, [this] { continueRefill(); });
    }

    /// Starts granting once the replica is complete. The marker must be durable before the first claim is granted.
    /// \returns whether claims are granted.
    bool startGrantingIfComplete()
    {
        if (m_replica.ready()) {
            return true;
        }
        if (!m_replica.complete(m_timers.now()) || !(m_marker.isSet() || m_marker.set())) {
            return false;
        }
        m_replica.startGranting();
        PW_EVENT(m_events, Event::ClaimReplicaReady, { "claims", m_replica.table().size() });
        return true;
    }

    void handleMessage(const PeerAddress& from, std::span<const std::byte> bytes)
    {
        const auto message = decodeClaimMessage(bytes);
        if (!message) {
            PW_EVENT(m_events, Event::FrameRefused, { "from", from }, { "kind", "claim-ask" });
            return;
        }
        std::visit([this, &from](const auto& it) { handle(from, it); }, *message);
    }

    void handle(const PeerAddress& from, const ClaimRequest& request)
    {
        const auto vote = m_replica.claim(from, request, m_timers.now());
        m_network.send(from, MessageKind::ClaimReply, encodeClaimVote(vote));
    }

    void handle(const PeerAddress& from, const ClaimRelease& release)
    {
        m_replica.release(from, release, m_timers.now());
        const ClaimVote vote { release.key, release.token, ClaimVoteKind::Released, {}, 0 };
        m_network.send(from, MessageKind::ClaimReply, encodeClaimVote(vote));
    }

    void handle(const PeerAddress& from, const ClaimRefillRequest& request)
    {
        const auto isReplicaOf = [this, &from](const ClaimKey& key) {
            const auto replicas = claimReplicasOf(key, m_members, config::claimReplicas);
            return std::ranges::find(replicas, from) != replicas.end();
        };
        const auto page = m_replica.makePage(request, config::claimRefillPageSize, isReplicaOf, m_timers.now());
        m_network.send(from, MessageKind::ClaimMemberRequest, encodeClaimMessage(page));
    }

    void handle(const PeerAddress& from, const ClaimRefillPage& page)
    {
        const bool more = m_replica.addPage(from, page, m_timers.now());
        if (startGrantingIfComplete() || !more) {
            return;
        }
        for (const auto& [address, request] : m_replica.refillRequests(m_timers.now())) {
            if (address == from) {
                m_network.send(address, MessageKind::ClaimMemberRequest, encodeClaimMessage(request));
            }
        }
    }

    PeerNetwork& m_network;
    Timers& m_timers;
    EventLog& m_events;
    StartMarker& m_marker;
    std::vector<std::string> m_members;
    ClaimReplica m_replica;
    TimerId m_timer = 0;
};

ControlClaims::ControlClaims(const Settings& settings, PeerNetwork& network, Timers& timers, EventLog& events)
    : m_ownMarker(std::make_unique<FileMarker>(settings.dataFolder, "claims-served"))
    , m_impl(std::make_unique<Impl>(settings, network, timers, events, *m_ownMarker, crypto::randomNumber()))
{
}

ControlClaims::ControlClaims(const Settings& settings, PeerNetwork& network, Timers& timers, EventLog& events, StartMarker& marker, std::uint64_t seed)
    : m_impl(std::make_unique<Impl>(settings, network, timers, events, marker, seed))
{
}

ControlClaims::~ControlClaims() = default;

bool ControlClaims::ready() const
{
    return m_impl->replica().ready();
}

std::size_t ControlClaims::claims() const
{
    return m_impl->replica().table().size();
}

} // namespace pw
