#include "adapters/claim_key.h"

#include <openssl/sha.h>

#include <array>
#include <cstring>

namespace pw {

ClaimKey claimKey(const std::string& workspace, const std::string& requestId)
{
    // The length keeps different pairs from giving the same text.
    const auto text = std::to_string(workspace.size()) + ":" + workspace + requestId;
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    ClaimKey key;
    std::memcpy(&key.high, digest.data(), sizeof key.high);
    std::memcpy(&key.low, digest.data() + sizeof key.high, sizeof key.low);
    return key;
}

} // namespace pw
