#include "app/claim_releases.h"

#include "adapters/codec_claims.h"
#include "config.h"

#include <algorithm>

namespace pw {

ClaimReleases::ClaimReleases(PeerNetwork& network, Timers& timers)
    : m_network(network)
    , m_timers(timers)
{
}

ClaimReleases::~ClaimReleases()
{
    m_timers.cancel(m_timer);
}

void ClaimReleases::add(const ClaimRelease& release, const std::vector<std::string>& replicas)
{
    m_pending.push_back({ release, { replicas.begin(), replicas.end() }, 0 });
    send(m_pending.back());
    schedule();
}

void ClaimReleases::confirm(const std::string& from, const ClaimVote& vote)
{
    const auto it = std::ranges::find_if(m_pending, [&vote](const Pending& pending) {
        return pending.release.token == vote.token && pending.release.key == vote.key;
    });
    if (it == m_pending.end()) {
        return;
    }
    it->unconfirmed.erase(from);
    if (it->unconfirmed.empty()) {
        m_pending.erase(it);
    }
}

void ClaimReleases::send(Pending& pending)
{
    ++pending.attempts;
    const auto message = encodeClaimMessage(pending.release);
    std::ranges::for_each(pending.unconfirmed, [&](const auto& address) { m_network.send(address, MessageKind::ClaimMemberRequest, message); });
}

void ClaimReleases::schedule()
{
    if (!m_timer && !m_pending.empty()) {
        m_timer = m_timers.after(config::claimReleaseRetry, [this] { resend(); });
    }
}

void ClaimReleases::resend()
{
    m_timer = 0;
    std::erase_if(m_pending, [](const Pending& pending) { return pending.attempts >= config::maxClaimReleaseAttempts; });
    std::ranges::for_each(m_pending, [this](Pending& pending) { send(pending); });
    schedule();
}

} // namespace pw
