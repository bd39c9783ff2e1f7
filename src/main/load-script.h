/// What jackdaw-load sends: phases of demand and a mix of work.
#pragma once

#include "adapter/finding.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jackdawwall {

/// Demand during one stretch of time.
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
    bool isAtMostOnce = false; ///< Never to be repeated: its request ids start with "t<unix seconds>-once-".
};

struct LoadScript {
    std::vector<LoadPhase> phases;
    std::vector<LoadKind> kinds;
    int retries = 0; ///< Times a caller sends a failed call again, with the same request id.
    bool honoursHint = false; ///< Waits as Jackdaw-Retry-After-Ms says; else sends again at once.
    int threads = 200;
    std::uint64_t seed = 1;
};

/// Reads and checks a script.
LoadScript readLoadScript(const std::string& file, std::vector<Finding>& findings);

} // namespace jackdawwall
