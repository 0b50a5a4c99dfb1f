#define BOOST_TEST_MODULE quetzalline
#include <boost/test/unit_test.hpp>
