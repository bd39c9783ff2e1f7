/// Counters and latencies of one node, in the Prometheus text exposition format.
#pragma once

#include "jackdawwall/core.h"

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <cstdint>
#include <string>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"

namespace jackdawwall {

/// Streaming summary of a duration in seconds.
using TimeSummary = boost::accumulators::accumulator_set<double,
    boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
        boost::accumulators::tag::extended_p_square_quantile>>;

/// Labels of a counter: priority class, outcome and reason of a call.
struct OutcomeLabels {
    Priority priority = Priority::Bulk;
    Outcome outcome = Outcome::Ok;
    Reason reason = Reason::None;

    friend auto operator<=>(const OutcomeLabels&, const OutcomeLabels&) = default;
};

/// Calls of one customer offered to the local target.
struct CustomerOffers {
    std::uint64_t started = 0;
    std::uint64_t refused = 0;
};

class Metrics {
public:
    /// Customers that are counted one by one. Bounds the memory when names change with the configuration.
    static constexpr std::size_t kMaximumCustomers = 1024;
    /// Customers that are exposed by name: those with most refusals. The rest is exposed as "other".
    static constexpr std::size_t kExposedCustomers = 10;

    Metrics();

    /// Counts a call received from a caller, with its total time.
    void countCall(const OutcomeLabels& labels, absl::Duration time);
    /// Counts a call offered to the local target.
    void countOffer(const OutcomeLabels& labels);
    /// Counts a call of a customer offered to the local target. Customers over `kMaximumCustomers` are
    /// counted together.
    void countCustomerOffer(absl::string_view customer, bool isRefused);
    void countRetry();
    void countHedge();
    void countControlBytes(std::uint64_t sent);
    /// Counts a call to the platform's store, such as "watch", by its result: "ok" or the name of an error.
    void countStoreCall(absl::string_view call, absl::string_view result);
    /// Counts a request that was answered with an error before it was routed.
    void countRejectedRequest(absl::string_view port, unsigned status, absl::string_view reason);
    /// Counts a connection that was closed because of a limit.
    void countClosedConnection(absl::string_view port, absl::string_view reason);
    /// Counts a request that was refused for its key: "missing", "unknown" or "withdrawn".
    void countRefusedKey(absl::string_view reason);
    /// Counts events of customers' rate limits over all nodes, such as "lease-request".
    void countLimitEvent(absl::string_view event, std::uint64_t count);

    /// Returns the text exposition; `gauges` is appended unchanged.
    std::string expose(const std::string& gauges) const;

private:
    mutable absl::Mutex mutex_;
    absl::btree_map<OutcomeLabels, std::uint64_t> calls_ ABSL_GUARDED_BY(mutex_);
    absl::btree_map<OutcomeLabels, std::uint64_t> offers_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<std::string, CustomerOffers> customerOffers_ ABSL_GUARDED_BY(mutex_);
    CustomerOffers otherCustomerOffers_ ABSL_GUARDED_BY(mutex_); ///< Over kMaximumCustomers.
    TimeSummary callTime_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t retries_ ABSL_GUARDED_BY(mutex_) = 0;
    std::uint64_t hedges_ ABSL_GUARDED_BY(mutex_) = 0;
    std::uint64_t controlBytes_ ABSL_GUARDED_BY(mutex_) = 0;
    absl::btree_map<std::string, std::uint64_t> storeCalls_ ABSL_GUARDED_BY(mutex_); ///< By label text.
    absl::btree_map<std::string, std::uint64_t> closedConnections_ ABSL_GUARDED_BY(
        mutex_); ///< By label text.
    absl::btree_map<std::string, std::uint64_t> rejectedRequests_ ABSL_GUARDED_BY(mutex_); ///< By label text.
    absl::btree_map<std::string, std::uint64_t> refusedKeys_ ABSL_GUARDED_BY(mutex_); ///< By label text.
    absl::btree_map<std::string, std::uint64_t> limitEvents_ ABSL_GUARDED_BY(mutex_); ///< By label text.
};

} // namespace jackdawwall
