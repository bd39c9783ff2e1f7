#include "jackdawwall/token-lease.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdawwall {
namespace {

/// Time constant of the demand estimate: long enough that a single request of a rare customer causes no grant
/// in advance.
constexpr double kDemandSeconds = 2;
/// Longest time for which a refusal is applied to further requests without a lease request.
constexpr absl::Duration kMaxRefusalTime = absl::Milliseconds(250);
/// Stated to callers when no coordinator can be reached; one is found again within a few seconds.
constexpr absl::Duration kUnknownRetryAfter = absl::Seconds(1);
/// Held tokens are extended when less than this share of their lease remains.
constexpr double kExtensionShare = 0.3;
constexpr absl::Duration kIdleTime = absl::Minutes(1);

void recordDemand(HeldTokens& held, absl::Time now)
{
    if (held.demandAt != absl::InfinitePast())
        held.demand *= std::exp(-absl::ToDoubleSeconds(now - held.demandAt) / kDemandSeconds);
    held.demand += 1 / kDemandSeconds;
    held.demandAt = now;
}

AcquireDecision makeRefusal(HeldTokens& held, absl::Time now)
{
    AcquireDecision decision;
    decision.result = held.isLimitReached ? AcquireResult::OverLimit : AcquireResult::Unknown;
    decision.retryAfter = std::max(absl::Milliseconds(1), held.nextToken - now);
    return decision;
}

void rememberRefusal(HeldTokens& held, bool isLimitReached, absl::Duration retryAfter, absl::Time now)
{
    held.isLimitReached = isLimitReached;
    held.nextToken = now + retryAfter;
    held.refusedUntil = now + std::min(retryAfter, kMaxRefusalTime);
}

WaitersDecision decideWaiters(HeldTokens& held, bool isRefused, absl::Time now)
{
    WaitersDecision decision;
    decision.taken = std::min(held.waiting, usableTokens(held, now));
    decision.period = held.request;
    held.tokens -= decision.taken;
    held.taken += decision.taken;
    held.waiting -= decision.taken;
    if (isRefused && held.waiting > 0) {
        decision.refused = std::exchange(held.waiting, 0);
        decision.refusal = makeRefusal(held, now);
        held.refused += decision.refused;
    }
    decision.needsRequest = held.waiting > 0;
    return decision;
}

} // namespace

std::uint32_t usableTokens(const HeldTokens& held, absl::Time now)
{
    return now < held.expiresAt ? held.tokens : 0;
}

bool isIdle(const HeldTokens& held, absl::Time now)
{
    return !held.isRequestPending && held.waiting == 0 && now - held.demandAt > kIdleTime;
}

AcquireDecision acquireToken(HeldTokens& held, absl::Time now)
{
    recordDemand(held, now);
    AcquireDecision decision;
    if (usableTokens(held, now) > 0) {
        --held.tokens;
        ++held.taken;
        decision.period = held.request;
        decision.needsRequest = held.tokens > 0 && !held.isRequestPending && now >= held.refusedUntil
            && held.expiresAt - now < held.lease * kExtensionShare;
        return decision;
    }
    if (now < held.refusedUntil) {
        ++held.refused;
        return makeRefusal(held, now);
    }
    decision.result = AcquireResult::Waiting;
    decision.needsRequest = !held.isRequestPending;
    ++held.waiting;
    return decision;
}

void stopWaiting(HeldTokens& held)
{
    if (held.waiting > 0)
        --held.waiting;
}

bool returnToken(HeldTokens& held, std::uint64_t period, absl::Time now)
{
    if (period != held.request || held.isRequestPending || now >= held.expiresAt)
        return false;
    ++held.tokens;
    return true;
}

LeaseRequest startLeaseRequest(HeldTokens& held, absl::Time now)
{
    held.tokens = usableTokens(held, now);
    held.isRequestPending = true;
    held.requestedAt = now;
    LeaseRequest request;
    request.number = ++held.request;
    request.epoch = held.epoch;
    request.lastGrant = held.lastGrant;
    request.waiting = held.waiting;
    request.held = held.tokens;
    // Without the latest request, so that a rare one alone causes no grant in advance.
    request.demand = std::max(0.0, held.demand - 1 / kDemandSeconds);
    return request;
}

WaitersDecision applyLeaseReply(
    HeldTokens& held, std::uint64_t number, const LeaseReply& reply, absl::Time now)
{
    if (!held.isRequestPending || number != held.request)
        return {};
    held.isRequestPending = false;
    if (reply.grant != 0) {
        // Requests that took a token of a lease that is not extended can't return it.
        held.request += reply.isExtended ? 0 : 1;
        held.tokens = (reply.isExtended ? usableTokens(held, now) : 0) + reply.tokens;
        held.expiresAt = held.requestedAt + reply.lease;
        held.lease = reply.lease;
        held.epoch = reply.epoch;
        held.lastGrant = reply.grant;
        if (reply.tokens > 0)
            held.grantedAt = now;
    }
    const bool isUnknown = reply.status != LeaseStatus::Answered;
    const bool isRefused = isUnknown || reply.retryAfter > absl::ZeroDuration();
    if (isRefused)
        rememberRefusal(held, !isUnknown,
            reply.retryAfter > absl::ZeroDuration() ? reply.retryAfter : kUnknownRetryAfter, now);
    return decideWaiters(held, isRefused, now);
}

WaitersDecision failLeaseRequest(HeldTokens& held, std::uint64_t number, absl::Time now)
{
    if (!held.isRequestPending || number != held.request)
        return {};
    held.isRequestPending = false;
    rememberRefusal(held, false, kUnknownRetryAfter, now);
    return decideWaiters(held, true, now);
}

void cancelLeaseRequest(HeldTokens& held, std::uint64_t number)
{
    if (number == held.request)
        held.isRequestPending = false;
}

} // namespace jackdawwall
