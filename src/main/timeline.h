/// Events of several processes as one time line.
#pragma once

#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jackdawwall {

/// One log line with the fields that order it.
struct TimelineEvent {
    absl::Time time = absl::InfinitePast();
    std::string process;
    std::uint64_t sequence = 0; ///< Inside its process.
    std::string line;
};

/// Reads the fields of a line; those it lacks keep their defaults.
TimelineEvent parseEvent(const std::string& line);

/// Orders by time; events of one process keep their own order even when its clock steps back.
void orderEvents(std::vector<TimelineEvent>& events);

/// A self-contained page with a lane for each process.
std::string timelinePage(const std::vector<TimelineEvent>& events);

} // namespace jackdawwall
