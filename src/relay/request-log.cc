#include "relay/request-log.h"

#include "jackdawwall/core.h"

namespace jackdawwall::relay {

void RequestLog::record(absl::string_view event, absl::string_view requestId, bool isExpected,
    std::initializer_list<LogField> fields)
{
    if (isExpected && mixBits(stableHash(requestId)) % kSampleOneIn != 0)
        return;
    if (linesThisSecond_ >= kLinesPerSecond) {
        ++suppressed_;
        return;
    }
    ++linesThisSecond_;
    logEvent(LogLevel::Info, event, fields);
}

void RequestLog::tick(absl::Time now)
{
    if (now - secondStart_ < absl::Seconds(1))
        return;
    secondStart_ = now;
    linesThisSecond_ = 0;
    if (suppressed_ == 0)
        return;
    logEvent(LogLevel::Info, "requests-not-logged",
        { { "count", suppressed_ }, { "limit_per_s", kLinesPerSecond }, { "sample_one_in", kSampleOneIn } });
    suppressed_ = 0;
}

} // namespace jackdawwall::relay
