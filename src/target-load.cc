#include "jackdawwall/target-load.h"

#include <algorithm>
#include <cmath>

namespace jackdawwall {
namespace {

constexpr double kMinimumCallSeconds = 0.001;
constexpr double kMicrosecond = 1e-6;
/// Small, because callers that follow late reports together overload the same targets in turn: with reports
/// 500 ms late, 0.1 served less than the choice without reports.
constexpr double kOthersWeight = 0.02;
/// Smallest weight of a report, so that many reports at one time still count.
constexpr double kMinimumSpeedWeight = 0.05;
/// Targets slow down near full load: from this share of the slots on, a call is expected to take longer.
constexpr double kPressureStart = 0.85;
constexpr double kPressureRange = 0.1;
constexpr double kPressure = 0.3;
constexpr double kInverseSqrtTwoPi = 0.3989422804014327;
constexpr double kInverseSqrtTwo = 0.7071067811865476;

double halved(absl::Duration age, absl::Duration halfLife)
{
    return std::exp2(-std::max(0.0, absl::FDivDuration(age, halfLife)));
}

bool isKnown(const TargetLoad& load)
{
    return load.reports > 0 && load.callSeconds > 0 && load.last.limit > 0;
}

/// Upper bound of the age of a report on arrival.
absl::Duration reportAge(const GateLoad& report, absl::Duration latency)
{
    return std::max(absl::ZeroDuration(), latency - absl::Microseconds(report.heldMicroseconds));
}

double othersNow(const TargetLoad& load, const LoadOptions& options, absl::Time now)
{
    const absl::Duration age = now - load.reportedAt;
    const double expected
        = load.othersMean + (load.others - load.othersMean) * halved(age, options.loadHalfLife);
    return expected * halved(age - options.reportLifetime, options.reportLifetime);
}

} // namespace

void recordLoadStart(TargetLoad& load, int inFlight, absl::Time now)
{
    if (inFlight == 0)
        load.quietSince = now;
    load.startedAt = now;
    ++load.startsSinceReport;
}

void recordLoadEnd(TargetLoad& load, absl::Time now)
{
    load.quietSince = now;
}

void recordLoadReport(TargetLoad& load, const LoadOptions& options, const GateLoad& report, int inFlight,
    absl::Duration latency, absl::Time now)
{
    const bool wasFresh = isReportFresh(load, options, now);
    const absl::Duration age = now - load.reportedAt;
    load.reports = wasFresh ? std::min(load.reports + 1, options.warmReports) : 1;
    load.others
        = std::max(0.0, static_cast<double>(report.running) + report.waiting - static_cast<double>(inFlight));
    load.othersMean
        = wasFresh ? load.othersMean + kOthersWeight * (load.others - load.othersMean) : load.others;
    if (report.meanMicroseconds > 0) {
        const double seconds = report.meanMicroseconds * kMicrosecond;
        const double weight = std::max(kMinimumSpeedWeight,
            1 - std::exp(-std::max(0.0, absl::FDivDuration(age, options.speedSmoothing))));
        load.callSeconds = load.callSeconds == 0 || !wasFresh
            ? seconds
            : load.callSeconds + weight * (seconds - load.callSeconds);
    }
    load.last = report;
    load.reportedAt = std::max(load.reportedAt, now - reportAge(report, latency));
    load.startsSinceReport = 0;
}

bool isReportFresh(const TargetLoad& load, const LoadOptions& options, absl::Time now)
{
    return load.reports > 0 && now - load.reportedAt <= options.reportLifetime;
}

TargetBelief believe(const TargetLoad& load, const LoadOptions& options, const FleetMean& mean, int inFlight,
    double latencySeconds, absl::Time now)
{
    TargetBelief belief;
    double share = 1;
    if (isKnown(load)) {
        const double trust = halved(now - load.reportedAt, options.speedHalfLife);
        const double meanSeconds = mean.callSeconds > 0 ? mean.callSeconds : load.callSeconds;
        belief.callSeconds = meanSeconds + (load.callSeconds - meanSeconds) * trust;
        belief.slots = load.last.limit;
        belief.occupied = inFlight + othersNow(load, options, now);
        const double trustInLoad = halved(now - load.reportedAt, options.loadHalfLife);
        belief.deviation = std::sqrt((belief.occupied - inFlight) * (1 - trustInLoad * trustInLoad));
        belief.isFresh = isReportFresh(load, options, now);
        share = std::clamp(
            static_cast<double>(load.reports) / options.warmReports, options.newTargetShare, 1.0);
    } else {
        const bool hasLatency = latencySeconds > 0;
        belief.callSeconds = hasLatency ? latencySeconds : mean.callSeconds * options.newTargetSlowdown;
        belief.slots = hasLatency && mean.slots > 0 ? mean.slots : options.newTargetSlots;
        belief.occupied = inFlight;
        share = hasLatency ? 1 : options.newTargetShare;
    }
    // A target that holds calls from here without a response is at least this slow.
    if (inFlight > 0 && load.quietSince != absl::InfinitePast())
        belief.callSeconds = std::max(belief.callSeconds, absl::ToDoubleSeconds(now - load.quietSince));
    belief.callSeconds = std::max(belief.callSeconds, kMinimumCallSeconds);
    const bool usesMean = !isKnown(load) && latencySeconds == 0 && mean.callSeconds > 0;
    belief.weight = share * (usesMean ? mean.slots / mean.callSeconds : belief.slots / belief.callSeconds);
    return belief;
}

double expectedWaitSeconds(const TargetBelief& belief)
{
    const double ahead = belief.occupied + 1 - belief.slots;
    double expectedAhead = std::max(0.0, ahead);
    if (belief.deviation > 0) { // Mean of the positive part of a normal variable.
        const double relative = ahead / belief.deviation;
        const double density = std::exp(-relative * relative / 2) * kInverseSqrtTwoPi;
        const double probability = std::erfc(-relative * kInverseSqrtTwo) / 2;
        expectedAhead = belief.deviation * density + ahead * probability;
    }
    return belief.callSeconds * expectedAhead / belief.slots;
}

double expectedCompletionSeconds(const TargetBelief& belief)
{
    const double usedShare = (belief.occupied + 1) / belief.slots;
    const double pressure = kPressure * std::clamp((usedShare - kPressureStart) / kPressureRange, 0.0, 1.0);
    return belief.callSeconds * (1 + pressure) + expectedWaitSeconds(belief);
}

bool hasRoom(const TargetBelief& belief)
{
    return belief.occupied + 1 <= std::max(1.0, kPressureStart * belief.slots);
}

} // namespace jackdawwall
