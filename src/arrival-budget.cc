#include "jackdawwall/arrival-budget.h"

#include <algorithm>

namespace jackdawwall {
namespace {

void forgetBefore(std::deque<absl::Time>& times, absl::Time start)
{
    while (!times.empty() && times.front() < start)
        times.pop_front();
}

} // namespace

void recordFirstArrival(ArrivalBudget& budget, const ArrivalBudgetOptions& options, absl::Time now)
{
    forgetBefore(budget.firsts, now - options.window);
    budget.firsts.push_back(now);
}

bool tryAcquireRetryArrival(
    ArrivalBudget& budget, const ArrivalBudgetOptions& options, std::size_t targets, absl::Time now)
{
    forgetBefore(budget.firsts, now - options.window);
    forgetBefore(budget.repeats, now - options.window);
    const double share = options.extraRetries / static_cast<double>(std::max<std::size_t>(targets, 1));
    const double allowed
        = options.safety * (options.retryRatio * static_cast<double>(budget.firsts.size()) + share);
    if (static_cast<double>(budget.repeats.size()) + 1 > allowed)
        return false;
    budget.repeats.push_back(now);
    return true;
}

} // namespace jackdawwall
