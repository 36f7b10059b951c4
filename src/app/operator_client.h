#pragma once

#include "core/types.h"

#include <chrono>
#include <string>
#include <vector>

namespace pw {

/// Result of one HTTP exchange with a control member.
struct TransportReply {
    bool complete = false; ///< A complete HTTP response was received.
    int status = 0;
    std::string body;
    std::string proof; ///< Value of the response's header::answerProof.
    std::string error; ///< Why no complete response was received.
};

/// Port of the command-line tool: HTTP client for operator addresses, and the clock.
class OperatorTransport {
public:
    virtual ~OperatorTransport() = default;

    /// Sends one request and waits for the response, an error or the timeout.
    /// \param proof value of header::operatorProof; the header is left out when it is empty.
    virtual TransportReply send(const std::string& address, const std::string& method, const std::string& target,
        const std::string& proof, const std::string& body, std::chrono::milliseconds timeout)
        = 0;
    virtual TimePoint now() = 0;
    /// Blocks for \p duration.
    virtual void pause(std::chrono::milliseconds duration) = 0;
};

/// An HTTP request from an operator to a control member.
struct OperatorHttpRequest {
    std::string method;
    std::string target;
    std::string body;
};

/// How far a request of an operator got.
enum class OperatorRequestState : std::uint8_t {
    Answered, ///< A member replied, and its proof shows that it knows the operators' secret.
    NotSent, ///< No member could be reached; nothing was applied.
    Unconfirmed, ///< Sent without a reply that carries a valid proof; it may have been applied.
    SecretRefused, ///< The member rejected the secret.
    Count
};

/// Outcome of an operator's request.
struct OperatorHttpReply {
    OperatorRequestState state = OperatorRequestState::NotSent;
    int status = 0;
    std::string body;
    std::string address; ///< Operator address of the member that replied, or that was tried last.
    std::string error;
};

/// Sends requests to the control members in turn until one gives a final reply. Retries are sent unchanged, so the
/// change id in a request keeps it from being applied twice.
class OperatorClient {
public:
    /// \p transport must outlive this object.
    OperatorClient(OperatorTransport& transport, std::vector<std::string> addresses, std::string secret, std::chrono::milliseconds timeout);

    /// Sends \p request, retrying until a member gives a final reply or the timeout given at construction expires.
    /// \returns the final reply; after a timeout the latest reply after which the request may have been applied, or else the
    /// latest reply.
    OperatorHttpReply send(const OperatorHttpRequest& request);

private:
    OperatorHttpReply sendToMember(const std::string& address, const OperatorHttpRequest& request);
    std::chrono::milliseconds remainingTime();

    OperatorTransport& m_transport;
    std::vector<std::string> m_addresses;
    std::string m_secret;
    TimePoint m_deadline;
    std::size_t m_preferred = 0; ///< Index of the member that gave the latest final reply; tried first.
};

} // namespace pw
