/// Limits the logging of requests to all failures and a sample of the rest, up to a maximum rate. A separate
/// event reports the number of suppressed lines.
#pragma once

#include "adapter/log.h"

#include "absl/time/time.h"

#include <cstdint>
#include <initializer_list>

namespace jackdawwall::relay {

class RequestLog {
public:
    /// One in this many successful requests is logged. All nodes select the same requests.
    static constexpr std::uint32_t kSampleOneIn = 64;
    /// Lines per second of one process; a line costs about 5 us of processor time.
    static constexpr int kLinesPerSecond = 100;

    /// Logs an event of a request. `isExpected`: the request succeeded and is logged only if sampled.
    void record(absl::string_view event, absl::string_view requestId, bool isExpected,
        std::initializer_list<LogField> fields);
    /// Starts a new one-second window when the previous one is over; call it every 10 to 100 ms.
    void tick(absl::Time now);

private:
    absl::Time secondStart_ = absl::InfinitePast();
    int linesThisSecond_ = 0;
    std::uint64_t suppressed_ = 0; ///< Lines over the rate limit; excludes requests that were not sampled.
};

} // namespace jackdawwall::relay
