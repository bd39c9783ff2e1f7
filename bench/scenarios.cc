#include "bench/scenarios.h"

#include "bench/model.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <array>
#include <map>
#include <ostream>

namespace jackdawwall::bench {
namespace {

constexpr std::array<const char*, 3> kVariantNames { "jackdawwall", "none", "static" };
constexpr absl::Duration kWarmUp = absl::Seconds(3);
constexpr absl::Duration kRecoveryBin = absl::Milliseconds(250);
constexpr double kRecoveredShare = 0.95;

/// One run of a scenario: its fleet and the output of its measures.
struct Run {
    Simulation simulation;
    std::unique_ptr<Fleet> fleet;
    absl::Time start;
    std::ostream* out = nullptr;
    std::string scenario;
    Variant variant = Variant::None;
    int seed = 0;
    bool hasTrace = false;

    void print(absl::string_view measure, double value, absl::string_view unit) const
    {
        *out << "measure=" << measure << " scenario=" << scenario
             << " variant=" << kVariantNames.at(static_cast<std::size_t>(variant)) << " value=" << value
             << " unit=" << unit << " seed=" << seed << "\n";
    }
};

/// Selects the root requests that were sent within [from, to), optionally of one kind.
struct Selection {
    absl::Time from;
    absl::Time to;
    int kind = -1; ///< -1: all.
};

bool isSelected(const RootRecord& root, const Selection& selection)
{
    return root.sentAt >= selection.from && root.sentAt < selection.to
        && (selection.kind < 0 || static_cast<int>(root.kind) == selection.kind);
}

double completedPerSecond(const Fleet& fleet, const Selection& selection)
{
    double completed = 0;
    for (const RootRecord& root : fleet.roots())
        completed += isSelected(root, selection) && root.isComplete ? 1 : 0;
    return completed / absl::ToDoubleSeconds(selection.to - selection.from);
}

double completedShare(const Fleet& fleet, const Selection& selection)
{
    double completed = 0;
    double sent = 0;
    for (const RootRecord& root : fleet.roots()) {
        if (!isSelected(root, selection))
            continue;
        ++sent;
        completed += root.isComplete ? 1 : 0;
    }
    return sent == 0 ? 0 : completed / sent;
}

double latencyMs(const Fleet& fleet, const Selection& selection, double quantile)
{
    std::vector<double> values;
    for (const RootRecord& root : fleet.roots()) {
        if (isSelected(root, selection) && root.isComplete)
            values.push_back(absl::ToDoubleMilliseconds(root.latency));
    }
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1))];
}

/// Share of slot time that was spent on requests without a complete response.
double wastedShare(const Fleet& fleet, const Selection& selection)
{
    absl::Duration wasted;
    absl::Duration all;
    for (const RootRecord& root : fleet.roots()) {
        if (!isSelected(root, selection))
            continue;
        all += root.slotTime;
        wasted += root.isComplete ? absl::ZeroDuration() : root.slotTime;
    }
    return all == absl::ZeroDuration() ? 0 : absl::FDivDuration(wasted, all);
}

/// Prints failed requests that used slot time, per complete request, and the mean slot time of both.
void printWastedWork(const Run& run, const Selection& selection)
{
    double completed = 0;
    double failed = 0;
    absl::Duration completedTime;
    absl::Duration failedTime;
    for (const RootRecord& root : run.fleet->roots()) {
        if (!isSelected(root, selection) || root.slotTime == absl::ZeroDuration())
            continue;
        (root.isComplete ? completed : failed) += 1;
        (root.isComplete ? completedTime : failedTime) += root.slotTime;
    }
    run.print("failed-after-work", failed / std::max(1.0, completed), "per-whole");
    run.print("slot-time-whole", absl::ToDoubleMilliseconds(completedTime) / std::max(1.0, completed), "ms");
    run.print("slot-time-failed", absl::ToDoubleMilliseconds(failedTime) / std::max(1.0, failed), "ms");
}

/// Largest number of calls sent over the call tree in one attempt of a client.
int maxSentCalls(const Fleet& fleet)
{
    int maxCalls = 0;
    for (const RootRecord& root : fleet.roots())
        maxCalls = std::max(maxCalls, root.sentCalls);
    return maxCalls;
}

/// Time after `from` until at least 95% of the requests in every later bin complete; the remaining run if
/// that never happens.
double recoverySeconds(const Fleet& fleet, absl::Time from, absl::Time end)
{
    absl::Time recovered = from;
    for (absl::Time bin = from; bin + kRecoveryBin <= end; bin += kRecoveryBin) {
        if (completedShare(fleet, { bin, bin + kRecoveryBin }) < kRecoveredShare)
            recovered = bin + kRecoveryBin;
    }
    return absl::ToDoubleSeconds(recovered - from);
}

std::vector<KindModel> makePriorityKinds()
{
    KindModel booking { "booking", "crew-leads", Priority::Critical, true, 0.1 };
    KindModel status { "status", "managers", Priority::Interactive, true, 0.4 };
    KindModel browse { "browse", "visitors", Priority::Browse, true, 0.5 };
    return { booking, status, browse };
}

/// A chain whose last service is the bottleneck, like the ledger service in the prairie example.
FleetModel makeServiceChain(int depth)
{
    FleetModel model;
    for (int index = 0; index < depth; ++index) {
        ServiceModel service;
        service.name = absl::StrCat("s", index);
        service.meanServiceTime = absl::Milliseconds(2);
        service.slots = 100;
        model.services.push_back(service);
    }
    model.services.back().slots = 10;
    model.services.back().meanServiceTime = absl::Milliseconds(20);
    model.kinds = makePriorityKinds();
    return model;
}

/// Complete requests per second that the bottleneck service can serve.
double capacityPerSecond(const FleetModel& model)
{
    const ServiceModel& last = model.services.back();
    return last.targets * last.slots / absl::ToDoubleSeconds(last.meanServiceTime);
}

void startRun(Run& run, FleetModel model)
{
    model.trace = run.hasTrace ? run.out : nullptr;
    run.fleet = std::make_unique<Fleet>(
        run.simulation, std::move(model), run.variant, static_cast<std::uint64_t>(run.seed));
    run.start = run.simulation.now() + kWarmUp;
}

void runSurge(Run& run, int depth)
{
    const FleetModel model = makeServiceChain(depth);
    const double capacity = capacityPerSecond(model);
    constexpr absl::Duration kSurge = absl::Seconds(10);
    constexpr absl::Duration kAfter = absl::Seconds(10);
    startRun(run, model);
    Fleet& fleet = *run.fleet;
    fleet.generateLoad(run.simulation.now(), kWarmUp, 0.8 * capacity);
    fleet.generateLoad(run.start, kSurge, 8 * capacity);
    fleet.generateLoad(run.start + kSurge, kAfter, 0.8 * capacity);
    run.simulation.runUntil(run.start + kSurge + kAfter + absl::Seconds(5));
    const Selection surge { run.start, run.start + kSurge };
    run.print("goodput", completedPerSecond(fleet, surge) / capacity, "share-of-capacity");
    run.print("top-class", completedShare(fleet, { surge.from, surge.to, 0 }), "share-whole");
    run.print("wasted", wastedShare(fleet, surge), "share-of-slot-time");
    printWastedWork(run, surge);
    run.print("extra-attempts", maxSentCalls(fleet) - depth, "sends");
    run.print("recovery", recoverySeconds(fleet, surge.to, surge.to + kAfter), "s");
}

void runSurge5(Run& run)
{
    runSurge(run, 5);
}
void runSurge17(Run& run)
{
    runSurge(run, 17);
}

/// The last service of the chain becomes 20 times slower for a while and clients retry: the overload must not
/// persist after its cause has ended (metastable failure).
void runSlowDeep(Run& run)
{
    const FleetModel model = makeServiceChain(5);
    constexpr absl::Duration kSlow = absl::Seconds(5);
    constexpr absl::Duration kAfter = absl::Seconds(20);
    startRun(run, model);
    Fleet& fleet = *run.fleet;
    fleet.generateLoad(run.simulation.now(), kWarmUp + kSlow + kAfter, 0.8 * capacityPerSecond(model));
    run.simulation.runUntil(run.start);
    for (TargetModel* target : fleet.targetsOfService(4))
        target->slowness = 20;
    run.simulation.runUntil(run.start + kSlow);
    for (TargetModel* target : fleet.targetsOfService(4))
        target->slowness = 1;
    run.simulation.runUntil(run.start + kSlow + kAfter + absl::Seconds(5));
    const absl::Time end = run.start + kSlow;
    run.print("recovery", recoverySeconds(fleet, end, end + kAfter), "s");
    run.print("goodput-after", completedShare(fleet, { end, end + kAfter }), "share-whole");
}

void runSwing(Run& run)
{
    const FleetModel model = makeServiceChain(3);
    const double capacity = capacityPerSecond(model);
    startRun(run, model);
    Fleet& fleet = *run.fleet;
    fleet.generateLoad(run.simulation.now(), kWarmUp, 0.5 * capacity);
    // Load rises from 0.5 to 4 times the capacity within 5 s and stays at that level for 3 s.
    constexpr int kSteps = 50;
    for (int step = 0; step < kSteps; ++step)
        fleet.generateLoad(run.start + step * absl::Milliseconds(100), absl::Milliseconds(100),
            capacity * (0.5 + 3.5 * step / kSteps));
    const absl::Time peak = run.start + absl::Seconds(5);
    fleet.generateLoad(peak, absl::Seconds(3), 4 * capacity);
    run.simulation.runUntil(peak + absl::Seconds(8));
    run.print("crest-first-second", completedPerSecond(fleet, { peak, peak + absl::Seconds(1) }) / capacity,
        "share-of-capacity");
    run.print("crest", completedPerSecond(fleet, { peak, peak + absl::Seconds(3) }) / capacity,
        "share-of-capacity");
}

/// 99th percentile of short reads, alone or alongside uploads that take 40 times as long (110% load
/// together).
double shortCallP99(Run& run, bool hasUploads)
{
    FleetModel model;
    ServiceModel desk { "hist-desk", 3, 100, 700, absl::Milliseconds(5) };
    model.services = { desk };
    model.deadline = absl::Seconds(5);
    KindModel read { "history-read", "ferry-masters", Priority::Interactive, true, 1 };
    KindModel upload { "photo-upload", "ramp-keepers", Priority::Interactive, true, 1, 40 };
    model.kinds = { read, upload };
    const double reads = 0.5 * capacityPerSecond(model);
    const double uploads = 0.6 * capacityPerSecond(model) / upload.workFactor;
    run.simulation = Simulation();
    startRun(run, model);
    Fleet& fleet = *run.fleet;
    constexpr absl::Duration kLength = absl::Seconds(10);
    fleet.generateLoadOfKind(0, run.simulation.now(), kWarmUp + kLength, reads);
    if (hasUploads)
        fleet.generateLoadOfKind(1, run.simulation.now(), kWarmUp + kLength, uploads);
    run.simulation.runUntil(run.start + kLength + absl::Seconds(5));
    return latencyMs(fleet, { run.start, run.start + kLength, 0 }, 0.99);
}

void runShortBehindLong(Run& run)
{
    const double without = shortCallP99(run, false);
    const double with = shortCallP99(run, true);
    run.print("short-p99-without", without, "ms");
    run.print("short-p99-with", with, "ms");
    run.print("short-p99-ratio", with / without, "ratio");
    run.print("short-whole", completedShare(*run.fleet, { run.start, run.start + absl::Seconds(10), 0 }),
        "share-whole");
}

double stragglerP99(Run& run, double slowness)
{
    FleetModel model;
    ServiceModel desk { "hist-desk", 3, 100, 700, absl::Milliseconds(10) };
    model.services = { desk };
    model.kinds = { { "history-read", "ferry-masters", Priority::Interactive, true, 1 } };
    run.simulation = Simulation();
    startRun(run, model);
    Fleet& fleet = *run.fleet;
    constexpr absl::Duration kLength = absl::Seconds(10);
    // 40% of the capacity, so that the two other targets can serve it alone.
    fleet.generateLoad(run.simulation.now(), kWarmUp + kLength, 0.4 * capacityPerSecond(model));
    run.simulation.runUntil(run.start - absl::Seconds(1));
    fleet.targetsOfService(0).front()->slowness = slowness;
    run.simulation.runUntil(run.start + kLength + absl::Seconds(5));
    return latencyMs(fleet, { run.start, run.start + kLength }, 0.99);
}

void runStraggler(Run& run)
{
    const double without = stragglerP99(run, 1);
    const double with = stragglerP99(run, 20);
    run.print("p99-without", without, "ms");
    run.print("p99-with", with, "ms");
    run.print("p99-ratio", with / without, "ratio");
    run.print(
        "whole", completedShare(*run.fleet, { run.start, run.start + absl::Seconds(10) }), "share-whole");
}

/// One caller sends 100 times its share; the goodput of the others must hardly change.
void runGreedyCaller(Run& run)
{
    FleetModel model = makeServiceChain(2);
    model.kinds.clear();
    constexpr int kCallers = 5;
    for (int index = 0; index < kCallers; ++index)
        model.kinds.push_back(
            { absl::StrCat("read", index), absl::StrCat("caller", index), Priority::Interactive, true, 1 });
    const double capacity = capacityPerSecond(model);
    startRun(run, model);
    Fleet& fleet = *run.fleet;
    constexpr absl::Duration kLength = absl::Seconds(8);
    const double fair = 0.7 * capacity / kCallers;
    for (std::size_t kind = 0; kind < kCallers; ++kind)
        fleet.generateLoadOfKind(kind, run.simulation.now(), kWarmUp + kLength, fair);
    fleet.generateLoadOfKind(0, run.start, kLength, 99 * fair);
    run.simulation.runUntil(run.start + kLength + absl::Seconds(5));
    double others = 0;
    for (int kind = 1; kind < kCallers; ++kind)
        others += completedShare(fleet, { run.start + absl::Seconds(1), run.start + kLength, kind });
    run.print("others-whole", others / (kCallers - 1), "share-whole");
    run.print("goodput", completedPerSecond(fleet, { run.start, run.start + kLength }) / capacity,
        "share-of-capacity");
}

struct Scenario {
    const char* name;
    void (*run)(Run&);
};

constexpr std::array<Scenario, 7> kScenarios { { { "surge-5-deep", &runSurge5 },
    { "surge-17-deep", &runSurge17 }, { "slow-deep", &runSlowDeep }, { "swing", &runSwing },
    { "short-behind-long", &runShortBehindLong }, { "straggler", &runStraggler },
    { "greedy-caller", &runGreedyCaller } } };

bool isChosen(const std::vector<std::string>& chosen, const std::string& name)
{
    return chosen.empty() || std::find(chosen.begin(), chosen.end(), name) != chosen.end();
}

void runScenario(const Scenario& scenario, Variant variant, int seed, bool hasTrace, std::ostream& out)
{
    Run run;
    run.out = &out;
    run.scenario = scenario.name;
    run.variant = variant;
    run.seed = seed;
    run.hasTrace = hasTrace;
    scenario.run(run);
    out.flush();
}

} // namespace

void runScenarios(const ScenarioOptions& options, std::ostream& out)
{
    for (const Scenario& scenario : kScenarios) {
        if (!isChosen(options.scenarios, scenario.name))
            continue;
        for (std::size_t variant = 0; variant < kVariantNames.size(); ++variant) {
            if (!isChosen(options.variants, kVariantNames.at(variant)))
                continue;
            for (int seed = 1; seed <= options.seeds; ++seed)
                runScenario(scenario, static_cast<Variant>(variant), seed, options.hasTrace, out);
        }
    }
}

} // namespace jackdawwall::bench
