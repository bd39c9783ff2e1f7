// A target that says in its responses that it leaves, while its heartbeats still report ready. Guards against
// requests that reach it later than the drain time after a node has passed such a response on.
#include "process-fleet.h"

#include <boost/test/data/test_case.hpp>

using namespace jackdawwall;
using namespace jackdawwall::relay;
using namespace jackdawwall::relay::test;

namespace {

constexpr double kCallsPerSecond = 60;
/// The bound of the users' rule: from then on, no request reaches the target.
constexpr absl::Duration kDrainTime = absl::Seconds(2);
constexpr absl::Duration kObservedTime = absl::Seconds(3);

enum class Failure {
    None,
    StoreAway,
    NodeKilled,
    NodeKilledWithStoreAway,
    NodeKilledTwiceWithStoreAway,
    NodeFrozen,
};

struct LeaveRow {
    const char* name;
    Failure failure;
    bool servesAll; ///< No call is lost with a process.
};

std::ostream& operator<<(std::ostream& out, const LeaveRow& row)
{
    return out << row.name;
}

const LeaveRow kLeaveRows[] = {
    { "calm", Failure::None, true },
    { "store away", Failure::StoreAway, true },
    { "node of the target killed", Failure::NodeKilled, false },
    { "node of the target killed with the store away", Failure::NodeKilledWithStoreAway, false },
    { "node of the target killed twice with the store away", Failure::NodeKilledTwiceWithStoreAway, false },
    { "node of the target frozen", Failure::NodeFrozen, false },
};

void inject(ProcessFleet& fleet, Failure failure)
{
    switch (failure) {
    case Failure::NodeKilled:
    case Failure::NodeKilledWithStoreAway:
        fleet.restart(0);
        break;
    case Failure::NodeKilledTwiceWithStoreAway:
        fleet.restart(0);
        fleet.run(absl::Milliseconds(500), kCallsPerSecond);
        fleet.restart(0);
        break;
    case Failure::NodeFrozen:
        fleet.signal(0, SIGSTOP);
        fleet.run(absl::Milliseconds(500), kCallsPerSecond);
        fleet.signal(0, SIGCONT);
        break;
    default:
        break;
    }
}

} // namespace

BOOST_DATA_TEST_CASE(aLeavingTargetGetsNoRequests, boost::unit_test::data::make(kLeaveRows), row)
{
    ProcessFleet fleet({ "books", "books", "books", "shop", "shop", "shop" });
    FleetTarget& target = *fleet.targets[0];
    fleet.store.isUnavailable = row.failure == Failure::StoreAway
        || row.failure == Failure::NodeKilledWithStoreAway
        || row.failure == Failure::NodeKilledTwiceWithStoreAway;
    target.headers = "Server-Leaving: 1\r\n";
    const absl::Time startedAt = steadyNow();
    runUntil(fleet.loop, [&] {
        fleet.run(absl::Milliseconds(50), kCallsPerSecond);
        return target.arrivalsSince(startedAt) > 0;
    });
    fleet.awaitResponses(); // One of them said that it leaves.
    const absl::Time passedOnAt = steadyNow();
    inject(fleet, row.failure);
    fleet.run(passedOnAt + kDrainTime - steadyNow(), kCallsPerSecond);
    fleet.run(kObservedTime, kCallsPerSecond);
    BOOST_TEST(target.arrivalsSince(passedOnAt + kDrainTime) == 0);
    fleet.awaitResponses();
    if (row.servesAll)
        BOOST_TEST((fleet.record.byStatus.size() == 1 && fleet.record.byStatus.contains(200)));
    // A later lifetime at the same address gets calls again.
    target.headers.clear();
    target.startedAt = absl::ToUnixMillis(absl::Now());
    target.heartbeats = 0;
    const absl::Time restartedAt = steadyNow();
    runUntil(fleet.loop, [&] {
        fleet.run(absl::Milliseconds(100), kCallsPerSecond);
        return target.arrivalsSince(restartedAt) > 0;
    });
}
