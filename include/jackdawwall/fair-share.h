/// Divides the capacity of one target between priority classes and callers. Classes are served in order;
/// within a class, capacity is divided by weighted max-min fairness. The result is a fraction of ranks for
/// each caller and class: a request is served if its rank is below the fraction. The rank is the same at each
/// hop and responses report the fraction upstream, so the first hop refuses what a later hop would refuse.
#pragma once

#include "jackdawwall/core.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstdint>
#include <limits>

namespace jackdawwall {

/// Identifies the work of one caller in one class.
struct ShareKey {
    Priority priority = Priority::Bulk;
    std::uint64_t caller = 0; ///< stableHash of the caller's name.

    friend bool operator==(const ShareKey&, const ShareKey&) = default;
    template <typename H> friend H AbslHashValue(H state, const ShareKey& key)
    {
        return H::combine(std::move(state), key.priority, key.caller);
    }
};

/// Offered work of one key. Work is measured in seconds of typical time at the target.
struct ShareDemand {
    double weight = 1;
    double offeredWork = 0; ///< In this window, including the estimate of what upstream nodes refused.
    int arrivals = 0; ///< In this window.
    double demand = 0; ///< Offered work per second before any refusal, smoothed.
    std::uint32_t fraction = kRankCount;
    int idleWindows = 0;
};

struct ShareOptions {
    int uncongestedWindows = 10; ///< Consecutive windows without congestion that end an overload.
};

struct ShareState {
    absl::flat_hash_map<ShareKey, ShareDemand> demands;
    bool isOverloaded = false; ///< Set by a long wait; capacity is divided only while it is set.
    double budget = std::numeric_limits<double>::infinity(); ///< Work per second.
    double budgetRatio = 1; ///< Budget over capacity, adjusted by the wait.
    int uncongestedCount = 0;
};

/// State of the target at the end of a window.
struct ShareWindow {
    absl::Duration length;
    double capacity = 0; ///< Typical work per second: by Little's law, the concurrency limit divided by the
                         ///< recent slowdown.
    bool hasSpareCapacity = false; ///< The concurrency limit was not reached.
    absl::Duration wait; ///< Mean wait of the calls that were started or are still queued.
    absl::Duration waitTarget; ///< Mean wait aimed at during an overload.
};

/// Ranks that upstream nodes always forward. A target that refuses everything can then still estimate the
/// demand, and its callers find out when the overload ends.
inline constexpr std::uint32_t kProbeRanks = 1;

/// Ranks below this are forwarded by upstream nodes that have received `fraction`.
std::uint32_t forwardedFraction(std::uint32_t fraction);

/// Largest fraction that may follow `fraction` one window later. Raising it in steps avoids a burst of calls.
std::uint32_t maximumNextFraction(std::uint32_t fraction);

/// A call offered to the target, whether it is served or not.
struct ShareOffer {
    ShareKey key;
    double weight = 1;
    double work = 0; ///< Typical time at the target, in seconds.
    std::uint32_t upstreamFraction = kRankCount; ///< Ranks below this passed all upstream nodes.
};

/// Records an offered call. Ranks are evenly distributed, so it represents kRankCount / upstreamFraction
/// calls (Horvitz and Thompson, 1952). The demand is therefore known even if most of it is refused upstream.
void recordOffer(ShareState& state, const ShareOffer& offer);

/// Adjusts the budget and divides it among classes and callers; call it once per window.
void allocateCapacity(ShareState& state, const ShareOptions& options, const ShareWindow& window);

/// Ranks below this are served; 0 to kRankCount.
std::uint32_t admittedFraction(const ShareState& state, const ShareKey& key);

} // namespace jackdawwall
