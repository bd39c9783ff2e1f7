// Crowds of clients that respect no limit, at the operator ports of jackdawwall and jackdaw-node. Guards
// against a process that exceeds its memory or its descriptors, or hangs.
#include "crowd-fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

using namespace jackdawwall::relay::test;

BOOST_DATA_TEST_CASE(
    aCrowdAtTheOperatorPortStaysWithinTheLimits, boost::unit_test::data::make(kCrowdParts), part)
{
    checkCrowd(true, Port::Operator, part);
}

BOOST_DATA_TEST_CASE(
    aCrowdAtTheOperatorPortOfTheNodeStaysWithinTheLimits, boost::unit_test::data::make(kCrowdParts), part)
{
    checkCrowd(false, Port::Operator, part);
}
