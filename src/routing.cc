#include "jackdawwall/routing.h"

#include "absl/strings/string_view.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdawwall {
namespace {

constexpr double kLatencyWeight = 0.2;
constexpr double kLevelWeight = 0.25;
constexpr double kMinimumLatencySeconds = 0.001;
constexpr std::size_t kMaximumLevels = 16384;
constexpr double kMegabyte = 1 << 20;

struct HashedMember {
    std::uint64_t hash = 0;
    std::size_t index = 0;
    bool isRemote = false;
};

bool isExcluded(absl::Span<const std::string> excluded, const std::string& address)
{
    return std::find(excluded.begin(), excluded.end(), address) != excluded.end();
}

const TargetView* findTargetView(const RoutingState& state, const std::string& address)
{
    const auto found = state.targets.find(address);
    return found == state.targets.end() ? nullptr : &found->second;
}

bool isAvoided(const RoutingState& state, const std::string& address, absl::Time now)
{
    const TargetView* view = findTargetView(state, address);
    return view != nullptr && now < view->avoidUntil;
}

std::vector<int> usableCandidates(const RoutingState& state, absl::Span<const Candidate> candidates,
    absl::Span<const std::string> excluded, absl::Time now)
{
    std::vector<int> preferred;
    std::vector<int> avoided;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (isExcluded(excluded, candidates[index].address))
            continue;
        auto& list = isAvoided(state, candidates[index].address, now) ? avoided : preferred;
        list.push_back(static_cast<int>(index));
    }
    return preferred.empty() ? avoided : preferred;
}

double decayedLatency(const RoutingState& state, const TargetView& view, absl::Time now)
{
    if (view.latency == 0)
        return kMinimumLatencySeconds;
    const double halfLives = absl::FDivDuration(now - view.latencyAt, state.options.latencyHalfLife);
    return std::max(kMinimumLatencySeconds, view.latency * std::exp2(-std::max(0.0, halfLives)));
}

/// Cost of using a target in another data centre, in seconds.
double remoteCostSeconds(const RoutingOptions& options, std::uint64_t bodyBytes)
{
    const double megabytes = static_cast<double>(bodyBytes) / kMegabyte;
    return absl::ToDoubleSeconds(options.remoteCost)
        + megabytes * absl::ToDoubleSeconds(options.remoteCostPerMegabyte);
}

/// Expected duration of an additional call, in seconds; `remoteCost` is added for a remote target.
double expectedCallSeconds(
    const RoutingState& state, const Candidate& candidate, double remoteCost, absl::Time now)
{
    const double penalty = candidate.isLocal ? 0 : remoteCost;
    const TargetView* view = findTargetView(state, candidate.address);
    if (view == nullptr)
        return kMinimumLatencySeconds + penalty;
    const double load = 1 + view->inFlight + view->waiting;
    return load * decayedLatency(state, *view, now) + penalty;
}

/// Returns two of the choices at random: one local and one remote target if there are both, so that a local
/// target is always considered.
std::pair<int, int> sampleTwo(
    absl::Span<const Candidate> candidates, const std::vector<int>& choices, Generator& generator)
{
    std::vector<int> local;
    std::vector<int> remote;
    for (const int choice : choices)
        (candidates[static_cast<std::size_t>(choice)].isLocal ? local : remote).push_back(choice);
    if (!local.empty() && !remote.empty())
        return { local[generator() % local.size()], remote[generator() % remote.size()] };
    const std::size_t first = generator() % choices.size();
    const std::size_t offset = 1 + generator() % (choices.size() - 1);
    return { choices[first], choices[(first + offset) % choices.size()] };
}

} // namespace

std::vector<Candidate> chooseSubset(
    absl::Span<const Candidate> members, absl::string_view self, std::size_t size)
{
    std::vector<HashedMember> order;
    const std::uint64_t selfHash = stableHash(self);
    for (std::size_t index = 0; index < members.size(); ++index) {
        const std::uint64_t hash = mixBits(selfHash ^ stableHash(members[index].address));
        order.push_back({ hash, index, !members[index].isLocal });
    }
    std::sort(order.begin(), order.end(), [](const HashedMember& left, const HashedMember& right) {
        return std::tie(left.isRemote, left.hash) < std::tie(right.isRemote, right.hash);
    });
    std::vector<Candidate> subset;
    for (std::size_t index = 0; index < std::min(size, order.size()); ++index)
        subset.push_back(members[order[index].index]);
    return subset;
}

int pickTarget(const RoutingState& state, absl::Span<const Candidate> candidates,
    const RoutingRequest& request, Generator& generator, absl::Time now)
{
    const std::vector<int> choices = usableCandidates(state, candidates, request.excluded, now);
    if (choices.empty())
        return -1;
    if (choices.size() == 1)
        return choices.front();
    const auto [left, right] = sampleTwo(candidates, choices, generator);
    const double remoteCost = remoteCostSeconds(state.options, request.bodyBytes);
    const auto expectedSeconds = [&](int index) {
        return expectedCallSeconds(state, candidates[static_cast<std::size_t>(index)], remoteCost, now);
    };
    const double leftSeconds = expectedSeconds(left);
    const double rightSeconds = expectedSeconds(right);
    return leftSeconds <= rightSeconds ? left : right;
}

void recordAttemptStart(RoutingState& state, const std::string& address)
{
    ++state.targets[address].inFlight;
}

void recordAttemptEnd(
    RoutingState& state, const std::string& address, const AttemptObservation& observation, absl::Time now)
{
    TargetView& view = state.targets[address];
    view.inFlight = std::max(0, view.inFlight - 1);
    view.waiting = observation.waiting;
    if (observation.isTargetAtFault)
        view.avoidUntil = now + state.options.failureBackoff;
    if (!observation.hasResponse)
        return;
    const double before = decayedLatency(state, view, now);
    const double seconds = absl::ToDoubleSeconds(observation.latency);
    view.latency = view.latency == 0 ? seconds : before + kLatencyWeight * (seconds - before);
    view.latencyAt = now;
}

void recordPathLevel(RoutingState& state, const PathKey& key, std::uint32_t fraction, absl::Time now)
{
    const bool isKnown = state.levels.contains(key);
    if (!isKnown && (fraction >= kRankCount || state.levels.size() >= kMaximumLevels))
        return;
    PathLevel& level = state.levels[key];
    level.fraction += kLevelWeight * (fraction - level.fraction);
    level.updatedAt = now;
    if (level.fraction >= kRankCount - 1)
        state.levels.erase(key);
}

std::uint32_t pathLevel(const RoutingState& state, const PathKey& key, absl::Time now)
{
    const auto found = state.levels.find(key);
    if (found == state.levels.end())
        return kRankCount;
    std::uint32_t fraction = forwardedFraction(static_cast<std::uint32_t>(found->second.fraction));
    absl::Duration timeWithoutUpdate = now - found->second.updatedAt - state.options.levelHoldTime;
    while (timeWithoutUpdate > absl::ZeroDuration() && fraction < kRankCount) {
        fraction = maximumNextFraction(fraction);
        timeWithoutUpdate -= state.options.levelStep;
    }
    return fraction;
}

} // namespace jackdawwall
