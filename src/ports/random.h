#pragma once

#include <cstdint>
#include <random>

namespace pw {

/// Random number generator; seeded explicitly, so that tests are reproducible.
using Random = std::mt19937_64;

/// \returns a uniformly distributed random number in [0, 1).
inline double uniform(Random& random)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

} // namespace pw
