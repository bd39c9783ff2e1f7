/// Rate limits of callers, enforced by token buckets. Each node enforces its share of the limit that a caller
/// has over all nodes.
#pragma once

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstdint>

namespace jackdawwall {

struct TokenBucket {
    double tokens = 0;
    absl::Time refilledAt = absl::InfinitePast();
};

/// Token buckets by stableHash of the caller's name.
struct RateLimitState {
    absl::flat_hash_map<std::uint64_t, TokenBucket> buckets;
};

/// Takes one token of a caller that may make `callsPerSecond` at this node, with bursts of up to half a
/// second. False if the caller exceeds its limit; a rate of 0 means no limit.
[[nodiscard]] bool tryAcquireCall(
    RateLimitState& state, std::uint64_t caller, double callsPerSecond, absl::Time now);

} // namespace jackdawwall
