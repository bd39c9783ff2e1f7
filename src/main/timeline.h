/// Merges the log events of several processes into one timeline.
#pragma once

#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jackdawwall {

/// A log line with the fields that determine its position.
struct TimelineEvent {
    absl::Time time = absl::InfinitePast();
    std::string process;
    std::uint64_t sequence = 0; ///< Sequence number within its process.
    std::string line;
};

/// Parses the fields of a log line; missing fields keep their defaults.
TimelineEvent parseEvent(const std::string& line);

/// Sorts events by time. Events of one process keep their order even when its clock steps back.
void orderEvents(std::vector<TimelineEvent>& events);

/// Renders the events as a self-contained HTML page with one column per process.
std::string timelinePage(const std::vector<TimelineEvent>& events);

} // namespace jackdawwall
