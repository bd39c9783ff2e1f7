#include "jackdawwall/parent-run.h"

#include "test/table.h"

#include <optional>
#include <vector>

namespace jackdawwall {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

struct MatchRow {
    const char* name;
    absl::Duration fromRun; ///< Limit of the call after the limit of the run.
    bool matches;
};

BOOST_AUTO_TEST_CASE(aCallBelongsToTheRunThatExpiresWithIt)
{
    const std::vector<MatchRow> table {
        { "same instant", absl::ZeroDuration(), true },
        { "rounded down", absl::Milliseconds(-1), true },
        { "delayed in transit", absl::Milliseconds(5), true },
        { "too late", absl::Milliseconds(7), false },
        { "too early", absl::Milliseconds(-3), false },
        { "a shorter limit of its own", absl::Milliseconds(-800), false },
    };
    test::forEachRow(table, [](const MatchRow& row) {
        ParentRuns runs;
        const auto limit = addRun(runs, kStart + absl::Seconds(1), { Priority::Critical, "c" }, kStart);
        BOOST_REQUIRE(limit.has_value());
        const ParentRun* run = findParentRun(runs, *limit + row.fromRun);
        BOOST_TEST((run != nullptr) == row.matches);
        if (run != nullptr)
            BOOST_TEST((run->priority == Priority::Critical && run->customer == "c"));
    });
}

BOOST_AUTO_TEST_CASE(callsOfConcurrentRunsWithTheSameLimitKeepTheirClassAndCustomer)
{
    ParentRuns runs;
    const absl::Time desired = kStart + absl::Milliseconds(1500);
    const auto booking = addRun(runs, desired, { Priority::Critical, "c" }, kStart);
    const auto read = addRun(runs, desired, { Priority::Browse, "" }, kStart);
    BOOST_REQUIRE((booking && read));
    BOOST_TEST((*booking <= desired && *read <= desired));
    for (const absl::Duration transit : { absl::ZeroDuration(), absl::Milliseconds(4) }) {
        const ParentRun* bookingRun = findParentRun(runs, *booking + transit);
        const ParentRun* readRun = findParentRun(runs, *read + transit);
        BOOST_REQUIRE((bookingRun != nullptr && readRun != nullptr));
        BOOST_TEST((bookingRun->priority == Priority::Critical && bookingRun->customer == "c"));
        BOOST_TEST((readRun->priority == Priority::Browse && readRun->customer.empty()));
    }
    removeRun(runs, *booking);
    BOOST_TEST((findParentRun(runs, *booking) == nullptr));
}

BOOST_AUTO_TEST_CASE(aCallThatOutlivesAllRunsHasNoParent)
{
    ParentRuns runs;
    BOOST_TEST(!mayHaveParent(runs, kStart));
    const auto limit = addRun(runs, kStart + absl::Seconds(1), { Priority::Browse, "" }, kStart);
    BOOST_REQUIRE(limit.has_value());
    BOOST_TEST(mayHaveParent(runs, *limit));
    BOOST_TEST(mayHaveParent(runs, *limit - absl::Milliseconds(300)));
    BOOST_TEST(!mayHaveParent(runs, kStart + absl::Seconds(5)));
    // Guards against a nested call that is refused because the instance was busy while it was in transit.
    BOOST_TEST(!mayHaveParent(runs, *limit + absl::Milliseconds(200)));
    BOOST_TEST(mayHaveParent(runs, *limit + absl::Milliseconds(200), kMaxLoadedTransit));
    BOOST_TEST(!mayHaveParent(runs, *limit + absl::Milliseconds(300), kMaxLoadedTransit));
}

BOOST_AUTO_TEST_CASE(aLimitIsReducedOnlySlightly)
{
    ParentRuns runs;
    const absl::Time desired = kStart + absl::Seconds(2);
    int registered = 0;
    for (int run = 0; run < 40; ++run) {
        const auto limit = addRun(runs, desired, { Priority::Browse, "" }, kStart);
        registered += limit ? 1 : 0;
        if (limit)
            BOOST_TEST((*limit > desired - absl::Milliseconds(100) && *limit <= desired));
    }
    BOOST_TEST(registered == 13); // One for each 8 ms.
}

BOOST_AUTO_TEST_CASE(limitsAreWholeMillisecondsFromNow)
{
    ParentRuns runs;
    const auto limit = addRun(runs, kStart + absl::Microseconds(1500700), { Priority::Browse, "" }, kStart);
    BOOST_TEST((limit == kStart + absl::Milliseconds(1500)));
}

} // namespace
} // namespace jackdawwall
