#define BOOST_TEST_MODULE process
#include <boost/test/included/unit_test.hpp>
