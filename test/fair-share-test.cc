#include "jackdawwall/fair-share.h"

#include "test/table.h"

#include <vector>

namespace jackdawwall {
namespace {

constexpr std::uint64_t kCallers[] = { 1, 2, 3 };

/// Offered work per second of one caller and class.
struct Flow {
    Priority priority;
    std::uint64_t caller;
    double work;
    double weight = 1;
};

ShareWindow window(absl::Duration wait)
{
    ShareWindow result;
    result.length = absl::Milliseconds(100);
    result.capacity = 10;
    result.wait = wait;
    result.waitTarget = absl::Milliseconds(10);
    return result;
}

/// Offers the flows for 60 windows, the first above the overload threshold and the others at the wait target.
/// Upstream nodes forward only the admitted fractions.
ShareState stateAfterOffering(const std::vector<Flow>& flows)
{
    ShareState state;
    for (int round = 0; round < 60; ++round) {
        for (const Flow& flow : flows) {
            const std::uint32_t forwarded
                = forwardedFraction(admittedFraction(state, { flow.priority, flow.caller }));
            const double arrivingWork = flow.work / 10 * forwarded / kRankCount;
            for (int call = 0; call < 20; ++call)
                recordOffer(
                    state, { { flow.priority, flow.caller }, flow.weight, arrivingWork / 20, forwarded });
        }
        allocateCapacity(state, {}, window(absl::Milliseconds(round == 0 ? 21 : 10)));
    }
    return state;
}

double share(const ShareState& state, Priority priority, std::uint64_t caller)
{
    return static_cast<double>(admittedFraction(state, { priority, caller })) / kRankCount;
}

struct AllocationRow {
    const char* name;
    std::vector<Flow> flows;
    std::vector<double> shares;
};

BOOST_AUTO_TEST_CASE(allocatesByClassThenByWeight)
{
    using enum Priority;
    const std::vector<AllocationRow> table {
        { "all fit", { { Critical, 1, 4 }, { Browse, 2, 4 } }, { 1, 1 } },
        { "browse calls are refused first", { { Critical, 1, 8 }, { Browse, 2, 50 } }, { 1, 0.03 } },
        { "no budget remains for bulk", { { Critical, 1, 20 }, { Bulk, 2, 5 } }, { 0.585, 0 } },
        { "equal callers", { { Browse, 1, 10 }, { Browse, 2, 10 } }, { 0.45, 0.45 } },
        { "only the greedy caller is refused", { { Browse, 1, 300 }, { Browse, 2, 3 }, { Browse, 3, 2 } },
            { 0.013, 1, 1 } },
        { "by weight", { { Browse, 1, 10, 3 }, { Browse, 2, 10, 1 } }, { 0.68, 0.22 } },
    };
    test::forEachRow(table, [](const AllocationRow& row) {
        const ShareState state = stateAfterOffering(row.flows);
        for (std::size_t index = 0; index < row.flows.size(); ++index) {
            const double actual = share(state, row.flows[index].priority, row.flows[index].caller);
            // The budget is 0.9 of the capacity after the long wait in the first window.
            BOOST_TEST(actual >= row.shares[index] - 0.03);
            BOOST_TEST(actual <= row.shares[index] + 0.03);
        }
    });
}

BOOST_AUTO_TEST_CASE(estimatesDemandThatIsRefusedUpstream)
{
    const ShareState state = stateAfterOffering({ { Priority::Browse, kCallers[0], 100 } });
    BOOST_TEST(state.demands.begin()->second.demand > 90);
    BOOST_TEST(state.demands.begin()->second.demand < 110);
}

BOOST_AUTO_TEST_CASE(raisesFractionsInStepsWhenDemandFalls)
{
    ShareState state = stateAfterOffering({ { Priority::Browse, kCallers[0], 1000 } });
    std::uint32_t before = admittedFraction(state, { Priority::Browse, kCallers[0] });
    int windows = 0;
    while (state.isOverloaded && windows < 100) {
        for (int call = 0; call < 20; ++call)
            recordOffer(state, { { Priority::Browse, kCallers[0] }, 1, 0.005, kRankCount });
        allocateCapacity(state, {}, window(absl::ZeroDuration()));
        const std::uint32_t fraction = admittedFraction(state, { Priority::Browse, kCallers[0] });
        BOOST_TEST(fraction <= maximumNextFraction(before));
        before = fraction;
        ++windows;
    }
    BOOST_TEST(!state.isOverloaded);
    BOOST_TEST(before == kRankCount);
}

BOOST_AUTO_TEST_CASE(probeRanksAreAlwaysForwarded)
{
    BOOST_TEST(forwardedFraction(0) == kProbeRanks);
    BOOST_TEST(forwardedFraction(99) == 99U);
}

} // namespace
} // namespace jackdawwall
