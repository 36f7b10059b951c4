#pragma once

#include <cstdint>
#include <random>

namespace pw {

/// Source of random numbers for decisions; seeded, so that tests repeat.
using Random = std::mt19937_64;

/// \returns a number in [0, 1).
inline double uniform(Random& random)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

} // namespace pw
