#pragma once

#include "core/types.h"

#include <chrono>
#include <string>
#include <vector>

namespace pw {

/// What came of one HTTP exchange with a control member.
struct TransportReply {
    bool whole = false; ///< A complete HTTP answer arrived.
    int status = 0;
    std::string body;
    std::string proof; ///< Value of header::answerProof.
    std::string error; ///< Why there is no whole answer.
};

/// Port of the command-line tool: HTTP to operator addresses, and time.
class OperatorTransport {
public:
    virtual ~OperatorTransport() = default;

    /// Sends one request and waits for its end. \param proof value of header::operatorProof, empty for none.
    virtual TransportReply send(const std::string& address, const std::string& method, const std::string& target,
        const std::string& proof, const std::string& body, std::chrono::milliseconds timeout)
        = 0;
    virtual TimePoint now() = 0;
    virtual void pause(std::chrono::milliseconds duration) = 0;
};

/// One request of an operator.
struct OperatorRequest {
    std::string method;
    std::string target;
    std::string body;
};

/// How a request of an operator ended.
enum class AskState : std::uint8_t {
    Answered, ///< A member answered, and proved that it knows the secret.
    NotSent, ///< No member could be reached: nothing was done.
    Lost, ///< It was sent, and no proven answer came: it may have been done.
    SecretRefused, ///< The member does not accept the secret.
    Count
};

/// Answer to a request of an operator.
struct OperatorPortReply {
    AskState state = AskState::NotSent;
    int status = 0;
    std::string body;
    std::string address; ///< Of the member that answered, or was asked last.
    std::string error;
};

/// Asks control members in turn until one answers; a request that is repeated is repeated unchanged, so that a change
/// id makes it safe.
class OperatorClient {
public:
    /// \p transport must outlive this object.
    OperatorClient(OperatorTransport& transport, std::vector<std::string> addresses, std::string secret, std::chrono::milliseconds timeout);

    /// Asks until a member gives an answer that settles the request, or the time is up.
    OperatorPortReply ask(const OperatorRequest& request);

private:
    OperatorPortReply askMember(const std::string& address, const OperatorRequest& request);
    std::chrono::milliseconds timeLeft();

    OperatorTransport& m_transport;
    std::vector<std::string> m_addresses;
    std::string m_secret;
    TimePoint m_deadline;
    std::size_t m_preferred = 0; ///< Member that gave the latest answer that settled a request.
};

} // namespace pw
