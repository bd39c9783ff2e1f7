#include "jackdawwall/token-coordinator.h"

#include <algorithm>
#include <cmath>

namespace jackdawwall {
namespace {

constexpr absl::Duration kLease = absl::Seconds(1);
/// Lease when tokens are scarce or nothing is granted in advance.
constexpr absl::Duration kShortLease = absl::Milliseconds(250);
/// The bucket has to cover the tokens that are leased at the full rate for a short lease.
constexpr double kMinBurstSeconds = 0.25;
/// Smallest burst. A few requests that arrive together at different nodes each block a token for a short
/// lease; with b = 1, a customer with a few calls per second would be refused below its rate.
constexpr double kMinBurst = 5;
constexpr double kBurstSlackShare = 0.5;
/// Level of a new responsibility, as share of the burst: within the tolerated excess of a tenth.
constexpr double kInitialLevelShare = 0.1;
/// A new first may overlap with its predecessor until all views agree, so it begins at half the rate.
constexpr absl::Duration kOverlapTime = absl::Seconds(1);
constexpr double kOverlapRate = 0.5;
/// A substitute may run beside the first, so its grants are bounded: less than half the rate, for 1 s in 10
/// s. At half the rate, one of 1500 random runs with several faults at once exceeded the permitted window.
constexpr absl::Duration kSubstituteTime = absl::Seconds(1);
constexpr absl::Duration kSubstitutePeriod = absl::Seconds(10);
constexpr double kSubstituteRate = 0.4;
/// The first requests of a process arrive before it knows the other members.
constexpr absl::Duration kStartTime = absl::Seconds(1);
/// Below the time after which other nodes take this one for failed. Deputies that act earlier are bounded on
/// their own.
constexpr absl::Duration kMaxTickGap = absl::Seconds(1);
/// Below this share of the burst, leases are short, even if most of the burst is leased.
constexpr double kLowShare = 0.125;
/// Below this share of the burst, grants are limited to the fair share of each holder.
constexpr double kScarceShare = 0.0625;
/// Fewer tokens in advance often expire unused; while tokens are scarce, they would be missing elsewhere.
constexpr double kMinScarceAdvance = 4;
constexpr absl::Duration kFairShareTime = absl::Milliseconds(250);
/// Between two removals of expired leases, which visit all leases of the customer.
constexpr absl::Duration kSweepInterval = absl::Milliseconds(50);
/// Shortest stated time of a refusal, so that refused holders don't send a request for each token.
constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(50);
constexpr absl::Duration kMaxRetryAfter = absl::Seconds(60);

/// Makes the role in `standing` the present one. A responsibility starts with a low level, because its
/// predecessor may have spent the bucket.
void updateRole(CustomerTokens& tokens, const CoordinatorState& state, const CoordinatorStanding& standing,
    double burst, absl::Time now)
{
    if (standing.role == CoordinatorRole::First) {
        const absl::Time since = std::max(state.resetAt, standing.firstSince);
        if (tokens.role != CoordinatorRole::First || tokens.responsibleSince != since) {
            tokens.level = std::min(tokens.level, std::max(0.0, kInitialLevelShare * burst - tokens.leased));
            tokens.refilledAt = std::max(tokens.refilledAt, since);
            tokens.responsibleSince = since;
        }
    } else {
        const bool isNewPeriod = now - tokens.substituteSince >= kSubstitutePeriod;
        if (tokens.role != CoordinatorRole::Substitute || isNewPeriod)
            tokens.level = 0;
        if (isNewPeriod)
            tokens.substituteSince = now;
    }
    tokens.role = standing.role;
}

/// Tokens gained since the last refill, in calls per second of the limit multiplied by time.
double gainedSeconds(const CustomerTokens& tokens, absl::Time now)
{
    const auto overlap = [&](absl::Time start, absl::Time end) {
        return std::max(0.0, absl::ToDoubleSeconds(std::min(now, end) - std::max(tokens.refilledAt, start)));
    };
    if (tokens.role == CoordinatorRole::Substitute)
        return kSubstituteRate * overlap(tokens.substituteSince, tokens.substituteSince + kSubstituteTime);
    const absl::Time full = tokens.responsibleSince + kOverlapTime;
    return kOverlapRate * overlap(tokens.responsibleSince, full) + overlap(full, absl::InfiniteFuture());
}

/// Removes expired leases, which count as used.
void sweep(CustomerTokens& tokens, absl::Time now)
{
    tokens.leased = 0;
    tokens.recentHolders = 0;
    absl::erase_if(tokens.leases, [&](const auto& item) {
        if (item.second.expiresAt <= now)
            return true;
        tokens.leased += item.second.tokens();
        ++tokens.recentHolders;
        return false;
    });
    tokens.sweptAt = now;
}

void refill(CustomerTokens& tokens, const TokenLimit& limit, double share, absl::Time now)
{
    const double gained = limit.callsPerSecond * share * gainedSeconds(tokens, now);
    tokens.refilledAt = now;
    const double room = std::max(0.0, effectiveBurst(limit) * share - tokens.leased);
    tokens.level = std::min(tokens.level + gained, room);
}

/// Applies what the holder states about its earlier lease. `isKnown`: the lease is of this epoch and alive.
void settleLease(CustomerTokens& tokens, TokenLease& lease, const LeaseRequest& request, bool isKnown)
{
    const double before = lease.tokens();
    if (!isKnown) {
        // Tokens of another epoch or an expired lease. What an earlier run of the holder got counts as used.
        lease.confirmed = 0;
    } else if (request.lastGrant == lease.lastReply.grant) {
        lease.confirmed = std::min(lease.tokens(), request.held);
    } else {
        // The reply was lost, and the holder ignores it should it still arrive: its tokens return.
        if (request.lastGrant == lease.previousGrant)
            tokens.level += lease.granted;
        lease.confirmed = std::min(lease.confirmed, request.held);
    }
    lease.granted = 0;
    tokens.leased += lease.tokens() - before;
}

/// Time until the bucket has a whole token.
absl::Duration timeToToken(
    const CustomerTokens& tokens, const TokenLimit& limit, double share, absl::Time now)
{
    const double rate = limit.callsPerSecond * share;
    absl::Duration time = absl::Seconds(std::max(0.0, 1 - tokens.level) / rate);
    if (effectiveBurst(limit) * share - tokens.leased < 1) {
        absl::Time earliest = absl::InfiniteFuture();
        for (const auto& [holder, lease] : tokens.leases) {
            if (lease.tokens() > 0)
                earliest = std::min(earliest, lease.expiresAt);
        }
        if (earliest != absl::InfiniteFuture())
            time += std::max(absl::ZeroDuration(), earliest - now);
    }
    return std::clamp(time, kMinRetryAfter, kMaxRetryAfter);
}

/// Decides how many tokens a holder gets and for how long.
void decideGrant(const CustomerTokens& tokens, const TokenLimit& limit, double share,
    const LeaseRequest& request, std::uint32_t held, LeaseReply& reply)
{
    const double burst = effectiveBurst(limit) * share;
    const bool isLow = tokens.level < std::max((burst - tokens.leased) / 2, burst * kLowShare);
    reply.lease = isLow ? kShortLease : kLease;
    const double advance
        = std::floor(std::clamp(request.demand, 0.0, burst) * absl::ToDoubleSeconds(reply.lease));
    const double usefulAdvance = isLow && advance < kMinScarceAdvance ? 0 : advance;
    if (usefulAdvance == 0)
        reply.lease = kShortLease;
    const double wanted = std::max(0.0, request.waiting + usefulAdvance - held);
    double limitOfHolder = tokens.level;
    if (tokens.level < burst * kScarceShare) {
        const double supply
            = tokens.level + limit.callsPerSecond * share * absl::ToDoubleSeconds(kFairShareTime);
        limitOfHolder = std::max(1.0, supply / std::max(1U, tokens.recentHolders));
    }
    reply.tokens
        = static_cast<std::uint32_t>(std::floor(std::min({ wanted, tokens.level, limitOfHolder, 1e6 })));
}

} // namespace

double effectiveBurst(const TokenLimit& limit)
{
    return std::max(
        { limit.burst + kBurstSlackShare * limit.slack, limit.callsPerSecond * kMinBurstSeconds, kMinBurst });
}

CoordinatorState makeCoordinator(std::uint64_t epoch, absl::Time now)
{
    CoordinatorState state;
    state.epoch = epoch;
    state.resetAt = now + kStartTime;
    state.tickedAt = now;
    return state;
}

void tickCoordinator(CoordinatorState& state, const NodeCondition& condition, absl::Time now)
{
    const bool isInterrupted = now - state.tickedAt > kMaxTickGap;
    if (isInterrupted || condition.isCutOff || condition.refutations != state.refutations)
        state.resetAt = std::max(state.resetAt, now);
    state.tickedAt = now;
    state.isCutOff = condition.isCutOff;
    state.refutations = condition.refutations;
}

void retainCustomers(CoordinatorState& state, const std::function<bool(const std::string&)>& hasLimit)
{
    absl::erase_if(state.customers, [&](const auto& item) { return !hasLimit(item.first); });
}

LeaseReply grantTokens(CoordinatorState& state, const std::string& customer, const TokenLimit& limit,
    const CoordinatorStanding& standing, const LeaseRequest& request, absl::Time now)
{
    LeaseReply reply;
    reply.epoch = state.epoch;
    const auto known = state.customers.find(customer);
    if (standing.role == CoordinatorRole::None) {
        if (known != state.customers.end())
            known->second.role = CoordinatorRole::None;
        reply.status = LeaseStatus::NotResponsible;
        reply.responsible = standing.first;
        return reply;
    }
    if (state.isCutOff || now < state.resetAt)
        return reply;
    const double share = standing.reachableShare;
    CustomerTokens& tokens = state.customers[customer];
    if (known == state.customers.end())
        tokens.level = effectiveBurst(limit) * share;
    updateRole(tokens, state, standing, effectiveBurst(limit) * share, now);
    if (now - tokens.sweptAt >= kSweepInterval)
        sweep(tokens, now);
    TokenLease& lease = tokens.leases[request.holder];
    if (lease.run == request.run && lease.request >= request.number)
        return lease.request == request.number ? lease.lastReply : reply;
    const bool isKnown = lease.run == request.run && request.epoch == state.epoch && lease.expiresAt > now;
    refill(tokens, limit, share, now);
    settleLease(tokens, lease, request, isKnown);
    refill(tokens, limit, share, now);
    decideGrant(tokens, limit, share, request, lease.confirmed, reply);
    tokens.level -= reply.tokens;
    tokens.leased += reply.tokens;
    const bool isSatisfied = lease.confirmed + reply.tokens >= request.waiting;
    // A substitute that has no token can't tell whether the first has some.
    const bool isFirst = tokens.role == CoordinatorRole::First;
    if (!isSatisfied && (isFirst || now - tokens.substituteSince < kSubstituteTime))
        reply.retryAfter = timeToToken(tokens, limit, share, now);
    reply.status = isSatisfied || isFirst ? LeaseStatus::Answered : LeaseStatus::Withheld;
    reply.isExtended = isKnown;
    reply.grant = ++tokens.lastGrant;
    lease.run = request.run;
    lease.request = request.number;
    lease.granted = reply.tokens;
    lease.previousGrant = isKnown ? request.lastGrant : 0;
    // If this reply is lost, the confirmed tokens keep their earlier expiry at the holder.
    lease.expiresAt = std::max(now + reply.lease, lease.confirmed > 0 ? lease.expiresAt : now);
    lease.lastReply = reply;
    return reply;
}

} // namespace jackdawwall
