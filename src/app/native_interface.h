#pragma once

#include "app/interface.h"

namespace pw {

/// \returns a new native interface, see docs/INTERFACE.md and docs/OPERATOR-API.md.
std::unique_ptr<Interface> makeNativeInterface();

} // namespace pw
