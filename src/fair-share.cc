#include "jackdawwall/fair-share.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace jackdawwall {
namespace {

constexpr double kDemandWeight = 0.3;
constexpr double kMinimumDemandWeight = 0.05;
constexpr int kSufficientArrivals = 10;
constexpr double kOverloadWaitTargets = 2;
constexpr double kCriticalClassHeadroom = 1.3;
constexpr double kBudgetStep = 0.1;
constexpr double kMinimumBudgetRatio = 0.5;
constexpr double kMaximumBudgetRatio = 1.3;
constexpr double kSpareCapacityBudgetStep = 0.25;
constexpr double kMaximumSpareCapacityBudgetRatio = 4;
constexpr int kMaximumIdleWindows = 50;
constexpr std::size_t kMaximumDemands = 8192;
constexpr std::uint32_t kMinimumFractionStep = 8;

/// Windows with few arrivals have less weight in the estimate.
double smoothingWeight(int arrivals)
{
    const double confidence = std::min(1.0, static_cast<double>(arrivals) / kSufficientArrivals);
    return std::max(kMinimumDemandWeight, kDemandWeight * confidence);
}

void updateDemand(ShareDemand& demand, double seconds)
{
    demand.idleWindows = demand.arrivals > 0 ? 0 : demand.idleWindows + 1;
    demand.demand += smoothingWeight(demand.arrivals) * (demand.offeredWork / seconds - demand.demand);
    demand.offeredWork = 0;
    demand.arrivals = 0;
}

void updateDemands(ShareState& state, double seconds)
{
    for (auto& [key, demand] : state.demands)
        updateDemand(demand, seconds);
    absl::erase_if(
        state.demands, [](const auto& item) { return item.second.idleWindows > kMaximumIdleWindows; });
}

void adjustBudget(ShareState& state, const ShareWindow& window)
{
    const double waitRatio = absl::FDivDuration(window.wait, window.waitTarget);
    const double maximumRatio
        = window.hasSpareCapacity ? kMaximumSpareCapacityBudgetRatio : kMaximumBudgetRatio;
    const double step = window.hasSpareCapacity || state.budgetRatio > kMaximumBudgetRatio
        ? kSpareCapacityBudgetStep
        : kBudgetStep;
    const double correction = std::clamp(1 - waitRatio, -1.0, 1.0) * step;
    state.budgetRatio = std::clamp(
        state.budgetRatio * (1 + correction), kMinimumBudgetRatio, std::max(maximumRatio, state.budgetRatio));
    state.budget = state.budgetRatio * window.capacity;
}

/// Max-min fair share: the largest work per unit of weight for which all demands, capped at it, fit the
/// budget.
double fairShareLevel(std::vector<const ShareDemand*>& demands, double budget)
{
    std::sort(demands.begin(), demands.end(), [](const ShareDemand* left, const ShareDemand* right) {
        return left->demand / left->weight < right->demand / right->weight;
    });
    double remainingWeight = 0;
    for (const ShareDemand* demand : demands)
        remainingWeight += demand->weight;
    for (const ShareDemand* demand : demands) {
        const double level = budget / remainingWeight;
        if (demand->demand / demand->weight > level)
            return level;
        budget -= demand->demand;
        remainingWeight -= demand->weight;
    }
    return std::numeric_limits<double>::infinity();
}

std::uint32_t nextFraction(const ShareDemand& demand, double level)
{
    const double granted = level * demand.weight;
    const double targetFraction
        = granted >= demand.demand ? kRankCount : kRankCount * granted / demand.demand;
    return std::min(
        maximumNextFraction(demand.fraction), static_cast<std::uint32_t>(std::lround(targetFraction)));
}

double allocateClass(ShareState& state, Priority priority, double budget)
{
    std::vector<const ShareDemand*> demands;
    for (const auto& [key, demand] : state.demands) {
        if (key.priority == priority && demand.demand > 0)
            demands.push_back(&demand);
    }
    const double level = fairShareLevel(demands, budget);
    double granted = 0;
    for (auto& [key, demand] : state.demands) {
        if (key.priority != priority)
            continue;
        demand.fraction = nextFraction(demand, level);
        granted += std::min(demand.demand, level * demand.weight);
    }
    return std::max(0.0, budget - granted);
}

void allocateAllClasses(ShareState& state)
{
    // Estimates are inexact, so the critical class is refused here only if it clearly exceeds the budget;
    // otherwise the queue decides.
    const double criticalBudget = state.budget * kCriticalClassHeadroom;
    const double criticalWork = criticalBudget - allocateClass(state, Priority::Critical, criticalBudget);
    double budget = std::max(0.0, state.budget - criticalWork);
    for (std::size_t index = 1; index < kPriorityCount; ++index)
        budget = allocateClass(state, static_cast<Priority>(index), budget);
}

void admitAll(ShareState& state)
{
    state.isOverloaded = false;
    state.budget = std::numeric_limits<double>::infinity();
    state.budgetRatio = 1;
    for (auto& [key, demand] : state.demands)
        demand.fraction = kRankCount;
}

bool isEveryCallerAdmitted(const ShareState& state)
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
    return std::min(kRankCount, fraction + std::max(kMinimumFractionStep, fraction / 2));
}

void recordOffer(ShareState& state, const ShareOffer& offer)
{
    if (state.demands.size() >= kMaximumDemands && !state.demands.contains(offer.key))
        return;
    ShareDemand& demand = state.demands[offer.key];
    demand.weight = std::max(offer.weight, 0.01);
    demand.offeredWork += offer.work * kRankCount / std::max(offer.upstreamFraction, kProbeRanks);
    ++demand.arrivals;
}

void allocateCapacity(ShareState& state, const ShareOptions& options, const ShareWindow& window)
{
    updateDemands(state, absl::ToDoubleSeconds(window.length));
    if (window.wait > kOverloadWaitTargets * window.waitTarget)
        state.isOverloaded = true;
    if (!state.isOverloaded)
        return;
    adjustBudget(state, window);
    allocateAllClasses(state);
    const bool isUncongested = isEveryCallerAdmitted(state) && window.wait < window.waitTarget;
    state.uncongestedCount = isUncongested ? state.uncongestedCount + 1 : 0;
    if (state.uncongestedCount >= options.uncongestedWindows)
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
