/// Waiting calls of one priority class, by customer. Orders them by virtual start time (start-time fair
/// queueing: Goyal, Vin and Cheng, SIGCOMM 1996) and finds the customer with most waiting work, whose newest
/// calls are refused when the queue is too long (longest queue drop, as in stochastic fairness queueing:
/// McKenney, INFOCOM 1990). The start time is the virtual finish time of the customer's previous call. An
/// order by the finish time of the call itself would delay long calls beyond the longest useful wait.
/// Memory is bounded by the number of waiting calls and of customers that were served recently.
#pragma once

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

namespace jackdawwall {

/// Number of calls that a customer may start ahead of its fair share after a pause. One call would refuse
/// part of the demand of a customer with few long calls although it is below its share.
inline constexpr double kBurstCalls = 3;

/// A call in the queue of a class. Work is measured in seconds of expected time at the target.
struct QueuedWork {
    std::uint64_t customer = 0;
    double weight = 1;
    double seconds = 0;
    bool isLong = false;
    std::uint64_t id = 0; ///< CallId.
};

/// A customer with waiting calls, or one whose recent calls still delay its next one.
struct CustomerCalls {
    double weight = 1; ///< Of the newest call.
    double seconds = 0; ///< Of the waiting calls.
    std::size_t runningCount = 0; ///< Calls that were started from the queue and have not ended.
    std::size_t longCount = 0; ///< Waiting calls of long kinds.
    double finishTag = 0; ///< Virtual finish time of the newest call that was not refused.
    double credit = 0; ///< Virtual time by which `finishTag` may be in the past, see startTagOf().
    absl::btree_set<std::pair<double, std::uint64_t>> byTag; ///< Virtual start time and id.
};

struct ClassQueue {
    double virtualTime = 0; ///< Latest virtual start time of a call that was started.
    double seconds = 0; ///< Of all waiting calls.
    double weight = 0; ///< Of all customers with waiting calls.
    std::size_t longCustomers = 0; ///< Customers with waiting calls of long kinds.
    absl::flat_hash_map<std::uint64_t, CustomerCalls> customers; ///< By OfferedCall::caller.
    /// Customers with waiting calls: waiting seconds over weight, and the customer.
    absl::btree_set<std::pair<double, std::uint64_t>> byLoad;
    double windowVirtualTime = 0; ///< Virtual time at the start of the window.
    bool hasBeenEmpty = true; ///< In this window.
    double speed = 0; ///< Virtual time per second while calls wait, smoothed; 0: not known.
};

/// Virtual start time of a call that is added now: the finish time of the customer's previous call, but at
/// most `kBurstCalls` calls in the past. A customer below its share may therefore send a few calls at once.
double startTagOf(const ClassQueue& queue, const QueuedWork& work);

void addCall(ClassQueue& queue, const QueuedWork& work, double startTag);

/// Removes a call that was added with the same arguments and is started.
void removeStarted(ClassQueue& queue, const QueuedWork& work, double startTag);

/// Ends a call that was started from the queue after `seconds` of work. The customer is charged this time
/// instead of the expected one, which is that of the work kind: other customers may use the same kind for
/// shorter calls, and it is learned slowly.
void recordEnd(ClassQueue& queue, const QueuedWork& work, double seconds);

/// Removes a call that was added with the same arguments and does not run: the customer isn't charged for it.
void removeRefused(ClassQueue& queue, const QueuedWork& work, double startTag);

/// Measures the speed of the virtual time and removes customers without effect; call it once per window.
void endWindow(ClassQueue& queue, absl::Duration length);

/// Waiting seconds of the customer over its weight; 0 without waiting calls.
double waitingLoad(const ClassQueue& queue, std::uint64_t customer);

/// Newest call of the customer with most waiting work by weight, if this is at least `load`.
std::optional<std::uint64_t> newestCallOfLargest(const ClassQueue& queue, double load);

/// Seconds of work that start before a new call of the customer, of the calls that wait now.
double workAhead(const ClassQueue& queue, std::uint64_t customer);

/// Time until a new call of the customer would start, by the speed at which the queue was served in the
/// recent windows. It includes calls that will arrive later and start earlier. Zero if the speed is not
/// known.
absl::Duration measuredWait(const ClassQueue& queue, const QueuedWork& work);

} // namespace jackdawwall
