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
/// Remote targets are tried for reports from this share of the remote cost on, so that free slots are known
/// when the wait reaches the cost.
constexpr double kScoutShare = 0.5;
/// Largest share of a remote target's free slots that one node claims until the next report.
constexpr double kClaimedShare = 0.25;

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

/// Chooses by expected completion (Balance::Speed).
class SpeedChoice {
public:
    SpeedChoice(const RoutingState& state, absl::Span<const Candidate> candidates, Generator& generator,
        absl::Time now)
        : state_(state)
        , candidates_(candidates)
        , generator_(generator)
        , now_(now)
        , beliefs_(believedLoads(state, candidates, now))
    {
    }

    int pick(const std::vector<int>& choices, std::uint64_t bodyBytes)
    {
        std::vector<int> local;
        std::vector<int> remote;
        for (const int choice : choices)
            (candidates_[static_cast<std::size_t>(choice)].isLocal ? local : remote).push_back(choice);
        if (local.empty())
            return betterOfTwo(remote);
        int best = betterOfTwo(local);
        const double remoteCost = remoteCostSeconds(state_.options, bodyBytes);
        if (remote.empty() || expectedWaitSeconds(belief(best)) <= remoteCost * kScoutShare)
            return best;
        // The two were unlucky choices if another local target has a shorter queue.
        std::erase_if(
            local, [&](int index) { return expectedWaitSeconds(belief(index)) > remoteCost * kScoutShare; });
        if (!local.empty())
            return betterOfTwo(local);
        const int other = pickRemote(remote);
        const bool isTrial = other >= 0 && !belief(other).isFresh;
        if (!isTrial && expectedWaitSeconds(belief(best)) <= remoteCost)
            return best;
        const bool isRemoteBetter = other >= 0
            && (isTrial
                || expectedCompletionSeconds(belief(other)) + remoteCost
                    < expectedCompletionSeconds(belief(best)));
        return isRemoteBetter ? other : best;
    }

private:
    const TargetBelief& belief(int index) const { return beliefs_[static_cast<std::size_t>(index)]; }

    /// One of the choices at random, in proportion to the weights.
    int sample(const std::vector<int>& choices)
    {
        double sum = 0;
        for (const int choice : choices)
            sum += belief(choice).weight;
        double left = sum * static_cast<double>(generator_() >> 11U) * 0x1p-53;
        for (const int choice : choices) {
            left -= belief(choice).weight;
            if (left < 0)
                return choice;
        }
        return choices.back();
    }

    int betterOfTwo(std::vector<int> choices)
    {
        const int first = sample(choices);
        if (choices.size() == 1)
            return first;
        std::erase(choices, first);
        const int second = sample(choices);
        return expectedCompletionSeconds(belief(first)) <= expectedCompletionSeconds(belief(second)) ? first
                                                                                                     : second;
    }

    /// A remote target that is known to have room, else one to be tried; -1 when there is neither.
    int pickRemote(const std::vector<int>& remote)
    {
        std::vector<int> roomy;
        std::vector<int> untried;
        for (const int index : remote) {
            const TargetView* view
                = findTargetView(state_, candidates_[static_cast<std::size_t>(index)].address);
            if (belief(index).isFresh && hasUnclaimedRoom(belief(index), *view))
                roomy.push_back(index);
            const bool isTrialDue = view == nullptr
                || (view->inFlight == 0 && now_ - view->load.startedAt >= state_.options.remoteTrialInterval);
            if (!belief(index).isFresh && isTrialDue)
                untried.push_back(index);
        }
        if (!roomy.empty())
            return betterOfTwo(std::move(roomy));
        return untried.empty() ? -1 : untried[generator_() % untried.size()];
    }

    /// True if the slots reported free are not yet used up by what this node sent since. A node takes only a
    /// part of them until the next report, because other nodes saw the same report.
    static bool hasUnclaimedRoom(const TargetBelief& belief, const TargetView& view)
    {
        const double free = belief.slots - belief.occupied;
        return hasRoom(belief) && view.load.startsSinceReport < std::max(1.0, free * kClaimedShare);
    }

    const RoutingState& state_;
    absl::Span<const Candidate> candidates_;
    Generator& generator_;
    absl::Time now_;
    std::vector<TargetBelief> beliefs_;
};

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
    if (state.options.balance == Balance::Speed)
        return SpeedChoice(state, candidates, generator, now).pick(choices, request.bodyBytes);
    const auto [left, right] = sampleTwo(candidates, choices, generator);
    const double remoteCost = remoteCostSeconds(state.options, request.bodyBytes);
    const auto expectedSeconds = [&](int index) {
        return expectedCallSeconds(state, candidates[static_cast<std::size_t>(index)], remoteCost, now);
    };
    const double leftSeconds = expectedSeconds(left);
    const double rightSeconds = expectedSeconds(right);
    return leftSeconds <= rightSeconds ? left : right;
}

bool isAvoided(const RoutingState& state, const std::string& address, absl::Time now)
{
    const TargetView* view = findTargetView(state, address);
    return view != nullptr && now < view->avoidUntil;
}

void avoidTarget(RoutingState& state, const std::string& address, absl::Time until)
{
    absl::Time& avoidUntil = state.targets[address].avoidUntil;
    avoidUntil = std::max(avoidUntil, until);
}

std::vector<TargetBelief> believedLoads(
    const RoutingState& state, absl::Span<const Candidate> candidates, absl::Time now)
{
    FleetMean mean;
    int known = 0;
    for (const Candidate& candidate : candidates) {
        const TargetView* view = findTargetView(state, candidate.address);
        if (view == nullptr || view->load.callSeconds == 0)
            continue;
        ++known;
        mean.callSeconds += (view->load.callSeconds - mean.callSeconds) / known;
        mean.slots += (view->load.last.limit - mean.slots) / known;
    }
    std::vector<TargetBelief> beliefs;
    beliefs.reserve(candidates.size());
    const TargetView unseen;
    for (const Candidate& candidate : candidates) {
        const TargetView* view = findTargetView(state, candidate.address);
        const TargetView& seen = view == nullptr ? unseen : *view;
        beliefs.push_back(believe(seen.load, state.options.load, mean, seen.inFlight, seen.latency, now));
    }
    return beliefs;
}

void recordAttemptStart(RoutingState& state, const std::string& address, absl::Time now)
{
    TargetView& view = state.targets[address];
    recordLoadStart(view.load, view.inFlight, now);
    ++view.inFlight;
}

void recordAttemptEnd(
    RoutingState& state, const std::string& address, const AttemptObservation& observation, absl::Time now)
{
    TargetView& view = state.targets[address];
    view.inFlight = std::max(0, view.inFlight - 1);
    view.waiting = observation.waiting;
    recordLoadEnd(view.load, now);
    if (observation.load)
        recordLoadReport(
            view.load, state.options.load, *observation.load, view.inFlight, observation.latency, now);
    if (observation.isTargetAtFault)
        avoidTarget(state, address, now + state.options.failureBackoff);
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
