#include "app/operator_client.h"

#include "adapters/operator_proof.h"

#include <algorithm>
#include <cassert>

namespace pw {
namespace {

    using std::chrono::milliseconds;

    constexpr int okStatus = 200;
    constexpr int secretRefusedStatus = 401;
    constexpr int noControlRoleStatus = 421;
    constexpr int unavailableStatus = 503;
    constexpr int unknownStatus = 504;
    /// Timeout for fetching a challenge, so that a member that is down doesn't use up the whole timeout.
    constexpr milliseconds challengeTimeout { 1500 };
    /// Delay after all members were tried without a final reply.
    constexpr milliseconds retryDelay { 250 };
    constexpr milliseconds minTimeout { 100 };

    /// \returns whether another member, or the same one later, may give a final reply.
    bool isRetryable(const OperatorHttpReply& reply)
    {
        if (reply.state == OperatorRequestState::Answered) {
            return reply.status == unavailableStatus || reply.status == unknownStatus || reply.status == noControlRoleStatus;
        }
        return reply.state != OperatorRequestState::SecretRefused;
    }

    /// \returns whether the request may have been applied although \p reply doesn't confirm it.
    bool mayHaveBeenApplied(const OperatorHttpReply& reply)
    {
        return reply.state == OperatorRequestState::Unconfirmed || (reply.state == OperatorRequestState::Answered && reply.status == unknownStatus);
    }

} // namespace

OperatorClient::OperatorClient(
    OperatorTransport& transport, std::vector<std::string> addresses, std::string secret, milliseconds timeout)
    : m_transport(transport)
    , m_addresses(std::move(addresses))
    , m_secret(std::move(secret))
    , m_deadline(transport.now() + timeout)
{
    assert(!m_addresses.empty());
}

OperatorHttpReply OperatorClient::send(const OperatorHttpRequest& request)
{
    OperatorHttpReply last;
    OperatorHttpReply unconfirmed; ///< Latest reply after which the request may have been applied.
    for (std::size_t n = 0;; ++n) {
        const auto member = (m_preferred + n) % m_addresses.size();
        auto reply = sendToMember(m_addresses[member], request);
        if (!isRetryable(reply)) {
            m_preferred = member;
            return reply;
        }
        if (mayHaveBeenApplied(reply)) {
            unconfirmed = reply;
        }
        last = std::move(reply);
        if (remainingTime() <= minTimeout) {
            break;
        }
        if ((n + 1) % m_addresses.size() == 0) {
            m_transport.pause(std::min(retryDelay, remainingTime()));
        }
    }
    // A later attempt that certainly failed doesn't rule out that an earlier one was applied.
    return mayHaveBeenApplied(unconfirmed) ? unconfirmed : last;
}

OperatorHttpReply OperatorClient::sendToMember(const std::string& address, const OperatorHttpRequest& request)
{
    const auto challenge
        = m_transport.send(address, "GET", "/v1/challenge", "", "", std::clamp(remainingTime(), minTimeout, challengeTimeout));
    if (!challenge.complete || challenge.status != okStatus) {
        return { OperatorRequestState::NotSent, 0, "", address, challenge.complete ? "no challenge was received" : challenge.error };
    }
    const auto proof = proveRequest(m_secret, challenge.body, { request.method, request.target, request.body });
    const auto reply
        = m_transport.send(address, request.method, request.target, proof, request.body, std::max(remainingTime(), minTimeout));
    if (!reply.complete) {
        return { OperatorRequestState::Unconfirmed, 0, "", address, reply.error };
    }
    if (reply.status == secretRefusedStatus) {
        return { OperatorRequestState::SecretRefused, reply.status, reply.body, address, "the operators' secret is not accepted" };
    }
    if (!isAnswerProof(reply.proof, m_secret, challenge.body, reply.status, reply.body)) {
        return { OperatorRequestState::Unconfirmed, 0, "", address, "the answer does not prove the operators' secret" };
    }
    return { OperatorRequestState::Answered, reply.status, reply.body, address, "" };
}

milliseconds OperatorClient::remainingTime()
{
    return std::chrono::duration_cast<milliseconds>(m_deadline - m_transport.now());
}

} // namespace pw
