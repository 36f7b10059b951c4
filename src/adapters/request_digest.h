#pragma once

#include "core/http_message.h"
#include "core/suspects.h"

#include <string>
#include <string_view>

namespace pw {

/// \returns the identity of \p request.
/// \param caller who sends it: equal for all VMs from which it may come again.
RequestDigest requestDigest(const HttpRequest& request, std::string_view caller);

/// \returns \p digest as shown to operators.
std::string requestDigestText(RequestDigest digest);

/// \returns the digest shown as \p text, or zero if it is none.
RequestDigest parseRequestDigest(std::string_view text);

} // namespace pw
