/// Measurements of a load run, printed as key=value lines.
#pragma once

#include "main/load-script.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace jackdawwall {

/// Result of one scripted call, including its retries.
struct LoadResult {
    std::size_t phase = 0;
    std::size_t kind = 0;
    absl::Duration scheduled; ///< Scheduled time, relative to the start of the run.
    absl::Duration latency; ///< Measured from the scheduled time, so that delays of the sender are included.
    bool isComplete = false; ///< A complete response to this request arrived before its deadline.
    bool isMismatched = false; ///< The response belongs to another request or is truncated.
    int attempts = 1;
    std::string outcome; ///< Outcome in the last response; "none" when there was no response.
};

class LoadReport {
public:
    void add(LoadResult result);

    /// Formats the report as lines "measure=... phase=... kind=... variant=... value=... unit=...".
    std::string lines(const LoadScript& script, const std::string& variant) const;

private:
    mutable absl::Mutex mutex_;
    std::vector<LoadResult> results_ ABSL_GUARDED_BY(mutex_);
};

} // namespace jackdawwall
