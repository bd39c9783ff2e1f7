#include "adapter/metrics.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/string_view.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>
#include <vector>

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

/// Escapes a label value of the text exposition format.
std::string labelText(absl::string_view value)
{
    return absl::StrReplaceAll(value, { { "\\", "\\\\" }, { "\"", "\\\"" }, { "\n", "\\n" } });
}

/// Appends the customers with most refusals, and all others together.
void appendCustomers(
    std::string& text, const absl::flat_hash_map<std::string, CustomerOffers>& offers, CustomerOffers other)
{
    if (offers.empty())
        return;
    std::vector<std::pair<std::string, CustomerOffers>> sorted(offers.begin(), offers.end());
    std::sort(sorted.begin(), sorted.end(), [](const auto& left, const auto& right) {
        return std::tie(right.second.refused, left.first) < std::tie(left.second.refused, right.first);
    });
    while (sorted.size() > Metrics::kExposedCustomers) {
        other.started += sorted.back().second.started;
        other.refused += sorted.back().second.refused;
        sorted.pop_back();
    }
    absl::StrAppend(&text,
        "# HELP jackdaw_customer_offers Calls of customers offered to the own target, for the customers with "
        "most refusals.\n# TYPE jackdaw_customer_offers gauge\n");
    const auto append = [&](absl::string_view labels, const CustomerOffers& counts) {
        absl::StrAppend(&text, "jackdaw_customer_offers{", labels, ",decision=\"started\"} ", counts.started,
            "\njackdaw_customer_offers{", labels, ",decision=\"refused\"} ", counts.refused, "\n");
    };
    for (const auto& [name, counts] : sorted)
        append(absl::StrCat("customer=\"", labelText(name), "\""), counts);
    // A label of its own, because a customer may be named "other".
    append("customer=\"\",rest=\"other\"", other);
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

void Metrics::countRefusedKey(absl::string_view reason)
{
    const absl::MutexLock lock(&mutex_);
    ++refusedKeys_[absl::StrCat("reason=\"", reason, "\"")];
}

void Metrics::countCustomerOffer(absl::string_view customer, bool isRefused)
{
    const absl::MutexLock lock(&mutex_);
    auto found = customerOffers_.find(customer);
    if (found == customerOffers_.end() && customerOffers_.size() < kMaximumCustomers)
        found = customerOffers_.try_emplace(customer).first;
    CustomerOffers& counts = found == customerOffers_.end() ? otherCustomerOffers_ : found->second;
    ++(isRefused ? counts.refused : counts.started);
}

void Metrics::countLimitEvent(absl::string_view event, std::uint64_t count)
{
    const absl::MutexLock lock(&mutex_);
    limitEvents_[absl::StrCat("event=\"", event, "\"")] += count;
}

std::string Metrics::expose(const std::string& gauges) const
{
    const absl::MutexLock lock(&mutex_);
    std::string text;
    appendOutcomes(text, "jackdaw_calls_total", "Calls taken from callers, by how they ended.", calls_);
    appendOutcomes(
        text, "jackdaw_offers_total", "Calls offered to the own target, by how they ended.", offers_);
    appendCustomers(text, customerOffers_, otherCustomerOffers_);
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
    appendLabelled(
        text, "jackdaw_refused_keys_total", "Requests refused for their key, by reason.", refusedKeys_);
    if (!limitEvents_.empty())
        appendLabelled(text, "jackdaw_limit_events_total", "Events of customers' rate limits over all nodes.",
            limitEvents_);
    return text + gauges;
}

} // namespace jackdawwall
