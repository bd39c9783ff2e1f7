/// The measures of a load run, as key=value lines.
#pragma once

#include "main/load-script.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace jackdawwall {

/// How one scripted call went, with its retries.
struct LoadResult {
    std::size_t phase = 0;
    std::size_t kind = 0;
    absl::Duration scheduled; ///< From the start of the run.
    absl::Duration latency; ///< From the scheduled time, so that a late sender is not hidden.
    bool isComplete = false; ///< A whole answer to this very request, inside its deadline.
    bool isMismatched = false; ///< An answer that belongs to another request, or is cut short.
    int attempts = 1;
    std::string outcome; ///< As stated by the last answer; "none" when there was no answer.
};

class LoadReport {
public:
    void add(LoadResult result);

    /// Lines "measure=... phase=... kind=... variant=... value=... unit=...".
    std::string lines(const LoadScript& script, const std::string& variant) const;

private:
    mutable absl::Mutex mutex_;
    std::vector<LoadResult> results_ ABSL_GUARDED_BY(mutex_);
};

} // namespace jackdawwall
