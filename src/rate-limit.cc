#include "jackdawwall/rate-limit.h"

#include <algorithm>

namespace jackdawwall {
namespace {

constexpr double kBurstSeconds = 0.5;
constexpr std::size_t kMaximumBuckets = 65536;

void refill(TokenBucket& bucket, double callsPerSecond, absl::Time now)
{
    const double burst = std::max(1.0, callsPerSecond * kBurstSeconds);
    if (bucket.refilledAt == absl::InfinitePast()) {
        bucket.tokens = burst;
    } else {
        const double seconds = absl::ToDoubleSeconds(now - bucket.refilledAt);
        bucket.tokens = std::min(burst, bucket.tokens + callsPerSecond * std::max(0.0, seconds));
    }
    bucket.refilledAt = now;
}

} // namespace

bool tryAcquireCall(RateLimitState& state, std::uint64_t caller, double callsPerSecond, absl::Time now)
{
    if (callsPerSecond <= 0)
        return true;
    if (state.buckets.size() >= kMaximumBuckets && !state.buckets.contains(caller))
        state.buckets.clear();
    TokenBucket& bucket = state.buckets[caller];
    refill(bucket, callsPerSecond, now);
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

} // namespace jackdawwall
