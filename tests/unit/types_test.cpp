#include "core/types.h"

#include <boost/test/unit_test.hpp>

#include <set>

BOOST_AUTO_TEST_SUITE(Types)

BOOST_AUTO_TEST_CASE(everyReasonHasItsOwnCodeAndAStatus)
{
    std::set<std::string_view> names;
    for (auto n = 0; n < static_cast<int>(pw::Reason::Count); ++n) {
        const auto& info = pw::reasonInfo(static_cast<pw::Reason>(n));
        BOOST_TEST(names.insert(info.name).second);
        BOOST_TEST(info.http_status >= 200);
    }
}

BOOST_AUTO_TEST_SUITE_END()
