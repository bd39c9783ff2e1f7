// A target that names a limit of its own, over several callers' nodes and failures of each part. Guards
// against a target that gets more requests than the limit that it has named.
#include "process-fleet.h"

#include <boost/test/data/test_case.hpp>

using namespace jackdawwall;
using namespace jackdawwall::relay;
using namespace jackdawwall::relay::test;

namespace {

constexpr double kCallsPerSecond = 60;
constexpr absl::Duration kWindow = absl::Seconds(4);
/// Until when the nodes have to know a limit.
constexpr absl::Duration kLearningTime = absl::Seconds(1);
constexpr absl::Duration kObservedTime = absl::Seconds(5);
constexpr std::size_t kTargetsOfService = 3;
/// A node whose callers send calls, but whose target gets none.
constexpr std::size_t kOtherNode = 4;

/// The bound of the users' rule, in one window.
int allowedArrivals(double limit)
{
    return static_cast<int>(1.5 * limit * absl::ToDoubleSeconds(kWindow)) + 5;
}

enum class Failure {
    None,
    TargetsNodeKilled,
    TargetsNodeStopped, ///< As planned, and started again.
    CallersNodeKilled,
    TargetsNodeFrozen,
    StoreAway,
    TargetsNodeKilledWithStoreAway,
    TargetFails, ///< Resets its connections, so that calls are repeated.
};

struct LimitRow {
    const char* name;
    std::vector<double> limits; ///< By target; 0: none.
    Failure failure;
    bool servesAll; ///< The other targets have room, and no call is lost with a process.
};

std::ostream& operator<<(std::ostream& out, const LimitRow& row)
{
    return out << row.name;
}

const LimitRow kLimitRows[] = {
    { "one target, 2", { 2, 0, 0 }, Failure::None, true },
    { "one target, 0.4", { 0.4, 0, 0 }, Failure::None, true },
    { "two targets, 3.5 and 2", { 3.5, 2, 0 }, Failure::None, true },
    { "all targets, 3 each", { 3, 3, 3 }, Failure::None, false },
    { "node of the target killed", { 2, 0, 0 }, Failure::TargetsNodeKilled, false },
    { "node of the target stopped as planned", { 2, 0, 0 }, Failure::TargetsNodeStopped, false },
    { "node of callers killed", { 2, 0, 0 }, Failure::CallersNodeKilled, false },
    { "node of the target frozen", { 2, 0, 0 }, Failure::TargetsNodeFrozen, false },
    { "store away", { 2, 0, 0 }, Failure::StoreAway, true },
    { "node of the target killed with the store away", { 2, 0, 0 }, Failure::TargetsNodeKilledWithStoreAway,
        false },
    { "calls are repeated", { 2, 2, 0 }, Failure::TargetFails, true },
};

void inject(ProcessFleet& fleet, Failure failure)
{
    const bool isStoreAway
        = failure == Failure::StoreAway || failure == Failure::TargetsNodeKilledWithStoreAway;
    fleet.store.isUnavailable = isStoreAway;
    switch (failure) {
    case Failure::TargetsNodeKilled:
    case Failure::TargetsNodeKilledWithStoreAway:
        fleet.restart(0);
        break;
    case Failure::TargetsNodeStopped:
        fleet.signal(0, SIGTERM);
        runUntil(fleet.loop, [&] { return fleet.hasExited(0); });
        fleet.restart(0);
        break;
    case Failure::CallersNodeKilled:
        fleet.restart(kOtherNode);
        break;
    case Failure::TargetsNodeFrozen:
        fleet.signal(0, SIGSTOP);
        fleet.run(absl::Seconds(1), kCallsPerSecond);
        fleet.signal(0, SIGCONT);
        break;
    case Failure::TargetFails:
        fleet.targets[0]->resetsConnections = true;
        break;
    default:
        break;
    }
}

} // namespace

BOOST_DATA_TEST_CASE(aTargetGetsNoMoreThanItsLimit, boost::unit_test::data::make(kLimitRows), row)
{
    ProcessFleet fleet({ "books", "books", "books", "shop", "shop", "shop" });
    for (std::size_t target = 0; target < kTargetsOfService; ++target) {
        if (row.limits[target] > 0)
            fleet.targets[target]->headers = absl::StrCat("Server-Limit: ", row.limits[target], "\r\n");
    }
    fleet.run(kLearningTime, kCallsPerSecond);
    const absl::Time learntAt = steadyNow();
    inject(fleet, row.failure);
    fleet.run(kObservedTime, kCallsPerSecond);
    for (std::size_t target = 0; target < kTargetsOfService; ++target) {
        if (row.limits[target] > 0)
            BOOST_TEST(
                fleet.targets[target]->peakArrivals(learntAt, kWindow) <= allowedArrivals(row.limits[target]),
                "target " << target << " got " << fleet.targets[target]->peakArrivals(learntAt, kWindow)
                          << " requests in 4 s, allowed " << allowedArrivals(row.limits[target]));
    }
    // The limit does not cut a target off.
    BOOST_TEST(fleet.targets[0]->arrivalsSince(learntAt) > 0);
    fleet.awaitResponses();
    for (const auto& [status, count] : fleet.record.byStatus)
        BOOST_TEST_MESSAGE(row.name << ": status " << status << " " << count << " times");
    BOOST_TEST_MESSAGE(row.name << ": longest refusal " << fleet.record.longestRefusal);
    BOOST_TEST(!fleet.record.byStatus.contains(504));
    if (row.servesAll)
        BOOST_TEST((fleet.record.byStatus.size() == 1 && fleet.record.byStatus.contains(200)));
    BOOST_TEST(fleet.record.withoutRetryAfter == 0);
}

// A limit that is lowered binds at once, and calls return when it is no longer named.
BOOST_AUTO_TEST_CASE(aLimitFollowsWhatTheTargetNames)
{
    ProcessFleet fleet({ "books", "books", "books", "shop", "shop", "shop" });
    FleetTarget& target = *fleet.targets[0];
    target.headers = "Server-Limit: 10\r\n";
    fleet.run(kLearningTime, kCallsPerSecond);
    target.headers = "Server-Limit: 2\r\n";
    fleet.run(kLearningTime, kCallsPerSecond);
    const absl::Time loweredAt = steadyNow();
    fleet.run(kObservedTime, kCallsPerSecond);
    BOOST_TEST(target.peakArrivals(loweredAt, kWindow) <= allowedArrivals(2));
    target.headers.clear();
    const absl::Time endedAt = steadyNow();
    runUntil(fleet.loop, [&] {
        fleet.run(absl::Milliseconds(100), kCallsPerSecond);
        return target.arrivalsSince(endedAt) > allowedArrivals(2);
    });
    fleet.awaitResponses();
    BOOST_TEST((fleet.record.byStatus.size() == 1 && fleet.record.byStatus.contains(200)));
}
