#include "adapters/operator_proof.h"

#include "adapters/crypto.h"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace pw {
namespace {

    constexpr std::size_t challengeKeyBytes = 32;
    constexpr std::size_t nonceBytes = 16;

    std::string_view bytesOf(const crypto::Mac& mac)
    {
        return { reinterpret_cast<const char*>(mac.data()), mac.size() };
    }

    std::string macHex(std::string_view secret, const std::string& message)
    {
        return crypto::toHex(bytesOf(crypto::mac(secret, message)));
    }

    bool sameText(std::string_view a, std::string_view b)
    {
        return crypto::sameMac(std::as_bytes(std::span(a)), std::as_bytes(std::span(b)));
    }

    std::string bodyDigest(std::string_view body)
    {
        const auto digest = crypto::digest(body);
        return crypto::toHex({ reinterpret_cast<const char*>(digest.data()), digest.size() });
    }

    /// One part per line; no part can contain a line end.
    std::string requestMac(std::string_view secret, std::string_view challenge, const ProvenRequest& request)
    {
        std::string message = "request\n";
        message.append(request.method).append("\n").append(request.target).append("\n").append(challenge).append("\n");
        return macHex(secret, message + bodyDigest(request.body));
    }

    std::int64_t millisecondsOf(TimePoint time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
    }

} // namespace

std::string proveRequest(std::string_view secret, std::string_view challenge, const ProvenRequest& request)
{
    return std::string(challenge) + " " + requestMac(secret, challenge, request);
}

std::string proveAnswer(std::string_view secret, std::string_view challenge, int status, std::string_view body)
{
    std::string message = "answer\n";
    message.append(challenge).append("\n").append(std::to_string(status)).append("\n");
    return macHex(secret, message + bodyDigest(body));
}

bool isAnswerProof(std::string_view proof, std::string_view secret, std::string_view challenge, int status, std::string_view body)
{
    return sameText(proof, proveAnswer(secret, challenge, status, body));
}

OperatorAuth::OperatorAuth(std::vector<std::string> secrets)
    : m_secrets(std::move(secrets))
    , m_challengeKey(crypto::randomBytes(challengeKeyBytes))
{
}

std::string OperatorAuth::challenge(TimePoint now) const
{
    const auto text = std::to_string(millisecondsOf(now)) + "." + crypto::toHex(crypto::randomBytes(nonceBytes));
    return text + "." + challengeMac(text);
}

std::optional<OperatorProof> OperatorAuth::check(
    std::string_view proof, const ProvenRequest& request, TimePoint now, std::string& reason)
{
    const auto space = proof.find(' ');
    const auto challenge = proof.substr(0, space);
    const auto mac = space == std::string_view::npos ? std::string_view() : proof.substr(space + 1);
    if (!isFresh(challenge, now)) {
        reason = "the challenge is not ours or too old";
        return std::nullopt;
    }
    auto matches = [&](const std::string& secret) { return sameText(mac, requestMac(secret, challenge, request)); };
    const auto secret = std::ranges::find_if(m_secrets, matches);
    if (secret == m_secrets.end()) {
        reason = "wrong secret";
        return std::nullopt;
    }
    removeExpired(now);
    if (!m_used.emplace(challenge, now).second) {
        reason = "the challenge was used before";
        return std::nullopt;
    }
    return OperatorProof { std::string(challenge), *secret };
}

std::string OperatorAuth::challengeMac(std::string_view text) const
{
    return macHex(m_challengeKey, std::string(text));
}

bool OperatorAuth::isFresh(std::string_view challenge, TimePoint now) const
{
    const auto end = challenge.rfind('.');
    if (end == std::string_view::npos || !sameText(challenge.substr(end + 1), challengeMac(challenge.substr(0, end)))) {
        return false;
    }
    std::int64_t made = 0;
    std::from_chars(challenge.data(), challenge.data() + end, made);
    return millisecondsOf(now) - made <= std::chrono::milliseconds(config::challengeLifetime).count();
}

void OperatorAuth::removeExpired(TimePoint now)
{
    std::erase_if(m_used, [&](const auto& it) { return now - it.second > 2 * config::challengeLifetime; });
}

} // namespace pw
