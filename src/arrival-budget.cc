#include "jackdawwall/arrival-budget.h"

#include <algorithm>

namespace jackdawwall {
namespace {

void removeBefore(std::deque<absl::Time>& times, absl::Time start)
{
    while (!times.empty() && times.front() < start)
        times.pop_front();
}

} // namespace

void recordFirstArrival(ArrivalBudget& budget, const ArrivalBudgetOptions& options, absl::Time now)
{
    removeBefore(budget.firstArrivals, now - options.window);
    budget.firstArrivals.push_back(now);
}

bool tryAcquireRetryArrival(
    ArrivalBudget& budget, const ArrivalBudgetOptions& options, std::size_t targets, absl::Time now)
{
    removeBefore(budget.firstArrivals, now - options.window);
    removeBefore(budget.retryArrivals, now - options.window);
    const double share = options.extraRetries / static_cast<double>(std::max<std::size_t>(targets, 1));
    const double retryLimit = options.safetyFactor
        * (options.retryRatio * static_cast<double>(budget.firstArrivals.size()) + share);
    if (static_cast<double>(budget.retryArrivals.size()) + 1 > retryLimit)
        return false;
    budget.retryArrivals.push_back(now);
    return true;
}

} // namespace jackdawwall
