/// Bound on repeated arrivals at the targets of a service, kept by the node beside each target. In any window
///     repeats <= ratio x first arrivals + extra
/// over all targets of the service, as each node keeps its share of `extra` and its own ratio.
#pragma once

#include "absl/time/time.h"

#include <cstddef>
#include <deque>

namespace jackdawwall {

struct ArrivalBudgetOptions {
    double retryRatio = 0.1; ///< Repeats per first arrival.
    double extraRetries = 10; ///< Repeats per window beside the ratio, over all targets of the service.
    absl::Duration window = absl::Seconds(10);
    double safetyFactor
        = 0.7; ///< Share of the bound that is used; the rest covers nodes that restart and forget.
};

/// Arrivals of the last window.
struct ArrivalBudget {
    std::deque<absl::Time> firstArrivals;
    std::deque<absl::Time> retryArrivals;
};

/// Notes the first arrival of a request.
void recordFirstArrival(ArrivalBudget& budget, const ArrivalBudgetOptions& options, absl::Time now);

/// Takes a repeat; false when it would break the share of a node among `targets` of the service.
[[nodiscard]] bool tryAcquireRetryArrival(
    ArrivalBudget& budget, const ArrivalBudgetOptions& options, std::size_t targets, absl::Time now);

} // namespace jackdawwall
