#include "jackdawwall/retry-budget.h"

#include "test/table.h"

#include <functional>
#include <string>
#include <vector>

namespace jackdawwall {
namespace {

struct DelegationRow {
    const char* name;
    std::uint32_t initial;
    std::uint32_t delegated;
    std::uint32_t kept;
};

BOOST_AUTO_TEST_CASE(delegatesHalfRoundedUp)
{
    const std::vector<DelegationRow> table { { "nothing", 0, 0, 0 }, { "the last one is delegated", 1, 1, 0 },
        { "two", 2, 1, 1 }, { "three", 3, 2, 1 }, { "many", 16, 8, 8 } };
    test::forEachRow(table, [](const DelegationRow& row) {
        Allowance allowance { row.initial };
        BOOST_TEST(delegateAllowance(allowance) == row.delegated);
        BOOST_TEST(allowance.remaining == row.kept);
    });
}

BOOST_AUTO_TEST_CASE(returnsNoMoreThanWasDelegated)
{
    Allowance allowance { 1 };
    returnAllowance(allowance, 2, 7);
    BOOST_TEST(allowance.remaining == 3U);
}

struct RetryRow {
    const char* name;
    AttemptResult result;
    bool whenIdempotent;
    bool whenNotIdempotent;
};

BOOST_AUTO_TEST_CASE(retriesOnlyWhenSafeAndUseful)
{
    const std::vector<RetryRow> table {
        { "complete response", { Outcome::Ok, Reason::None }, false, false },
        { "never sent", { Outcome::NotRun, Reason::Unreachable }, true, true },
        { "target is leaving", { Outcome::NotRun, Reason::Leaving }, true, true },
        { "target shed it", { Outcome::NotRun, Reason::TargetShed }, true, true },
        { "overload affects the siblings as well", { Outcome::NotRun, Reason::Overload }, false, false },
        { "connection lost after sending", { Outcome::Unknown, Reason::ConnectionLost }, true, false },
        { "response truncated", { Outcome::Unknown, Reason::Truncated }, true, false },
        { "failed at the next hop", { Outcome::Failed, Reason::TargetFailed }, true, false },
        { "failed at a later hop", { Outcome::Failed, Reason::TargetFailed, false }, false, false },
        { "timed out", { Outcome::Unknown, Reason::Timeout }, false, false },
        { "duplicate request id", { Outcome::Unknown, Reason::Duplicate }, false, false },
    };
    test::forEachRow(table, [](const RetryRow& row) {
        BOOST_TEST(isRetryUseful(row.result, true) == row.whenIdempotent);
        BOOST_TEST(isRetryUseful(row.result, false) == row.whenNotIdempotent);
    });
}

BOOST_AUTO_TEST_CASE(retriesStayASmallShareOfCalls)
{
    const RetryBudgetOptions options { 0.1, 5 };
    RetryBudget budget = makeRetryBudget(options);
    int retries = 0;
    for (int call = 0; call < 1000; ++call) {
        recordFirstAttempt(budget, options);
        retries += tryAcquireRetry(budget) ? 1 : 0;
    }
    BOOST_TEST(retries <= 1000 * options.retriesPerCall + options.burst);
    BOOST_TEST(retries >= 1000 * options.retriesPerCall);
}

/// Simulates a call tree in which a bit of `faults` decides whether each attempt fails, in the order of
/// sending. Each node retries as long as it has allowance, which is more than any real node does.
struct CallTree {
    std::uint64_t faults;
    int width;
    int extraAttempts = 0;
    int attempts = 0;
    bool losesResponses = false;

    bool nextFails()
    {
        const bool fails = ((faults >> (attempts % 64)) & 1U) != 0;
        ++attempts;
        return fails;
    }

    /// Sends one call from a node with `allowance` to a child with `depth` levels below it.
    void call(Allowance& allowance, int depth)
    {
        while (true) {
            const std::uint32_t delegated = delegateAllowance(allowance);
            const bool fails = nextFails();
            Allowance child { delegated };
            if (depth > 0) {
                for (int branch = 0; branch < width; ++branch)
                    call(child, depth - 1);
            }
            const bool isResponseLost = fails && losesResponses;
            if (!isResponseLost)
                returnAllowance(allowance, delegated, child.remaining);
            if (!fails || !tryAcquireAttempt(allowance))
                return;
            ++extraAttempts;
        }
    }
};

BOOST_AUTO_TEST_CASE(extraAttemptsNeverExceedTheAllowanceOfTheRoot)
{
    // Patterns of faults over 10 attempts, repeated for later ones, on trees of several shapes.
    constexpr std::uint64_t kPlacements = 1U << 10;
    for (int width = 1; width <= 3; ++width) {
        for (int depth = 0; depth <= 4; ++depth) {
            for (std::uint32_t rootAllowance = 0; rootAllowance <= 5; ++rootAllowance) {
                for (std::uint64_t faults = 0; faults < kPlacements; faults += 1 + width * depth) {
                    for (const bool losesResponses : { false, true }) {
                        CallTree tree { faults * 0x0004010040100401ULL, width, 0, 0, losesResponses };
                        Allowance allowance { rootAllowance };
                        tree.call(allowance, depth);
                        BOOST_REQUIRE_LE(tree.extraAttempts, static_cast<int>(rootAllowance));
                    }
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(chainOf17HopsLeavesOneAttemptForTheLast)
{
    Allowance allowance { 3 };
    for (int hop = 0; hop < 17; ++hop)
        allowance.remaining = delegateAllowance(allowance);
    BOOST_TEST(allowance.remaining == 1U);
}

} // namespace
} // namespace jackdawwall
