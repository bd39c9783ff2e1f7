/// Limits on calls per second by token bucket; this node's part of a caller's limit over all nodes.
#pragma once

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstdint>

namespace jackdawwall {

struct TokenBucket {
    double tokens = 0;
    absl::Time refilledAt = absl::InfinitePast();
};

/// Buckets by stableHash of the caller's name.
struct RateLimitState {
    absl::flat_hash_map<std::uint64_t, TokenBucket> buckets;
};

/// Takes one call of a caller that may make `callsPerSecond` here, with bursts of half a second. False when
/// the caller is over its limit; a rate of 0 is no limit.
[[nodiscard]] bool tryAcquireCall(
    RateLimitState& state, std::uint64_t caller, double callsPerSecond, absl::Time now);

} // namespace jackdawwall
