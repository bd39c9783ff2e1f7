// Crowds of clients that respect no limit, at the ports of jackdawwall for heartbeats and readiness checks.
// Guards against a process that exceeds its memory or its descriptors, or hangs.
#include "crowd-fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

using namespace jackdawwall::relay::test;

BOOST_DATA_TEST_CASE(
    aCrowdAtTheHeartbeatPortStaysWithinTheLimits, boost::unit_test::data::make(kCrowdParts), part)
{
    checkCrowd(true, Port::Heartbeat, part);
}

BOOST_DATA_TEST_CASE(
    aCrowdAtTheReadinessPortStaysWithinTheLimits, boost::unit_test::data::make(kCrowdParts), part)
{
    checkCrowd(true, Port::Ready, part);
}
