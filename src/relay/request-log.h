/// Bounds what is logged about requests: all failures and a sample of the rest, up to a rate; what was left
/// out is counted in a line of its own.
#pragma once

#include "adapter/log.h"

#include "absl/time/time.h"

#include <cstdint>
#include <initializer_list>

namespace jackdawwall::relay {

class RequestLog {
public:
    /// One request in so many is logged although all went well; the same ones at each node.
    static constexpr std::uint32_t kSampleOneIn = 64;
    /// Lines per second of one process; a line costs about 5 us of processor time.
    static constexpr int kLinesPerSecond = 100;

    /// Logs an event of a request. `isExpected`: nothing went wrong, so only the sample is logged.
    void record(absl::string_view event, absl::string_view requestId, bool isExpected,
        std::initializer_list<LogField> fields);
    /// Opens the next second when the last is over; call it every 10 to 100 ms.
    void tick(absl::Time now);

private:
    absl::Time secondStart_ = absl::InfinitePast();
    int linesThisSecond_ = 0;
    std::uint64_t suppressed_ = 0; ///< By the rate, not by the sample.
};

} // namespace jackdawwall::relay
