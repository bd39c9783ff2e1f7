// Crowds of clients that respect no limit, at the ports of jackdawwall for callers and for other nodes.
// Guards against a process that exceeds its memory or its descriptors, or hangs.
#include "crowd-fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

using namespace jackdawwall::relay::test;

BOOST_DATA_TEST_CASE(aCrowdOfCallersStaysWithinTheLimits, boost::unit_test::data::make(kCrowdParts), part)
{
    checkCrowd(true, Port::Caller, part);
}

BOOST_DATA_TEST_CASE(aCrowdAtThePeerPortStaysWithinTheLimits, boost::unit_test::data::make(kCrowdParts), part)
{
    checkCrowd(true, Port::Peer, part);
}
