#include "jackdawwall/fair-share.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace jackdawwall {
namespace {

constexpr double kDemandWeight = 0.3;
constexpr double kLeastDemandWeight = 0.05;
constexpr int kEnoughArrivals = 10;
constexpr double kBeginWaitTargets = 2;
constexpr double kFirstClassHeadroom = 1.3;
constexpr double kFillStep = 0.1;
constexpr double kLeastFill = 0.5;
constexpr double kMostFill = 1.3;
constexpr double kIdleFillStep = 0.25;
constexpr double kMostIdleFill = 4;
constexpr int kForgetAfterWindows = 50;
constexpr std::size_t kMaximumDemands = 8192;
constexpr std::uint32_t kSmallestRise = 8;

/// Windows with few arrivals move the estimate less.
double smoothing(int arrivals)
{
    const double trust = std::min(1.0, static_cast<double>(arrivals) / kEnoughArrivals);
    return std::max(kLeastDemandWeight, kDemandWeight * trust);
}

void updateDemand(ShareDemand& demand, double seconds)
{
    demand.idleWindows = demand.arrivals > 0 ? 0 : demand.idleWindows + 1;
    demand.demand += smoothing(demand.arrivals) * (demand.offered / seconds - demand.demand);
    demand.offered = 0;
    demand.arrivals = 0;
}

void updateDemands(ShareState& state, double seconds)
{
    for (auto& [key, demand] : state.demands)
        updateDemand(demand, seconds);
    absl::erase_if(
        state.demands, [](const auto& item) { return item.second.idleWindows > kForgetAfterWindows; });
}

void moveBudget(ShareState& state, const ShareWindow& window)
{
    const double waitRatio = absl::FDivDuration(window.wait, window.waitTarget);
    const double most = window.isIdle ? kMostIdleFill : kMostFill;
    const double step = window.isIdle || state.fill > kMostFill ? kIdleFillStep : kFillStep;
    const double correction = std::clamp(1 - waitRatio, -1.0, 1.0) * step;
    state.fill = std::clamp(state.fill * (1 + correction), kLeastFill, std::max(most, state.fill));
    state.budget = state.fill * window.capacity;
}

/// Largest amount of work per unit of weight such that the callers' demands capped at it fit the budget.
double fillLevel(std::vector<const ShareDemand*>& demands, double budget)
{
    std::sort(demands.begin(), demands.end(), [](const ShareDemand* left, const ShareDemand* right) {
        return left->demand / left->weight < right->demand / right->weight;
    });
    double weightLeft = 0;
    for (const ShareDemand* demand : demands)
        weightLeft += demand->weight;
    for (const ShareDemand* demand : demands) {
        const double level = budget / weightLeft;
        if (demand->demand / demand->weight > level)
            return level;
        budget -= demand->demand;
        weightLeft -= demand->weight;
    }
    return std::numeric_limits<double>::infinity();
}

std::uint32_t toFraction(const ShareDemand& demand, double level)
{
    const double granted = level * demand.weight;
    const double wanted = granted >= demand.demand ? kRankCount : kRankCount * granted / demand.demand;
    return std::min(maximumNextFraction(demand.fraction), static_cast<std::uint32_t>(std::lround(wanted)));
}

double divideClass(ShareState& state, Priority priority, double budget)
{
    std::vector<const ShareDemand*> demands;
    for (const auto& [key, demand] : state.demands) {
        if (key.priority == priority && demand.demand > 0)
            demands.push_back(&demand);
    }
    const double level = fillLevel(demands, budget);
    double granted = 0;
    for (auto& [key, demand] : state.demands) {
        if (key.priority != priority)
            continue;
        demand.fraction = toFraction(demand, level);
        granted += std::min(demand.demand, level * demand.weight);
    }
    return std::max(0.0, budget - granted);
}

void divideAll(ShareState& state)
{
    // The first class is refused by estimate only when it clearly does not fit; the queue decides the rest.
    const double kept = state.budget * kFirstClassHeadroom;
    const double used = kept - divideClass(state, Priority::Critical, kept);
    double budget = std::max(0.0, state.budget - used);
    for (std::size_t index = 1; index < kPriorityCount; ++index)
        budget = divideClass(state, static_cast<Priority>(index), budget);
}

void admitAll(ShareState& state)
{
    state.isOverloaded = false;
    state.budget = std::numeric_limits<double>::infinity();
    state.fill = 1;
    for (auto& [key, demand] : state.demands)
        demand.fraction = kRankCount;
}

bool isEveryoneAdmitted(const ShareState& state)
{
    return std::all_of(state.demands.begin(), state.demands.end(),
        [](const auto& item) { return item.second.fraction == kRankCount; });
}

} // namespace

std::uint32_t forwardedFraction(std::uint32_t fraction)
{
    return std::max(fraction, kProbeRanks);
}

std::uint32_t maximumNextFraction(std::uint32_t fraction)
{
    return std::min(kRankCount, fraction + std::max(kSmallestRise, fraction / 2));
}

void recordOffer(ShareState& state, const ShareOffer& offer)
{
    if (state.demands.size() >= kMaximumDemands && !state.demands.contains(offer.key))
        return;
    ShareDemand& demand = state.demands[offer.key];
    demand.weight = std::max(offer.weight, 0.01);
    demand.offered += offer.work * kRankCount / std::max(offer.upstreamFraction, kProbeRanks);
    ++demand.arrivals;
}

void allocateCapacity(ShareState& state, const ShareOptions& options, const ShareWindow& window)
{
    updateDemands(state, absl::ToDoubleSeconds(window.length));
    if (window.wait > kBeginWaitTargets * window.waitTarget)
        state.isOverloaded = true;
    if (!state.isOverloaded)
        return;
    moveBudget(state, window);
    divideAll(state);
    const bool isCalm = isEveryoneAdmitted(state) && window.wait < window.waitTarget;
    state.calm = isCalm ? state.calm + 1 : 0;
    if (state.calm >= options.calmWindows)
        admitAll(state);
}

std::uint32_t admittedFraction(const ShareState& state, const ShareKey& key)
{
    const auto found = state.demands.find(key);
    if (found == state.demands.end())
        return kRankCount;
    return found->second.fraction;
}

} // namespace jackdawwall
