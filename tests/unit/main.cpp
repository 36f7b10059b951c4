#define BOOST_TEST_MODULE pistachiowheel
#include <boost/test/included/unit_test.hpp>
