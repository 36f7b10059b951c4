#include "app/daemon_claims.h"

#include "adapters/claim_key.h"
#include "adapters/codec_claims.h"
#include "app/claim_releases.h"
#include "config.h"
#include "core/claim_replicas.h"
#include "core/claim_round.h"
#include "core/local_claims.h"
#include "ports/random.h"

#include <algorithm>
#include <array>
#include <optional>
#include <unordered_map>
#include <utility>

namespace pw {
namespace {

    constexpr std::array<std::string_view, static_cast<std::size_t>(ClaimOutcome::Count)> outcomeNames {
        "granted", "running", "answered", "unknown", "unavailable"
    };

    /// \returns the outcome for the caller when another daemon holds the claim in \p state; nothing when another round of
    /// claiming may succeed.
    std::optional<ClaimOutcome> outcomeOf(ClaimState state)
    {
        switch (state) {
        case ClaimState::Running:
            return ClaimOutcome::Running;
        case ClaimState::Answered:
            return ClaimOutcome::Answered;
        case ClaimState::Claiming:
        case ClaimState::Released:
            return std::nullopt;
        case ClaimState::Unknown:
        case ClaimState::Count:
            break;
        }
        return ClaimOutcome::Unknown;
    }

} // namespace

class DaemonClaims::Impl {
public:
    Impl(const Settings& settings, PeerNetwork& network, Timers& timers, std::uint64_t seed, EventLog& events)
        : m_network(network)
        , m_timers(timers)
        , m_random(seed)
        , m_events(events)
        , m_localClaims({ config::claimRetention, config::maxStoredClaims, config::maxStoredAnswerBytes })
        , m_releases(network, timers)
    {
        std::ranges::transform(settings.controlMembers, std::back_inserter(m_members), &ControlMember::peerAddress);
        m_network.onMessage(MessageKind::ClaimReply, [this](const PeerAddress& from, std::span<const std::byte> bytes) { handleVote(from, bytes); });
        m_network.onMessage(MessageKind::ClaimFetch, [this](const PeerAddress& from, std::span<const std::byte> bytes) { handleFetch(from, bytes); });
        m_network.onMessage(MessageKind::ClaimFetched, [this](const PeerAddress& /*from*/, std::span<const std::byte> bytes) { handleFetched(bytes); });
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    ~Impl()
    {
        m_network.onMessage(MessageKind::ClaimReply, {});
        m_network.onMessage(MessageKind::ClaimFetch, {});
        m_network.onMessage(MessageKind::ClaimFetched, {});
        std::ranges::for_each(m_attempts, [this](const auto& entry) { m_timers.cancel(entry.second.timer); });
    }

    void claim(const std::string& workspace, const std::string& requestId, TimePoint deadline, Done done)
    {
        const auto key = claimKey(workspace, requestId);
        const auto* local = m_localClaims.find(key);
        if (m_attempts.contains(key) || (local && local->state == ClaimState::Running)) {
            done(ClaimOutcome::Running, std::nullopt);
            return;
        }
        if (local && local->state == ClaimState::Answered) {
            done(ClaimOutcome::Answered, local->answer);
            return;
        }
        auto& attempt = m_attempts[key];
        attempt.deadline = deadline;
        attempt.done = std::move(done);
        attempt.replicas = claimReplicasOf(key, m_members, config::claimReplicas);
        beginRound(key);
    }

    void finish(const std::string& workspace, const std::string& requestId, StoredAnswer answer)
    {
        const auto key = claimKey(workspace, requestId);
        const auto* local = m_localClaims.find(key);
        if (!local || local->state != ClaimState::Running) {
            return;
        }
        if (answer.refusal.verdict == Verdict::NotRun) {
            release(key);
        } else {
            m_localClaims.storeAnswer(key, std::move(answer), m_timers.now());
        }
    }

private:
    /// A claim in progress for one request of a caller.
    struct Attempt {
        TimePoint deadline;
        Done done;
        std::vector<std::string> replicas;
        int rounds = 0;
        std::optional<ClaimRound> round; ///< Round in progress.
        std::optional<ClaimVote> holder; ///< Vote that names the round whose state is being fetched from another daemon.
        TimePoint fetchDeadline;
        TimerId timer = 0;
    };

    void armTimer(const ClaimKey& key, Attempt& attempt, TimePoint due, void (Impl::*action)(const ClaimKey&))
    {
        m_timers.cancel(attempt.timer);
        const auto delay = std::max(std::min(due, attempt.deadline) - m_timers.now(), Duration::zero());
        attempt.timer = m_timers.after(delay, [this, key, action] { (this->*action)(key); });
    }

    void beginRound(const ClaimKey& key)
    {
        auto& attempt = m_attempts.at(key);
        const auto now = m_timers.now();
        if (now >= attempt.deadline) {
            complete(key, ClaimOutcome::Unavailable);
            return;
        }
        ++attempt.rounds;
        attempt.holder.reset();
        attempt.round.emplace(key, m_random(), attempt.replicas, now);
        m_localClaims.beginRound(key, attempt.round->token(), now);
        requestVotes(key);
    }

    /// Sends the claim to the replicas that have not voted, and repeats it while the round is pending.
    void requestVotes(const ClaimKey& key)
    {
        if (concludeRound(key)) {
            return;
        }
        auto& attempt = m_attempts.at(key);
        const auto message = encodeClaimMessage(ClaimRequest { key, attempt.round->token() });
        std::ranges::for_each(attempt.round->unansweredReplicas(), [&](const auto& address) { m_network.send(address, MessageKind::ClaimMemberRequest, message); });
        armTimer(key, attempt, m_timers.now() + config::claimRequestRetry, &Impl::requestVotes);
    }

    /// Acts on the outcome of the current round. \returns whether the round has ended.
    bool concludeRound(const ClaimKey& key)
    {
        auto& attempt = m_attempts.at(key);
        const auto now = m_timers.now();
        const bool expired = now >= attempt.deadline;
        const auto state = attempt.round->state(now, expired ? Duration::zero() : Duration(config::claimRoundLimit));
        if (state == ClaimRoundState::Pending) {
            return false;
        }
        if (state == ClaimRoundState::Won) {
            m_localClaims.markRunning(key);
            complete(key, ClaimOutcome::Granted);
            return true;
        }
        release(key);
        if (state == ClaimRoundState::Unavailable) {
            retryRound(key, ClaimOutcome::Unavailable);
        } else {
            fetchFromHolder(key, attempt.round->holder());
        }
        return true;
    }

    void release(const ClaimKey& key)
    {
        const auto* local = m_localClaims.find(key);
        m_localClaims.markReleased(key);
        m_releases.add({ key, local->token }, claimReplicasOf(key, m_members, config::claimReplicas));
    }

    /// Begins another round after a random pause, or completes with \p outcome when no round or no time is left.
    void retryRound(const ClaimKey& key, ClaimOutcome outcome)
    {
        auto& attempt = m_attempts.at(key);
        const auto pause = std::chrono::duration_cast<Duration>(config::maxClaimRoundPause * uniform(m_random));
        if (attempt.rounds >= config::maxClaimRounds || m_timers.now() + pause >= attempt.deadline) {
            complete(key, outcome);
            return;
        }
        attempt.round.reset();
        armTimer(key, attempt, m_timers.now() + pause, &Impl::beginRound);
    }

    void fetchFromHolder(const ClaimKey& key, const ClaimVote& holder)
    {
        auto& attempt = m_attempts.at(key);
        if (holder.holder == m_network.self()) {
            applyFetched(key, m_localClaims.fetchReply(key, holder.holderToken));
            return;
        }
        attempt.holder = holder;
        attempt.fetchDeadline = m_timers.now() + config::claimFetchTimeout;
        sendFetch(key);
    }

    void sendFetch(const ClaimKey& key)
    {
        auto& attempt = m_attempts.at(key);
        const auto now = m_timers.now();
        if (now >= std::min(attempt.fetchDeadline, attempt.deadline)) {
            complete(key, ClaimOutcome::Unknown);
            return;
        }
        m_network.send(attempt.holder->holder, MessageKind::ClaimFetch, encodeClaimFetch({ key, attempt.holder->holderToken }));
        armTimer(key, attempt, std::min(attempt.fetchDeadline, now + config::claimRequestRetry), &Impl::sendFetch);
    }

    void applyFetched(const ClaimKey& key, const ClaimFetchReply& fetched)
    {
        const auto outcome = outcomeOf(fetched.state);
        if (!outcome) {
            // The other round may still be won after this daemon gives up, so the outcome is then unknown.
            retryRound(key, fetched.state == ClaimState::Claiming ? ClaimOutcome::Unknown : ClaimOutcome::Unavailable);
            return;
        }
        complete(key, *outcome, fetched.answer);
    }

    void complete(const ClaimKey& key, ClaimOutcome outcome, const StoredAnswer& answer = {})
    {
        const auto it = m_attempts.find(key);
        m_timers.cancel(it->second.timer);
        const auto done = std::move(it->second.done);
        PW_EVENT(m_events, Event::ClaimDecided, { "outcome", outcomeNames.at(static_cast<std::size_t>(outcome)) }, { "rounds", it->second.rounds });
        m_attempts.erase(it);
        done(outcome, outcome == ClaimOutcome::Answered ? std::optional(answer) : std::nullopt);
    }

    void handleVote(const PeerAddress& from, std::span<const std::byte> bytes)
    {
        const auto vote = decodeClaimVote(bytes);
        if (!vote) {
            PW_EVENT(m_events, Event::FrameRefused, { "from", from }, { "kind", "claim-reply" });
            return;
        }
        if (vote->kind == ClaimVoteKind::Released) {
            m_releases.confirm(from, *vote);
            return;
        }
        if (vote->kind == ClaimVoteKind::Granted && m_localClaims.isReleased(vote->key, vote->token)) {
            m_releases.add({ vote->key, vote->token }, { from });
            return;
        }
        const auto it = m_attempts.find(vote->key);
        if (it != m_attempts.end() && it->second.round && !it->second.holder) {
            it->second.round->vote(from, *vote);
            concludeRound(vote->key);
        }
    }

    /// Handles another daemon's request for the state of a round of this daemon.
    void handleFetch(const PeerAddress& from, std::span<const std::byte> bytes)
    {
        const auto fetch = decodeClaimFetch(bytes);
        if (!fetch) {
            PW_EVENT(m_events, Event::FrameRefused, { "from", from }, { "kind", "claim-fetch" });
            return;
        }
        const auto result = m_localClaims.fetchReply(fetch->key, fetch->token);
        if (result.state == ClaimState::Released) {
            m_releases.add({ fetch->key, fetch->token }, claimReplicasOf(fetch->key, m_members, config::claimReplicas));
        }
        m_network.send(from, MessageKind::ClaimFetched, encodeClaimFetched(result));
    }

    void handleFetched(std::span<const std::byte> bytes)
    {
        const auto result = decodeClaimFetched(bytes);
        if (!result) {
            return;
        }
        const auto it = m_attempts.find(result->key);
        const bool expected = it != m_attempts.end() && it->second.holder && it->second.holder->holderToken == result->token;
        if (expected) {
            it->second.holder.reset();
            it->second.round.reset();
            applyFetched(result->key, *result);
        }
    }

    PeerNetwork& m_network;
    Timers& m_timers;
    Random m_random;
    EventLog& m_events;
    std::vector<std::string> m_members;
    LocalClaims m_localClaims;
    ClaimReleases m_releases;
    std::unordered_map<ClaimKey, Attempt> m_attempts;
};

DaemonClaims::DaemonClaims(const Settings& settings, PeerNetwork& network, Timers& timers, std::uint64_t seed, EventLog& events)
    : m_impl(std::make_unique<Impl>(settings, network, timers, seed, events))
{
}

DaemonClaims::~DaemonClaims() = default;

void DaemonClaims::claim(const std::string& workspace, const std::string& requestId, TimePoint deadline, Done done)
{
    m_impl->claim(workspace, requestId, deadline, std::move(done));
}

void DaemonClaims::finish(const std::string& workspace, const std::string& requestId, StoredAnswer answer)
{
    m_impl->finish(workspace, requestId, std::move(answer));
}

} // namespace pw
