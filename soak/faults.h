/// Troubles by a seed: at random moments, in series and overlapping, from outside the processes.
#pragma once

#include "fleet.h"

namespace jackdawwall::soak {

/// Plans troubles over `time`; the list grows by one line for each that happens.
std::shared_ptr<const std::vector<std::string>> scheduleFaults(
    relay::asio::io_context& loop, Fleet& fleet, std::uint64_t seed, absl::Duration time);

} // namespace jackdawwall::soak
