#include "app/call_transport.h"

#include "adapters/codec_call.h"
#include "app/server_role.h"
#include "config.h"
#include "core/slot_price_table.h"

#include <algorithm>
#include <ranges>
#include <vector>

namespace pw {
namespace {

    constexpr Refusal notSent { Verdict::NotRun, Reason::Unreachable, {} };
    constexpr Refusal linkLost { Verdict::MayHaveRun, Reason::Unreachable, {} };
    constexpr Refusal noAnswer { Verdict::MayHaveRun, Reason::DeadlineExceeded, {} };

} // namespace

CallTransport::CallTransport(PeerNetwork& network, Timers& timers, EventLog& events, ServerRole* localServer, std::uint64_t firstId,
    SlotPriceTable* prices)
    : m_network(network)
    , m_timers(timers)
    , m_events(events)
    , m_localServer(localServer)
    , m_prices(prices)
    , m_lastId(firstId)
    , m_failureDetector(network, timers, events)
{
    network.onMessage(MessageKind::Answer, [this](const PeerAddress& from, std::span<const std::byte> message) { onAnswer(from, message); });
    network.onUnsent(MessageKind::Call, [this](const PeerAddress&, std::span<const std::byte> message) { onUnsent(message); });
    network.onLost([this](const PeerAddress& peer) { onLost(peer); });
    network.onPeerUnresponsive([this](const PeerAddress& peer) { onUnresponsive(peer); });
}

CallTransport::~CallTransport()
{
    std::ranges::for_each(m_pending, [this](auto& it) { m_timers.cancel(it.second.timer); });
}

std::uint64_t CallTransport::start(const PeerAddress& daemon, Call call, Done done)
{
    auto id = ++m_lastId;
    call.id = id;
    auto timeout = call.timeLeft + config::deadlineGrace;
    m_pending.emplace(id, Pending { daemon, std::move(done), call.idempotent, 0 });
    if (m_localServer && daemon == m_network.self()) {
        m_localServer->run(daemon, std::move(call), [this, id](Answer answer) { finish(id, std::move(answer)); });
        return id;
    }
    m_failureDetector.callStarted(daemon);
    auto& timer = m_pending.at(id).timer;
    if (!m_network.send(daemon, MessageKind::Call, encodeCall(call))) {
        timer = m_timers.after(Duration::zero(), [this, id] { finishWith(id, notSent); });
        return id;
    }
    timer = m_timers.after(timeout, [this, id, daemon] {
        sendCancel(id, daemon);
        finishWith(id, noAnswer);
    });
    return id;
}

void CallTransport::cancel(std::uint64_t id)
{
    if (const auto pending = extract(id)) {
        sendCancel(id, pending->daemon);
    }
}

std::optional<CallTransport::Pending> CallTransport::extract(std::uint64_t id)
{
    auto node = m_pending.extract(id);
    if (node.empty()) {
        return std::nullopt;
    }
    m_timers.cancel(node.mapped().timer);
    m_failureDetector.callEnded(node.mapped().daemon);
    return std::move(node.mapped());
}

void CallTransport::sendCancel(std::uint64_t id, const PeerAddress& daemon)
{
    if (m_localServer && daemon == m_network.self()) {
        m_localServer->cancel(daemon, id);
        return;
    }
    m_network.send(daemon, MessageKind::Cancel, encodeCancel(id));
}

void CallTransport::finish(std::uint64_t id, Answer answer)
{
    if (const auto pending = extract(id)) {
        pending->done(std::move(answer));
    }
}

void CallTransport::finishWith(std::uint64_t id, Refusal refusal)
{
    Answer answer;
    answer.id = id;
    answer.refusal = refusal;
    finish(id, std::move(answer));
}

void CallTransport::onAnswer(const PeerAddress& from, std::span<const std::byte> message)
{
    auto answer = decodeAnswer(message);
    if (!answer) {
        return;
    }
    // Prices do not depend on the call, so they count even if it has ended.
    if (m_prices) {
        recordPrices(answer->prices);
    }
    auto it = m_pending.find(answer->id);
    // Accept an answer only from the daemon that the call was sent to.
    if (it != m_pending.end() && it->second.daemon == from) {
        finish(it->first, std::move(*answer));
    }
}

/// Logs when the first price becomes known or the last one ends, at most once per config::priceLogInterval.
void CallTransport::recordPrices(const std::vector<SlotPrice>& prices)
{
    const auto now = m_timers.now();
    m_prices->record(prices, now);
    const auto servers = m_prices->pricedServers(now);
    if ((servers > 0) == m_knowsPrices || now - m_pricesReported < config::priceLogInterval) {
        return;
    }
    m_knowsPrices = servers > 0;
    m_pricesReported = now;
    PW_EVENT(m_events, Event::SlotPricesKnown, { "servers", servers });
}

void CallTransport::onUnsent(std::span<const std::byte> message)
{
    if (auto call = decodeCall(message)) {
        finishWith(call->id, notSent);
    }
}

void CallTransport::onLost(const PeerAddress& peer)
{
    failCalls(peer, false);
}

/// Non-idempotent calls keep waiting: only the unresponsive daemon can tell whether they ran.
void CallTransport::onUnresponsive(const PeerAddress& peer)
{
    failCalls(peer, true);
}

void CallTransport::failCalls(const PeerAddress& peer, bool idempotentOnly)
{
    std::vector<std::uint64_t> lost;
    for (const auto& [id, pending] : m_pending) {
        if (pending.daemon == peer && (pending.idempotent || !idempotentOnly)) {
            lost.push_back(id);
        }
    }
    std::ranges::for_each(lost, [this](std::uint64_t id) { finishWith(id, linkLost); });
}

} // namespace pw
