#include "jackdawwall/parent-run.h"

#include <iterator>
#include <utility>

namespace jackdawwall {
namespace {

/// The limit of a nested call lies between these distances from that of its run: it is rounded down to
/// milliseconds, and is extended by the time that the request and the call are in transit.
constexpr absl::Duration kMaxRounding = absl::Milliseconds(2);
/// Sum of both, so that the ranges of two runs do not overlap.
constexpr absl::Duration kSpacing = absl::Milliseconds(8);
/// Largest reduction of a run's time limit.
constexpr absl::Duration kMaxReduction = absl::Milliseconds(100);

} // namespace

std::optional<absl::Time> addRun(ParentRuns& runs, absl::Time desired, ParentRun run, absl::Time now)
{
    const absl::Time earliest = desired - kMaxReduction;
    absl::Time limit = now + absl::Floor(desired - now, absl::Milliseconds(1));
    while (limit > earliest) {
        const auto next = runs.byLimit.upper_bound(limit - kSpacing);
        if (next == runs.byLimit.end() || next->first >= limit + kSpacing) {
            runs.byLimit.emplace(limit, std::move(run));
            return limit;
        }
        limit = now + absl::Floor(next->first - kSpacing - now, absl::Milliseconds(1));
    }
    return std::nullopt;
}

void removeRun(ParentRuns& runs, absl::Time limit)
{
    runs.byLimit.erase(limit);
}

bool mayHaveParent(const ParentRuns& runs, absl::Time limit, absl::Duration maxTransit)
{
    return !runs.byLimit.empty() && limit - runs.byLimit.rbegin()->first <= maxTransit;
}

const ParentRun* findParentRun(const ParentRuns& runs, absl::Time limit)
{
    auto after = runs.byLimit.upper_bound(limit + kMaxRounding);
    if (after == runs.byLimit.begin())
        return nullptr;
    const auto run = std::prev(after);
    if (limit - run->first > kMaxNestedTransit)
        return nullptr;
    return &run->second;
}

} // namespace jackdawwall
