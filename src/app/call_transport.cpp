#include "app/call_transport.h"

#include "adapters/codec_call.h"
#include "app/server_role.h"
#include "config.h"

#include <algorithm>
#include <ranges>
#include <vector>

namespace pw {
namespace {

    constexpr Refusal notSent { Verdict::NotRun, Reason::Unreachable, {} };
    constexpr Refusal linkLost { Verdict::MayHaveRun, Reason::Unreachable, {} };
    constexpr Refusal noAnswer { Verdict::MayHaveRun, Reason::DeadlineExceeded, {} };

} // namespace

CallTransport::CallTransport(PeerNetwork& network, Timers& timers, EventLog& events, ServerRole* local, std::uint64_t firstId)
    : m_network(network)
    , m_timers(timers)
    , m_local(local)
    , m_lastId(firstId)
    , m_watch(network, timers, events)
{
    network.onMessage(MessageKind::Answer, [this](const PeerAddress& from, std::span<const std::byte> message) { onAnswer(from, message); });
    network.onUnsent(MessageKind::Call, [this](const PeerAddress&, std::span<const std::byte> message) { onUnsent(message); });
    network.onLost([this](const PeerAddress& peer) { onLost(peer); });
    network.onSilent([this](const PeerAddress& peer) { onSilent(peer); });
}

CallTransport::~CallTransport()
{
    std::ranges::for_each(m_pending, [this](auto& it) { m_timers.cancel(it.second.timer); });
}

std::uint64_t CallTransport::start(const PeerAddress& daemon, Call call, Done done)
{
    auto id = ++m_lastId;
    call.id = id;
    auto patience = call.timeLeft + config::deadlineGrace;
    m_pending.emplace(id, Pending { daemon, std::move(done), call.idempotent, 0 });
    if (m_local && daemon == m_network.self()) {
        m_local->run(daemon, std::move(call), [this, id](Answer answer) { end(id, std::move(answer)); });
        return id;
    }
    m_watch.began(daemon);
    if (!m_network.send(daemon, MessageKind::Call, encodeCall(call))) {
        endWith(id, notSent);
        return id;
    }
    m_pending.at(id).timer = m_timers.after(patience, [this, id, daemon] {
        sendCancel(id, daemon);
        endWith(id, noAnswer);
    });
    return id;
}

void CallTransport::cancel(std::uint64_t id)
{
    if (const auto pending = take(id)) {
        sendCancel(id, pending->daemon);
    }
}

std::optional<CallTransport::Pending> CallTransport::take(std::uint64_t id)
{
    auto node = m_pending.extract(id);
    if (node.empty()) {
        return std::nullopt;
    }
    m_timers.cancel(node.mapped().timer);
    m_watch.ended(node.mapped().daemon);
    return std::move(node.mapped());
}

void CallTransport::sendCancel(std::uint64_t id, const PeerAddress& daemon)
{
    if (m_local && daemon == m_network.self()) {
        m_local->cancel(daemon, id);
        return;
    }
    m_network.send(daemon, MessageKind::Cancel, encodeCancel(id));
}

void CallTransport::end(std::uint64_t id, Answer answer)
{
    if (const auto pending = take(id)) {
        pending->done(std::move(answer));
    }
}

void CallTransport::endWith(std::uint64_t id, Refusal refusal)
{
    Answer answer;
    answer.id = id;
    answer.refusal = refusal;
    end(id, std::move(answer));
}

void CallTransport::onAnswer(const PeerAddress& from, std::span<const std::byte> message)
{
    auto answer = decodeAnswer(message);
    if (!answer) {
        return;
    }
    auto it = m_pending.find(answer->id);
    // An answer counts only from the daemon that was asked.
    if (it != m_pending.end() && it->second.daemon == from) {
        end(it->first, std::move(*answer));
    }
}

void CallTransport::onUnsent(std::span<const std::byte> message)
{
    if (auto call = decodeCall(message)) {
        endWith(call->id, notSent);
    }
}

void CallTransport::onLost(const PeerAddress& peer)
{
    giveUp(peer, false);
}

/// What may not run twice is waited for: only the silent daemon can say what became of it.
void CallTransport::onSilent(const PeerAddress& peer)
{
    giveUp(peer, true);
}

void CallTransport::giveUp(const PeerAddress& peer, bool idempotentOnly)
{
    std::vector<std::uint64_t> lost;
    for (const auto& [id, pending] : m_pending) {
        if (pending.daemon == peer && (pending.idempotent || !idempotentOnly)) {
            lost.push_back(id);
        }
    }
    std::ranges::for_each(lost, [this](std::uint64_t id) { endWith(id, linkLost); });
}

} // namespace pw
