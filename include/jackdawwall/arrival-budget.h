/// Bound on the retries that arrive at the targets of a service, enforced by the node next to each target. In
/// any window, over all targets of the service,
///     retry arrivals <= retryRatio * first arrivals + extraRetries
/// because each node applies the ratio to its own first arrivals and takes an equal share of `extraRetries`.
#pragma once

#include "absl/time/time.h"

#include <cstddef>
#include <deque>

namespace jackdawwall {

struct ArrivalBudgetOptions {
    double retryRatio = 0.1; ///< Retry arrivals per first arrival.
    double extraRetries = 10; ///< Additional retries per window, over all targets of the service.
    absl::Duration window = absl::Seconds(10);
    double safetyFactor = 0.7; ///< Share of the bound that is used; the rest covers nodes that lose their
                               ///< counts in a restart.
};

/// Times of the arrivals in the last window.
struct ArrivalBudget {
    std::deque<absl::Time> firstArrivals;
    std::deque<absl::Time> retryArrivals;
};

/// Records the first arrival of a request.
void recordFirstArrival(ArrivalBudget& budget, const ArrivalBudgetOptions& options, absl::Time now);

/// Records a retry arrival if the share of one node among `targets` permits it; false otherwise.
[[nodiscard]] bool tryAcquireRetryArrival(
    ArrivalBudget& budget, const ArrivalBudgetOptions& options, std::size_t targets, absl::Time now);

} // namespace jackdawwall
