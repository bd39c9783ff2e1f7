/// Counters and times of one node, in the usual text exposition format.
#pragma once

#include "jackdawwall/core.h"

#include "absl/base/thread_annotations.h"
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

namespace jackdawwall {

/// Running summary of a time, in seconds.
using TimeSummary = boost::accumulators::accumulator_set<double,
    boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
        boost::accumulators::tag::extended_p_square_quantile>>;

/// Labels of a counter: how calls of one class ended and why.
struct OutcomeLabels {
    Priority priority = Priority::Bulk;
    Outcome outcome = Outcome::Ok;
    Reason reason = Reason::None;

    friend auto operator<=>(const OutcomeLabels&, const OutcomeLabels&) = default;
};

class Metrics {
public:
    Metrics();

    /// Counts a call that this node took from a caller.
    void countCall(const OutcomeLabels& labels, absl::Duration time);
    /// Counts an offer to the own target.
    void countOffer(const OutcomeLabels& labels);
    void countRetry();
    void countHedge();
    void countControlBytes(std::uint64_t sent);

    /// Text exposition; `gauges` is appended as it is.
    std::string expose(const std::string& gauges) const;

private:
    mutable absl::Mutex mutex_;
    absl::btree_map<OutcomeLabels, std::uint64_t> calls_ ABSL_GUARDED_BY(mutex_);
    absl::btree_map<OutcomeLabels, std::uint64_t> offers_ ABSL_GUARDED_BY(mutex_);
    TimeSummary callTime_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t retries_ ABSL_GUARDED_BY(mutex_) = 0;
    std::uint64_t hedges_ ABSL_GUARDED_BY(mutex_) = 0;
    std::uint64_t controlBytes_ ABSL_GUARDED_BY(mutex_) = 0;
};

} // namespace jackdawwall
