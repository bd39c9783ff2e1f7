#include "jackdawwall/long-call-limit.h"

#include <algorithm>
#include <cmath>

namespace jackdawwall {
namespace {

/// Number of long calls that may be in progress. Reserves the expected concurrency of short calls and its
/// variation, as DARC does for each request type (Persephone, SOSP 2021).
int longCallLimit(const AdmissionState& state)
{
    const double limit = currentLimit(state.limit);
    const double expectedConcurrency = state.shortDemand * state.limit.recentSlowdown;
    const double desiredReserve
        = expectedConcurrency + state.options.reserveDeviations * std::sqrt(expectedConcurrency);
    const double reserve = std::clamp(
        desiredReserve, state.options.minimumReserve * limit, state.options.maximumReserve * limit);
    return std::max(1, static_cast<int>(limit - std::max(1.0, reserve)));
}

} // namespace

// Customers whose calls are long may also use the share of the limit that they have among the customers with
// waiting calls, and its variation; otherwise the reserve for short calls would deny them their fair share.
int longCallLimit(const AdmissionState& state, Priority priority)
{
    const ClassQueue& queue = state.classQueues.at(static_cast<std::size_t>(priority));
    if (!state.hasCustomers || queue.longCustomers == 0)
        return longCallLimit(state);
    const double limit = currentLimit(state.limit);
    const double expected
        = limit * static_cast<double>(queue.longCustomers) / static_cast<double>(queue.byLoad.size());
    const double desired = expected + state.options.reserveDeviations * std::sqrt(expected);
    const double maximum = (1 - state.options.minimumReserve) * limit;
    return std::max(longCallLimit(state), static_cast<int>(std::min(desired, maximum)));
}

} // namespace jackdawwall
