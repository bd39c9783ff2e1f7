/// Divides the capacity of one target between classes and callers. Classes are served in order; inside a
/// class the callers share by weight (max-min fairness). The result is a fraction of ranks for each caller
/// and class: a request is served when its rank lies below it. As the rank is the same at each hop and the
/// fraction travels back on answers, the first hop refuses what a deep one would refuse.
#pragma once

#include "jackdawwall/core.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstdint>
#include <limits>

namespace jackdawwall {

/// One caller's work of one class.
struct ShareKey {
    Priority priority = Priority::Bulk;
    std::uint64_t caller = 0; ///< stableHash of the caller's name.

    friend bool operator==(const ShareKey&, const ShareKey&) = default;
    template <typename H> friend H AbslHashValue(H state, const ShareKey& key)
    {
        return H::combine(std::move(state), key.priority, key.caller);
    }
};

/// Offered work of one key; work is in seconds of target time in its usual state.
struct ShareDemand {
    double weight = 1;
    double offeredWork = 0; ///< This window, with what nodes upstream refused.
    int arrivals = 0; ///< This window.
    double demand = 0; ///< Smoothed, per second, before any refusal.
    std::uint32_t fraction = kRankCount;
    int idleWindows = 0;
};

/// How far the calls wait for the target.
struct ShareOptions {
    int uncongestedWindows = 10; ///< Windows without waiting before division ends.
};

struct ShareState {
    absl::flat_hash_map<ShareKey, ShareDemand> demands;
    bool isOverloaded = false;
    double budget = std::numeric_limits<double>::infinity(); ///< Work per second.
    double budgetRatio = 1; ///< Budget over capacity; moves with the wait.
    int uncongestedCount = 0;
};

/// State of the target at the end of a window.
struct ShareWindow {
    absl::Duration length;
    double capacity = 0; ///< Usual work per second: by Little's law, the calls that may be in the target over
                         ///< its slowness.
    bool hasSpareCapacity = false; ///< The limit was not reached: there is room.
    absl::Duration wait; ///< Mean wait of the calls that started or are still waiting.
    absl::Duration waitTarget; ///< Wait that is kept while capacity is divided.
};

/// Ranks that nodes upstream always forward, so that a target that refuses all still learns the demand and
/// its callers still learn when that is over.
inline constexpr std::uint32_t kProbeRanks = 1;

/// Ranks below this are forwarded by nodes upstream that know `fraction`.
std::uint32_t forwardedFraction(std::uint32_t fraction);

/// Largest fraction that may follow `fraction` one window later: opening in steps sends no crowd.
std::uint32_t maximumNextFraction(std::uint32_t fraction);

/// A call offered to the target, whether it is served or not.
struct ShareOffer {
    ShareKey key;
    double weight = 1;
    double work = 0; ///< Seconds of target time in its usual state.
    std::uint32_t upstreamFraction = kRankCount; ///< Ranks below this came through all nodes upstream.
};

/// Notes an offered call. It stands for kRankCount / keptFraction calls, since ranks are spread evenly
/// (Horvitz and Thompson, 1952); so the demand is known although most of it is refused upstream.
void recordOffer(ShareState& state, const ShareOffer& offer);

/// Moves the budget and divides it anew; call it once a window.
void allocateCapacity(ShareState& state, const ShareOptions& options, const ShareWindow& window);

/// Ranks below this are served, 0 to kRankCount.
std::uint32_t admittedFraction(const ShareState& state, const ShareKey& key);

} // namespace jackdawwall
