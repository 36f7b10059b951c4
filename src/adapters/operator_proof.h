#pragma once

#include "core/types.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// How operators and daemons prove the operators' secret to each other over HTTP, without sending it.
///
/// The operator fetches a challenge and sends its request with "Pistachio-Operator: CHALLENGE MAC", the MAC being over
/// the whole request and the challenge. A challenge serves one request within config::challengeLifetime, so a copied
/// request cannot be repeated. The answer carries "Pistachio-Proof: MAC" over the challenge, the status and the body.
namespace pw {

namespace config {
    /// Age past which a challenge is refused.
    inline constexpr std::chrono::seconds challengeLifetime { 30 };
} // namespace config

namespace header {
    inline constexpr std::string_view operatorProof = "Pistachio-Operator";
    inline constexpr std::string_view answerProof = "Pistachio-Proof";
} // namespace header

/// The parts of a request that its proof covers.
struct ProvenRequest {
    std::string_view method;
    std::string_view target;
    std::string_view body;
};

/// \returns the value of header::operatorProof for \p request.
std::string proveRequest(std::string_view secret, std::string_view challenge, const ProvenRequest& request);

/// \returns the value of header::answerProof for an answer to a request that was sent with \p challenge.
std::string proveAnswer(std::string_view secret, std::string_view challenge, int status, std::string_view body);

/// \returns whether \p proof was made by proveAnswer(); compares in constant time.
bool isAnswerProof(std::string_view proof, std::string_view secret, std::string_view challenge, int status, std::string_view body);

/// A request that was proven.
struct OperatorProof {
    std::string challenge;
    std::string secret; ///< The one that it was proven with.
};

/// Gives out challenges and checks the proofs of requests.
class OperatorAuth {
public:
    /// \param secrets those that are accepted.
    explicit OperatorAuth(std::vector<std::string> secrets);

    /// \returns a new challenge.
    std::string challenge(TimePoint now) const;

    /// Checks \p proof, the value of header::operatorProof.
    /// \param reason receives why nothing is returned, for the log only.
    std::optional<OperatorProof> check(std::string_view proof, const ProvenRequest& request, TimePoint now, std::string& reason);

private:
    std::string challengeMac(std::string_view text) const;
    bool isFresh(std::string_view challenge, TimePoint now) const;
    void forgetExpired(TimePoint now);

    std::vector<std::string> m_secrets;
    std::string m_challengeKey; ///< Random to this process: its challenges need no memory until they are used.
    std::map<std::string, TimePoint, std::less<>> m_used;
};

} // namespace pw
