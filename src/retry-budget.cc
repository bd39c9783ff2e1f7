#include "jackdawwall/retry-budget.h"

#include <algorithm>

namespace jackdawwall {

std::uint32_t delegateAllowance(Allowance& allowance)
{
    const std::uint32_t lent = allowance.remaining - allowance.remaining / 2;
    allowance.remaining -= lent;
    return lent;
}

void returnAllowance(Allowance& allowance, std::uint32_t lent, std::uint32_t unspent)
{
    allowance.remaining += std::min(lent, unspent);
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

void recordFirstAttempt(RetryBudget& ratio, const RetryBudgetOptions& options)
{
    ratio.tokens = std::min(options.burst, ratio.tokens + options.retriesPerCall);
}

bool tryAcquireRetry(RetryBudget& ratio)
{
    if (ratio.tokens < 1)
        return false;
    ratio.tokens -= 1;
    return true;
}

namespace {

bool isHelpedByAnotherTarget(Reason reason)
{
    switch (reason) {
    case Reason::Leaving:
    case Reason::Unreachable:
    case Reason::ConnectionLost:
    case Reason::Truncated:
    case Reason::TargetShed:
    case Reason::TargetFailed:
        return true;
    default:
        return false;
    }
}

} // namespace

bool isRetryUseful(const AttemptResult& end, bool repeatable)
{
    if (end.outcome == Outcome::Ok || !end.nextHopFailed)
        return false;
    if (!isHelpedByAnotherTarget(end.reason))
        return false;
    return end.outcome == Outcome::NotRun || repeatable;
}

} // namespace jackdawwall
