#include "jackdawwall/retry-budget.h"

#include <algorithm>

namespace jackdawwall {

std::uint32_t lendAllowance(Allowance& allowance)
{
    const std::uint32_t lent = allowance.remaining - allowance.remaining / 2;
    allowance.remaining -= lent;
    return lent;
}

void returnAllowance(Allowance& allowance, std::uint32_t lent, std::uint32_t unspent)
{
    allowance.remaining += std::min(lent, unspent);
}

bool spendAttempt(Allowance& allowance)
{
    if (allowance.remaining == 0)
        return false;
    --allowance.remaining;
    return true;
}

RetryRatio makeRetryRatio(const RetryRatioOptions& options)
{
    return RetryRatio { options.burst };
}

void noteFirstAttempt(RetryRatio& ratio, const RetryRatioOptions& options)
{
    ratio.tokens = std::min(options.burst, ratio.tokens + options.retriesPerCall);
}

bool takeRetry(RetryRatio& ratio)
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

bool isRetryUseful(const AttemptEnd& end, bool repeatable)
{
    if (end.outcome == Outcome::Ok || !end.nextHopFailed)
        return false;
    if (!isHelpedByAnotherTarget(end.reason))
        return false;
    return end.outcome == Outcome::NotRun || repeatable;
}

} // namespace jackdawwall
