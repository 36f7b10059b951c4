#pragma once

#include <kj/string.h>

// Cap'n Proto 0.9 leaves these two to C++20's rewritten operators, which newer Clang no longer applies
// to a class that declares operator!=. GCC still does and would call a second definition ambiguous.
#if defined(__clang__)
namespace kj {
inline bool operator==(const char* a, const StringPtr& b) { return b.operator==(StringPtr(a)); }
inline bool operator!=(const char* a, const StringPtr& b) { return !b.operator==(StringPtr(a)); }
} // namespace kj
#endif
