#pragma once

#include "core/types.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Challenge-response authentication by which operators and daemons prove knowledge of the operators' secret to each other
/// over HTTP without sending it.
///
/// The operator fetches a challenge and sends its request with "Pistachio-Operator: CHALLENGE MAC". The MAC covers
/// method, target, body and challenge. A challenge is valid for one request within config::challengeLifetime, which
/// prevents replay. The response carries "Pistachio-Proof: MAC" over the challenge, the status and the body.
namespace pw {

namespace config {
    /// Maximum age of an accepted challenge.
    inline constexpr std::chrono::seconds challengeLifetime { 30 };
} // namespace config

namespace header {
    inline constexpr std::string_view operatorProof = "Pistachio-Operator";
    inline constexpr std::string_view answerProof = "Pistachio-Proof";
} // namespace header

/// The parts of a request that are covered by its proof.
struct ProvenRequest {
    std::string_view method;
    std::string_view target;
    std::string_view body;
};

/// \returns the value of header::operatorProof for \p request.
std::string proveRequest(std::string_view secret, std::string_view challenge, const ProvenRequest& request);

/// \returns the value of header::answerProof for the response to a request that used \p challenge.
std::string proveAnswer(std::string_view secret, std::string_view challenge, int status, std::string_view body);

/// \returns whether \p proof equals the result of proveAnswer(). Compares in constant time.
bool isAnswerProof(std::string_view proof, std::string_view secret, std::string_view challenge, int status, std::string_view body);

/// Result of a successful check of a request.
struct OperatorProof {
    std::string challenge;
    std::string secret; ///< Secret that the request was authenticated with.
};

/// Issues challenges and verifies the proofs of requests.
class OperatorAuth {
public:
    /// \param secrets accepted secrets.
    explicit OperatorAuth(std::vector<std::string> secrets);

    /// \returns a new challenge.
    std::string challenge(TimePoint now) const;

    /// Verifies \p proof, the value of header::operatorProof.
    /// \param reason receives the cause if nothing is returned. For the log only, not for the sender.
    std::optional<OperatorProof> check(std::string_view proof, const ProvenRequest& request, TimePoint now, std::string& reason);

private:
    std::string challengeMac(std::string_view text) const;
    bool isFresh(std::string_view challenge, TimePoint now) const;
    void removeExpired(TimePoint now);

    std::vector<std::string> m_secrets;
    std::string m_challengeKey; ///< Random key of this process. Authenticates challenges, so that unused ones need not be stored.
    std::map<std::string, TimePoint, std::less<>> m_used;
};

} // namespace pw
