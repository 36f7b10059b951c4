#include "adapters/claim_key.h"

#include "adapters/crypto.h"

#include <cstring>

namespace pw {

ClaimKey claimKey(const std::string& workspace, const std::string& requestId)
{
    // The length prefix makes the encoding of the pair unambiguous.
    const auto digest = crypto::digest(std::to_string(workspace.size()) + ":" + workspace + requestId);
    ClaimKey key;
    std::memcpy(&key.high, digest.data(), sizeof key.high);
    std::memcpy(&key.low, digest.data() + sizeof key.high, sizeof key.low);
    return key;
}

} // namespace pw
