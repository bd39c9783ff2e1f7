/// Attributes a call that the local target makes to the run that it is made for, where targets pass no token
/// on: such a call expires at the time limit of its run. Each run is given a time limit that differs from the
/// limits of the other runs in progress, so the limit of a call identifies its run. Calls with a shorter
/// limit of their own stay without a parent.
///
/// Answers the pattern "nested calls lose the class of their request": nested calls of bookings and of reads
/// meet at a deep service under the class of the same route.
#pragma once

#include "jackdawwall/core.h"

#include "absl/container/btree_map.h"
#include "absl/time/time.h"

#include <optional>
#include <string>

namespace jackdawwall {

/// What the nested calls of a run inherit.
struct ParentRun {
    Priority priority = Priority::Browse;
    std::string customer; ///< Empty without one.
};

/// Runs in progress at the local target by their time limit.
struct ParentRuns {
    absl::btree_map<absl::Time, ParentRun> byLimit;
};

/// Registers a run and returns its time limit: `desired` or slightly earlier. The limit is a whole number of
/// milliseconds after `now`, as targets are given it in that unit. Empty if too many runs have nearly the
/// same limit.
std::optional<absl::Time> addRun(ParentRuns& runs, absl::Time desired, ParentRun run, absl::Time now);

/// Removes a run that ended.
void removeRun(ParentRuns& runs, absl::Time limit);

/// Time that a request of a run and its nested call may spend in transit together.
inline constexpr absl::Duration kMaxNestedTransit = absl::Milliseconds(6);
/// The same on a loaded instance, where a process may wait this long for the processor. Used where a call
/// that is not recognized as nested would be refused.
inline constexpr absl::Duration kMaxLoadedTransit = absl::Milliseconds(250);

/// True if a call with this time limit may belong to a run in progress: it does not outlive all of them by
/// more than `maxTransit`.
bool mayHaveParent(const ParentRuns& runs, absl::Time limit, absl::Duration maxTransit = kMaxNestedTransit);

/// The run that a call with this time limit belongs to; null if there is none. Valid until the runs change.
const ParentRun* findParentRun(const ParentRuns& runs, absl::Time limit);

} // namespace jackdawwall
