#include "main/load-report.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <map>

namespace jackdawwall {
namespace {

constexpr absl::Duration kBinWidth = absl::Milliseconds(250);
constexpr double kRecoveredShare = 0.95;

/// Output and label shared by all lines of a report.
struct LineContext {
    std::string& text;
    const std::string& variant;
};

void appendLine(const LineContext& context, absl::string_view measure, absl::string_view phase,
    absl::string_view kind, double value, absl::string_view unit)
{
    absl::StrAppend(&context.text, "measure=", measure, " phase=", phase, " kind=", kind,
        " variant=", context.variant, " value=", value, " unit=", unit, "\n");
}

double quantileMs(std::vector<double>& values, double quantile)
{
    if (values.empty())
        return 0;
    const auto index = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

void appendKind(const LineContext& context, const LoadPhase& phase, const LoadKind& kind,
    const std::vector<const LoadResult*>& results)
{
    std::vector<double> latencies;
    double complete = 0;
    double attempts = 0;
    for (const LoadResult* result : results) {
        attempts += result->attempts;
        if (!result->isComplete)
            continue;
        ++complete;
        latencies.push_back(absl::ToDoubleMilliseconds(result->latency));
    }
    const double seconds = absl::ToDoubleSeconds(phase.length);
    const auto offered = static_cast<double>(results.size());
    appendLine(context, "offered", phase.name, kind.kind, offered / seconds, "calls/s");
    appendLine(context, "goodput", phase.name, kind.kind, complete / seconds, "calls/s");
    appendLine(context, "whole-share", phase.name, kind.kind, offered > 0 ? complete / offered : 0, "ratio");
    appendLine(context, "attempts", phase.name, kind.kind, offered > 0 ? attempts / offered : 0, "ratio");
    appendLine(context, "latency-p50", phase.name, kind.kind, quantileMs(latencies, 0.5), "ms");
    appendLine(context, "latency-p99", phase.name, kind.kind, quantileMs(latencies, 0.99), "ms");
}

struct BinCount {
    double offered = 0;
    double complete = 0;
};

std::map<std::int64_t, BinCount> countByBin(const std::vector<LoadResult>& results)
{
    std::map<std::int64_t, BinCount> bins;
    for (const LoadResult& result : results) {
        BinCount& bin = bins[result.scheduled / kBinWidth];
        ++bin.offered;
        bin.complete += result.isComplete ? 1 : 0;
    }
    return bins;
}

bool isRecovered(const BinCount& bin)
{
    return bin.complete >= kRecoveredShare * bin.offered;
}

/// Time from `from` until the goodput is at least 95 % in all later bins; negative when that never happens.
double recoverySeconds(const std::vector<LoadResult>& results, absl::Duration from)
{
    const std::map<std::int64_t, BinCount> bins = countByBin(results);
    const std::int64_t first = from / kBinWidth;
    std::int64_t recovered = first;
    for (const auto& [index, bin] : bins) {
        if (index >= first && !isRecovered(bin))
            recovered = index + 1;
    }
    if (bins.empty() || recovered > bins.rbegin()->first)
        return -1;
    return absl::ToDoubleSeconds((recovered - first) * kBinWidth);
}

/// Reports the recovery after each phase named "surge".
void appendRecovery(
    const LineContext& context, const LoadScript& script, const std::vector<LoadResult>& results)
{
    absl::Duration end;
    for (const LoadPhase& phase : script.phases) {
        end += phase.length;
        if (phase.name == "surge")
            appendLine(context, "recovery", "surge", "all", recoverySeconds(results, end), "s");
    }
}

void appendOutcomes(const LineContext& context, const std::vector<LoadResult>& results)
{
    std::map<std::string, double> outcomes;
    double mismatched = 0;
    for (const LoadResult& result : results) {
        ++outcomes[result.outcome];
        mismatched += result.isMismatched ? 1 : 0;
    }
    for (const auto& [outcome, count] : outcomes)
        appendLine(context, absl::StrCat("outcome-", outcome), "all", "all", count, "calls");
    appendLine(context, "wrong-answers", "all", "all", mismatched, "calls");
}

} // namespace

void LoadReport::add(LoadResult result)
{
    const absl::MutexLock lock(&mutex_);
    results_.push_back(std::move(result));
}

std::string LoadReport::lines(const LoadScript& script, const std::string& variant) const
{
    const absl::MutexLock lock(&mutex_);
    std::string text;
    const LineContext context { text, variant };
    for (std::size_t phase = 0; phase < script.phases.size(); ++phase) {
        for (std::size_t kind = 0; kind < script.kinds.size(); ++kind) {
            std::vector<const LoadResult*> selected;
            for (const LoadResult& result : results_) {
                if (result.phase == phase && result.kind == kind)
                    selected.push_back(&result);
            }
            appendKind(context, script.phases[phase], script.kinds[kind], selected);
        }
    }
    appendRecovery(context, script, results_);
    appendOutcomes(context, results_);
    return text;
}

} // namespace jackdawwall
