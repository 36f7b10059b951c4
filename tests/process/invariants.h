#pragma once

#include "support/load_run.h"

#include <boost/test/unit_test.hpp>

namespace pw::test {

/// Reports each breach that findBreaches() finds as a test failure.
inline void checkInvariants(const LoadRun& run, const std::vector<const Standin*>& standins, const std::vector<std::string>& nonIdempotentPrefixes = {})
{
    const auto breaches = findBreaches(run, standins, nonIdempotentPrefixes);
    BOOST_TEST(breaches.empty(), (breaches.empty() ? std::string() : breaches.front()) << ", breaches in all: " << breaches.size());
}

} // namespace pw::test
