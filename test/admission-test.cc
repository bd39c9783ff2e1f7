#include "jackdawwall/admission.h"

#include "test/table.h"

#include <vector>

namespace jackdawwall {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

OfferedCall call(CallId id, Priority priority, std::uint64_t caller = 1)
{
    OfferedCall result;
    result.id = id;
    result.priority = priority;
    result.caller = caller;
    result.cost = costKey("read", 0);
    return result;
}

AdmissionState stateWithLimit(double limit)
{
    AdmissionOptions options;
    options.limit.initial = limit;
    AdmissionState state = makeAdmissionState(options);
    state.meanTime = 0.005;
    return state;
}

struct OrderRow {
    const char* name;
    std::vector<OfferedCall> offered;
    std::vector<CallId> order;
};

BOOST_AUTO_TEST_CASE(startsWaitingCallsByClassThenFairly)
{
    using enum Priority;
    const std::vector<OrderRow> table {
        { "class first", { call(2, Browse), call(3, Critical), call(4, Interactive) }, { 3, 4, 2 } },
        { "in order of arrival for one caller", { call(2, Browse), call(3, Browse) }, { 2, 3 } },
        { "a second caller does not wait for all calls of the first",
            { call(2, Browse, 1), call(3, Browse, 1), call(4, Browse, 2) }, { 2, 4, 3 } },
    };
    test::forEachRow(table, [](const OrderRow& row) {
        AdmissionState state = stateWithLimit(1);
        BOOST_REQUIRE((offerCall(state, call(1, Bulk), kStart).verdict == Verdict::Start));
        for (const OfferedCall& offered : row.offered)
            BOOST_TEST((offerCall(state, offered, kStart).verdict == Verdict::Wait));
        CallId running = 1;
        for (const CallId expected : row.order) {
            const QueueUpdate update = finishCall(state, running, RunResult::Aborted, {}, kStart);
            BOOST_REQUIRE_EQUAL(update.started.size(), 1U);
            BOOST_TEST(update.started.front() == expected);
            running = expected;
        }
    });
}

BOOST_AUTO_TEST_CASE(refusesCallsThatCannotMeetTheirDeadline)
{
    AdmissionState state = stateWithLimit(4);
    OfferedCall expired = call(1, Priority::Critical);
    expired.deadline = kStart + absl::Milliseconds(1);
    const Decision decision = offerCall(state, expired, kStart);
    BOOST_TEST((decision.verdict == Verdict::Refuse));
    BOOST_TEST((decision.reason == Reason::Deadline));
    BOOST_TEST(inFlight(state) == 0);
}

BOOST_AUTO_TEST_CASE(refusesOnlyClassesWhoseQueueIsTooLong)
{
    AdmissionState state = stateWithLimit(1);
    CallId id = 0;
    while (offerCall(state, call(++id, Priority::Browse), kStart).verdict != Verdict::Refuse)
        BOOST_REQUIRE_LT(id, 1000U);
    BOOST_TEST((offerCall(state, call(++id, Priority::Critical), kStart).verdict == Verdict::Wait));
}

BOOST_AUTO_TEST_CASE(refusesCallsThatWaitTooLong)
{
    AdmissionState state = stateWithLimit(1);
    offerCall(state, call(1, Priority::Browse), kStart);
    offerCall(state, call(2, Priority::Browse), kStart);
    BOOST_TEST(advanceTime(state, kStart + absl::Milliseconds(10)).refused.empty());
    const QueueUpdate update = advanceTime(state, kStart + absl::Seconds(1));
    BOOST_REQUIRE_EQUAL(update.refused.size(), 1U);
    BOOST_TEST(update.refused.front().id == 2U);
    BOOST_TEST(!cancelWaitingCall(state, 2));
}

BOOST_AUTO_TEST_CASE(cancelledCallsNeverStart)
{
    AdmissionState state = stateWithLimit(1);
    offerCall(state, call(1, Priority::Browse), kStart);
    offerCall(state, call(2, Priority::Browse), kStart);
    BOOST_TEST(cancelWaitingCall(state, 2));
    BOOST_TEST(finishCall(state, 1, RunResult::Completed, {}, kStart).started.empty());
}

BOOST_AUTO_TEST_CASE(drainingRefusesNewCallsAndKeepsTheOthers)
{
    AdmissionState state = stateWithLimit(1);
    offerCall(state, call(1, Priority::Browse), kStart);
    offerCall(state, call(2, Priority::Browse), kStart);
    startDraining(state);
    BOOST_TEST((offerCall(state, call(3, Priority::Critical), kStart).reason == Reason::Leaving));
    BOOST_TEST(finishCall(state, 1, RunResult::Completed, {}, kStart).started.size() == 1U);
}

/// Completes short reads until their time is known, then one upload.
AdmissionState stateWithKnownUploads()
{
    AdmissionState state = stateWithLimit(40);
    absl::Time now = kStart;
    for (CallId id = 1; id <= 50; ++id) {
        offerCall(state, call(id, Priority::Interactive), now);
        now += absl::Milliseconds(5);
        finishCall(state, id, RunResult::Completed, {}, now);
    }
    OfferedCall upload = call(51, Priority::Interactive);
    upload.cost = costKey("upload", 5 << 20);
    offerCall(state, upload, now);
    finishCall(state, 51, RunResult::Completed, {}, now + absl::Milliseconds(500));
    return state;
}

BOOST_AUTO_TEST_CASE(longCallsLeaveSlotsForShortCalls)
{
    AdmissionState state = stateWithKnownUploads();
    const absl::Time now = kStart + absl::Seconds(10);
    int started = 0;
    for (CallId id = 100; id < 200; ++id) {
        OfferedCall upload = call(id, Priority::Critical);
        upload.cost = costKey("upload", 5 << 20);
        started += offerCall(state, upload, now).verdict == Verdict::Start ? 1 : 0;
    }
    BOOST_TEST(started > 0);
    BOOST_TEST(started <= 0.75 * currentLimit(state.limit));
    const QueueUpdate update = finishCall(state, 999, RunResult::Completed, {}, now);
    BOOST_TEST(update.started.empty());
    // A short read starts at once, before all queued uploads, including those of a higher class.
    BOOST_TEST((offerCall(state, call(300, Priority::Browse), now).verdict == Verdict::Start));
    BOOST_TEST(finishCall(state, 100, RunResult::Aborted, {}, now).started.size() == 1U);
}

} // namespace
} // namespace jackdawwall
