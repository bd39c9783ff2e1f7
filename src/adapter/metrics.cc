#include "adapter/metrics.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

#include <array>

namespace jackdawwall {
namespace {

constexpr std::array<double, 3> kQuantiles { 0.5, 0.95, 0.99 };

TimeSummary makeSummary()
{
    return TimeSummary(boost::accumulators::extended_p_square_probabilities = kQuantiles);
}

void appendCounter(std::string& text, absl::string_view name, absl::string_view help, std::uint64_t value)
{
    absl::StrAppend(
        &text, "# HELP ", name, " ", help, "\n# TYPE ", name, " counter\n", name, " ", value, "\n");
}

void appendOutcomes(std::string& text, absl::string_view name, absl::string_view help,
    const absl::btree_map<OutcomeLabels, std::uint64_t>& counts)
{
    absl::StrAppend(&text, "# HELP ", name, " ", help, "\n# TYPE ", name, " counter\n");
    for (const auto& [labels, count] : counts)
        absl::StrAppend(&text, name, "{class=\"", toText(labels.priority), "\",outcome=\"",
            toText(labels.outcome), "\",reason=\"", toText(labels.reason), "\"} ", count, "\n");
}

void appendLabelled(std::string& text, absl::string_view name, absl::string_view help,
    const absl::btree_map<std::string, std::uint64_t>& counts)
{
    absl::StrAppend(&text, "# HELP ", name, " ", help, "\n# TYPE ", name, " counter\n");
    for (const auto& [labels, count] : counts)
        absl::StrAppend(&text, name, "{", labels, "} ", count, "\n");
}

void appendSummary(
    std::string& text, absl::string_view name, absl::string_view help, const TimeSummary& summary)
{
    absl::StrAppend(&text, "# HELP ", name, " ", help, "\n# TYPE ", name, " summary\n");
    for (const double quantile : kQuantiles) {
        const double value
            = boost::accumulators::quantile(summary, boost::accumulators::quantile_probability = quantile);
        absl::StrAppend(&text, name, "{quantile=\"", quantile, "\"} ", value, "\n");
    }
    absl::StrAppend(&text, name, "_sum ", boost::accumulators::sum(summary), "\n", name, "_count ",
        boost::accumulators::count(summary), "\n");
}

} // namespace

Metrics::Metrics()
    : callTime_(makeSummary())
{
}

void Metrics::countCall(const OutcomeLabels& labels, absl::Duration time)
{
    const absl::MutexLock lock(&mutex_);
    ++calls_[labels];
    callTime_(absl::ToDoubleSeconds(time));
}

void Metrics::countOffer(const OutcomeLabels& labels)
{
    const absl::MutexLock lock(&mutex_);
    ++offers_[labels];
}

void Metrics::countRetry()
{
    const absl::MutexLock lock(&mutex_);
    ++retries_;
}

void Metrics::countHedge()
{
    const absl::MutexLock lock(&mutex_);
    ++hedges_;
}

void Metrics::countControlBytes(std::uint64_t sent)
{
    const absl::MutexLock lock(&mutex_);
    controlBytes_ += sent;
}

void Metrics::countStoreCall(absl::string_view call, absl::string_view result)
{
    const absl::MutexLock lock(&mutex_);
    ++storeCalls_[absl::StrCat("call=\"", call, "\",result=\"", result, "\"")];
}

void Metrics::countRejectedRequest(absl::string_view port, unsigned status, absl::string_view reason)
{
    const absl::MutexLock lock(&mutex_);
    ++rejectedRequests_[absl::StrCat("port=\"", port, "\",status=\"", status, "\",reason=\"", reason, "\"")];
}

void Metrics::countClosedConnection(absl::string_view port, absl::string_view reason)
{
    const absl::MutexLock lock(&mutex_);
    ++closedConnections_[absl::StrCat("port=\"", port, "\",reason=\"", reason, "\"")];
}

std::string Metrics::expose(const std::string& gauges) const
{
    const absl::MutexLock lock(&mutex_);
    std::string text;
    appendOutcomes(text, "jackdaw_calls_total", "Calls taken from callers, by how they ended.", calls_);
    appendOutcomes(
        text, "jackdaw_offers_total", "Calls offered to the own target, by how they ended.", offers_);
    appendSummary(text, "jackdaw_call_seconds", "Time of calls taken from callers.", callTime_);
    appendCounter(text, "jackdaw_retries_total", "Attempts sent again.", retries_);
    appendCounter(text, "jackdaw_hedges_total", "Second copies sent beside a slow attempt.", hedges_);
    appendCounter(text, "jackdaw_control_bytes_total", "Bytes of control messages sent.", controlBytes_);
    appendLabelled(
        text, "jackdaw_store_calls_total", "Calls to the platform's store, by how they ended.", storeCalls_);
    appendLabelled(text, "jackdaw_rejected_requests_total",
        "Requests answered with an error before they were routed, by "
        "port, status and reason.",
        rejectedRequests_);
    appendLabelled(text, "jackdaw_closed_connections_total",
        "Connections closed because of a limit, by port and reason.", closedConnections_);
    return text + gauges;
}

} // namespace jackdawwall
