#include "relay/request-log.h"

#include "jackdawwall/core.h"

namespace jackdawwall::relay {

void RequestLog::note(absl::string_view event, absl::string_view requestId, bool isExpected,
    std::initializer_list<LogField> fields)
{
    if (isExpected && mixBits(stableHash(requestId)) % kSampleOneIn != 0)
        return;
    if (lines_ >= kLinesPerSecond) {
        ++leftOut_;
        return;
    }
    ++lines_;
    logEvent(LogLevel::Info, event, fields);
}

void RequestLog::tick(absl::Time now)
{
    if (now - secondStart_ < absl::Seconds(1))
        return;
    secondStart_ = now;
    lines_ = 0;
    if (leftOut_ == 0)
        return;
    logEvent(LogLevel::Info, "requests-not-logged",
        { { "count", leftOut_ }, { "limit_per_s", kLinesPerSecond }, { "sample_one_in", kSampleOneIn } });
    leftOut_ = 0;
}

} // namespace jackdawwall::relay
