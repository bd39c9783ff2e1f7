#include "jackdawwall/hedging.h"

#include "test/table.h"

namespace jackdawwall {
namespace {

BOOST_AUTO_TEST_CASE(hedgesOnlyWithinBudgetAndAllowance)
{
    HedgeState state = makeHedgeState({});
    BOOST_TEST((hedgeDelay(state, 1) == absl::InfiniteDuration()));
    for (int response = 0; response < 2000; ++response)
        recordResponse(state, 1, absl::Milliseconds(response % 20 == 0 ? 50 : 10));
    BOOST_TEST((hedgeDelay(state, 1) >= absl::Milliseconds(9)));
    BOOST_TEST((hedgeDelay(state, 1) <= absl::Milliseconds(60)));
    Allowance none;
    BOOST_TEST(!tryAcquireHedge(state, none));
    int hedges = 0;
    for (int call = 0; call < 1000; ++call) {
        Allowance allowance { 1 };
        recordResponse(state, 1, absl::Milliseconds(10));
        hedges += tryAcquireHedge(state, allowance) ? 1 : 0;
    }
    BOOST_TEST(hedges <= 1000 * 0.05 + 20);
}

} // namespace
} // namespace jackdawwall
