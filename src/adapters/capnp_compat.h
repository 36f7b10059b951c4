#pragma once

#include <kj/string.h>

// Cap'n Proto 0.9 relies on C++20 rewritten comparison operators here. Newer Clang does not use them for a class that
// declares operator!=; GCC does, and would report an explicit definition as ambiguous.
#if defined(__clang__)
namespace kj {
inline bool operator==(const char* a, const StringPtr& b) { return b.operator==(StringPtr(a)); }
inline bool operator!=(const char* a, const StringPtr& b) { return !b.operator==(StringPtr(a)); }
} // namespace kj
#endif
