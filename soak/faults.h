/// Injects faults from outside the processes, at random times that the seed determines. Faults may follow
/// each other closely and overlap.
#pragma once

#include "fleet.h"

namespace jackdawwall::soak {

struct FaultOptions {
    std::uint64_t seed = 1;
    std::vector<std::string> only; ///< Names of the faults to draw from; empty: all.
};

/// Schedules faults over the next `time`. Returns the fault log, which grows by one line per injected fault
/// and keeps the injector alive.
std::shared_ptr<const std::vector<std::string>> scheduleFaults(
    relay::asio::io_context& loop, Fleet& fleet, const FaultOptions& options, absl::Duration time);

} // namespace jackdawwall::soak
