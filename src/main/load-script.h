/// Workload of jackdaw-load: phases with a call rate, and a mix of call kinds.
#pragma once

#include "adapter/finding.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jackdawwall {

/// A time span with a constant average call rate.
struct LoadPhase {
    std::string name;
    absl::Duration length;
    double callsPerSecond = 0;
};

/// One kind of call in the mix.
struct LoadKind {
    std::string kind;
    std::string caller;
    std::string service;
    double share = 1;
    std::int64_t bodyBytes = 0;
    absl::Duration deadline = absl::Seconds(2);
    bool isAtMostOnce = false; ///< Not idempotent; its request ids start with "t<unix seconds>-once-".
};

struct LoadScript {
    std::vector<LoadPhase> phases;
    std::vector<LoadKind> kinds;
    int retries = 0; ///< Maximum retries of a failed call, with the same request id.
    bool honoursHint = false; ///< Waits for Jackdaw-Retry-After-Ms before a retry; otherwise retries at once.
    int threads = 200;
    std::uint64_t seed = 1;
};

/// Reads and validates a script; it is valid only when there are no findings.
LoadScript readLoadScript(const std::string& file, std::vector<Finding>& findings);

} // namespace jackdawwall
