#include "app/change_submitter.h"

#include "adapters/codec_control.h"
#include "adapters/crypto.h"
#include "config.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace pw {

ChangeSubmitter::ChangeSubmitter(const Settings& settings, const ControlAttachment& attachment, PeerNetwork& network, Timers& timers)
    : m_settings(settings)
    , m_attachment(attachment)
    , m_network(network)
    , m_timers(timers)
    , m_lastToken(crypto::randomNumber())
{
    network.onMessage(MessageKind::DaemonChangeReply, [this](const PeerAddress&, std::span<const std::byte> message) { onReply(message); });
}

ChangeSubmitter::~ChangeSubmitter()
{
    m_timers.cancel(m_retryTimer);
}

void ChangeSubmitter::submit(decltype(Change::operation) operation, Duration timeout, Done done)
{
    const auto token = ++m_lastToken;
    auto id = m_settings.name + "-" + std::to_string(token);
    m_submitted[token] = { { std::move(id), std::move(operation) }, m_timers.now() + timeout, std::move(done) };
    send(token);
    scheduleRetry();
}

void ChangeSubmitter::send(std::uint64_t token)
{
    if (const auto& member = m_attachment.controlMember(); !member.empty()) {
        m_network.send(member, MessageKind::DaemonChange, encodeOperatorAsk({ token, m_submitted.at(token).change }));
    }
}

void ChangeSubmitter::scheduleRetry()
{
    if (!m_retryTimer && !m_submitted.empty()) {
        m_retryTimer = m_timers.after(config::changeRetryInterval, [this] {
            m_retryTimer = 0;
            retry();
        });
    }
}

/// Sends the undecided changes again and gives up those that have taken too long.
void ChangeSubmitter::retry()
{
    std::vector<std::uint64_t> expired;
    for (const auto& [token, submitted] : m_submitted) {
        if (m_timers.now() >= submitted.giveUpAt) {
            expired.push_back(token);
        } else {
            send(token);
        }
    }
    std::ranges::for_each(expired, [this](std::uint64_t token) { finish(token, false); });
    scheduleRetry();
}

void ChangeSubmitter::finish(std::uint64_t token, bool accepted)
{
    auto node = m_submitted.extract(token);
    if (!node.empty() && node.mapped().done) {
        node.mapped().done(accepted);
    }
}

void ChangeSubmitter::onReply(std::span<const std::byte> message)
{
    const auto reply = decodeOperatorReply(message);
    if (reply && reply->result.outcome != ChangeOutcome::Unknown && reply->result.outcome != ChangeOutcome::Unavailable) {
        finish(reply->token, reply->result.outcome == ChangeOutcome::Accepted);
    }
}

} // namespace pw
