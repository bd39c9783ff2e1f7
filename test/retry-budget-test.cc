#include "jackdawwall/retry-budget.h"

#include "test/table.h"

#include <functional>
#include <string>
#include <vector>

namespace jackdawwall {
namespace {

struct LendRow {
    const char* name;
    std::uint32_t held;
    std::uint32_t lent;
    std::uint32_t left;
};

BOOST_AUTO_TEST_CASE(lendsHalfRoundedUp)
{
    const std::vector<LendRow> table { { "nothing", 0, 0, 0 }, { "the last goes along", 1, 1, 0 },
        { "two", 2, 1, 1 }, { "three", 3, 2, 1 }, { "many", 16, 8, 8 } };
    test::forEachRow(table, [](const LendRow& row) {
        Allowance allowance { row.held };
        BOOST_TEST(delegateAllowance(allowance) == row.lent);
        BOOST_TEST(allowance.remaining == row.left);
    });
}

BOOST_AUTO_TEST_CASE(returnsNoMoreThanWasLent)
{
    Allowance allowance { 1 };
    returnAllowance(allowance, 2, 7);
    BOOST_TEST(allowance.remaining == 3U);
}

struct RetryRow {
    const char* name;
    AttemptResult end;
    bool whenRepeatable;
    bool whenOnce;
};

BOOST_AUTO_TEST_CASE(retriesOnlyWhatCanDoNoHarmAndMayHelp)
{
    const std::vector<RetryRow> table {
        { "whole answer", { Outcome::Ok, Reason::None }, false, false },
        { "never handed over", { Outcome::NotRun, Reason::Unreachable }, true, true },
        { "target is leaving", { Outcome::NotRun, Reason::Leaving }, true, true },
        { "target shed it", { Outcome::NotRun, Reason::TargetShed }, true, true },
        { "overload is shared by the siblings", { Outcome::NotRun, Reason::Overload }, false, false },
        { "connection lost after the hand-over", { Outcome::Unknown, Reason::ConnectionLost }, true, false },
        { "answer cut short", { Outcome::Unknown, Reason::Truncated }, true, false },
        { "failed at the next hop", { Outcome::Failed, Reason::TargetFailed }, true, false },
        { "failed deeper", { Outcome::Failed, Reason::TargetFailed, false }, false, false },
        { "out of time", { Outcome::Unknown, Reason::Timeout }, false, false },
        { "used before", { Outcome::Unknown, Reason::Duplicate }, false, false },
    };
    test::forEachRow(table, [](const RetryRow& row) {
        BOOST_TEST(isRetryUseful(row.end, true) == row.whenRepeatable);
        BOOST_TEST(isRetryUseful(row.end, false) == row.whenOnce);
    });
}

BOOST_AUTO_TEST_CASE(retriesStayASmallShareOfCalls)
{
    const RetryBudgetOptions options { 0.1, 5 };
    RetryBudget ratio = makeRetryBudget(options);
    int retries = 0;
    for (int call = 0; call < 1000; ++call) {
        recordFirstAttempt(ratio, options);
        retries += tryAcquireRetry(ratio) ? 1 : 0;
    }
    BOOST_TEST(retries <= 1000 * options.retriesPerCall + options.burst);
    BOOST_TEST(retries >= 1000 * options.retriesPerCall);
}

/// Every call of a tree fails or not as a bit of `faults` says, in the order in which they are sent. Each
/// node retries while it has allowance, which is more than any real one does.
struct TreeRun {
    std::uint64_t faults;
    int width;
    int extraAttempts = 0;
    int sends = 0;
    bool losesAnswers = false;

    bool nextFails()
    {
        const bool fails = ((faults >> (sends % 64)) & 1U) != 0;
        ++sends;
        return fails;
    }

    /// One call at a node that holds `allowance`, to a child with `depth` levels below it.
    void call(Allowance& allowance, int depth)
    {
        while (true) {
            const std::uint32_t lent = delegateAllowance(allowance);
            const bool fails = nextFails();
            Allowance child { lent };
            if (depth > 0) {
                for (int branch = 0; branch < width; ++branch)
                    call(child, depth - 1);
            }
            const bool isAnswerLost = fails && losesAnswers;
            if (!isAnswerLost)
                returnAllowance(allowance, lent, child.remaining);
            if (!fails || !tryAcquireAttempt(allowance))
                return;
            ++extraAttempts;
        }
    }
};

BOOST_AUTO_TEST_CASE(extraAttemptsOfATreeNeverExceedTheRootsAllowance)
{
    // All placements of faults over the first 10 sends, repeated beyond, on trees of several shapes.
    constexpr std::uint64_t kPlacements = 1U << 10;
    for (int width = 1; width <= 3; ++width) {
        for (int depth = 0; depth <= 4; ++depth) {
            for (std::uint32_t root = 0; root <= 5; ++root) {
                for (std::uint64_t faults = 0; faults < kPlacements; faults += 1 + width * depth) {
                    for (const bool losesAnswers : { false, true }) {
                        TreeRun run { faults * 0x0004010040100401ULL, width, 0, 0, losesAnswers };
                        Allowance allowance { root };
                        run.call(allowance, depth);
                        BOOST_REQUIRE_LE(run.extraAttempts, static_cast<int>(root));
                    }
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(aChainOf17KeepsOneForTheDeepestHop)
{
    Allowance allowance { 3 };
    for (int hop = 0; hop < 17; ++hop)
        allowance.remaining = delegateAllowance(allowance);
    BOOST_TEST(allowance.remaining == 1U);
}

} // namespace
} // namespace jackdawwall
