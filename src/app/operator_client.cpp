#include "app/operator_client.h"

#include "adapters/operator_proof.h"

#include <algorithm>
#include <cassert>

namespace pw {
namespace {

    using std::chrono::milliseconds;

    constexpr int challengeStatus = 200;
    constexpr int secretRefusedStatus = 401;
    constexpr int noControlRoleStatus = 421;
    constexpr int unavailableStatus = 503;
    constexpr int unknownStatus = 504;
    /// Longest wait for a challenge: a member that is down must not use up the time.
    constexpr milliseconds challengeTimeout { 1500 };
    /// Pause after every member was asked in vain.
    constexpr milliseconds roundPause { 250 };
    constexpr milliseconds leastTimeout { 100 };

    /// \returns whether another member, or the same one later, may know better.
    bool isWorthRepeating(const OperatorPortReply& reply)
    {
        if (reply.state == AskState::Answered) {
            return reply.status == unavailableStatus || reply.status == unknownStatus || reply.status == noControlRoleStatus;
        }
        return reply.state != AskState::SecretRefused;
    }

    /// \returns whether \p reply leaves it open whether the request was carried out.
    bool mayBeDone(const OperatorPortReply& reply)
    {
        return reply.state == AskState::Lost || (reply.state == AskState::Answered && reply.status == unknownStatus);
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

OperatorPortReply OperatorClient::ask(const OperatorRequest& request)
{
    OperatorPortReply last;
    OperatorPortReply open; ///< Latest reply that leaves it open whether the request was carried out.
    for (std::size_t n = 0;; ++n) {
        const auto member = (m_preferred + n) % m_addresses.size();
        auto reply = askMember(m_addresses[member], request);
        if (!isWorthRepeating(reply)) {
            m_preferred = member;
            return reply;
        }
        if (mayBeDone(reply)) {
            open = reply;
        }
        last = std::move(reply);
        if (timeLeft() <= leastTimeout) {
            break;
        }
        if ((n + 1) % m_addresses.size() == 0) {
            m_transport.pause(std::min(roundPause, timeLeft()));
        }
    }
    // An attempt that may have been carried out is not undone by a later one that certainly was not.
    return mayBeDone(open) ? open : last;
}

OperatorPortReply OperatorClient::askMember(const std::string& address, const OperatorRequest& request)
{
    const auto asked
        = m_transport.send(address, "GET", "/v1/challenge", "", "", std::clamp(timeLeft(), leastTimeout, challengeTimeout));
    if (!asked.whole || asked.status != challengeStatus) {
        return { AskState::NotSent, 0, "", address, asked.whole ? "no challenge" : asked.error };
    }
    const auto proof = proveRequest(m_secret, asked.body, { request.method, request.target, request.body });
    const auto reply
        = m_transport.send(address, request.method, request.target, proof, request.body, std::max(timeLeft(), leastTimeout));
    if (!reply.whole) {
        return { AskState::Lost, 0, "", address, reply.error };
    }
    if (reply.status == secretRefusedStatus) {
        return { AskState::SecretRefused, reply.status, reply.body, address, "the operators' secret is not accepted" };
    }
    if (!isAnswerProof(reply.proof, m_secret, asked.body, reply.status, reply.body)) {
        return { AskState::Lost, 0, "", address, "the answer does not prove the operators' secret" };
    }
    return { AskState::Answered, reply.status, reply.body, address, "" };
}

milliseconds OperatorClient::timeLeft()
{
    return std::chrono::duration_cast<milliseconds>(m_deadline - m_transport.now());
}

} // namespace pw
