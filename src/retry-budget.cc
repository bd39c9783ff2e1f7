#include "jackdawwall/retry-budget.h"

#include <algorithm>

namespace jackdawwall {

std::uint32_t delegateAllowance(Allowance& allowance)
{
    const std::uint32_t delegated = allowance.remaining - allowance.remaining / 2;
    allowance.remaining -= delegated;
    return delegated;
}

void returnAllowance(Allowance& allowance, std::uint32_t delegated, std::uint32_t unused)
{
    allowance.remaining += std::min(delegated, unused);
}

bool tryAcquireAttempt(Allowance& allowance)
{
    if (allowance.remaining == 0)
        return false;
    --allowance.remaining;
    return true;
}

RetryBudget makeRetryBudget(const RetryBudgetOptions& options)
{
    return RetryBudget { options.burst };
}

void recordFirstAttempt(RetryBudget& budget, const RetryBudgetOptions& options)
{
    budget.tokens = std::min(options.burst, budget.tokens + options.retriesPerCall);
}

bool tryAcquireRetry(RetryBudget& budget)
{
    if (budget.tokens < 1)
        return false;
    budget.tokens -= 1;
    return true;
}

namespace {

bool isRetryableOnAnotherTarget(Reason reason)
{
    switch (reason) {
    case Reason::Leaving:
    case Reason::Unreachable:
    case Reason::ConnectionLost:
    case Reason::Truncated:
    case Reason::ResponseTooLarge:
    case Reason::TargetShed:
    case Reason::TargetFailed:
        return true;
    default:
        return false;
    }
}

} // namespace

bool isRetryUseful(const AttemptResult& result, bool idempotent)
{
    if (result.outcome == Outcome::Ok || !result.nextHopFailed)
        return false;
    if (!isRetryableOnAnotherTarget(result.reason))
        return false;
    return result.outcome == Outcome::NotRun || idempotent;
}

} // namespace jackdawwall
