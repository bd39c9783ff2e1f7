#include "jackdawwall/target-rate.h"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"

#include <algorithm>

namespace jackdawwall {
namespace {

/// Longest text that is taken for a number.
constexpr std::size_t kMaxTextSize = 32;
/// Tokens that the bucket holds, as the time in which they are gained.
constexpr double kBurstSeconds = 0.5;
/// Rate of the calls that find out whether a target still names the limit 0.
constexpr double kMinCallsPerSecond = 0.1;
/// Refills add fractions that may sum up to slightly less than a token.
constexpr double kTokenTolerance = 1e-9;

double effectiveRate(double callsPerSecond)
{
    return std::max(callsPerSecond, kMinCallsPerSecond);
}

RateChange setRate(TargetRate& rate, std::optional<double> named, absl::Time now)
{
    const std::optional<double> before = rate.callsPerSecond;
    if (named == before)
        return RateChange::None;
    refill(rate, now);
    rate.callsPerSecond = named;
    rate.changedAt = now;
    if (!before)
        rate.tokens = 0;
    refill(rate, now);
    if (!named)
        return RateChange::Ended;
    return before ? RateChange::Changed : RateChange::Started;
}

} // namespace

std::optional<double> parseTargetRate(absl::string_view text)
{
    const bool hasOtherCharacters
        = std::any_of(text.begin(), text.end(), [](char c) { return !absl::ascii_isdigit(c) && c != '.'; });
    double rate = 0;
    if (text.size() > kMaxTextSize || hasOtherCharacters || !absl::SimpleAtod(text, &rate))
        return std::nullopt;
    return rate;
}

RateChange recordNamedRate(TargetRate& rate, std::optional<double> named, absl::Time sentAt, absl::Time now)
{
    const bool isLower = named && (!rate.callsPerSecond || *named < *rate.callsPerSecond);
    if (sentAt < rate.changedAt && !isLower)
        return RateChange::None;
    rate.observedAt = now;
    return setRate(rate, named, now);
}

RateChange adoptNamedRate(TargetRate& rate, double named, absl::Time observedAt, absl::Time now)
{
    if (observedAt <= rate.observedAt)
        return RateChange::None;
    rate.observedAt = observedAt;
    const RateChange change = setRate(rate, named, now);
    if (change == RateChange::Started)
        rate.tokens = 1;
    return change;
}

void refill(TargetRate& rate, absl::Time now)
{
    if (rate.callsPerSecond) {
        const double perSecond = effectiveRate(*rate.callsPerSecond);
        const double gained = perSecond * absl::ToDoubleSeconds(now - std::min(now, rate.refilledAt));
        rate.tokens = std::min(std::max(1.0, perSecond * kBurstSeconds), rate.tokens + gained);
    }
    rate.refilledAt = now;
}

void takeToken(TargetRate& rate)
{
    if (rate.callsPerSecond)
        rate.tokens = std::max(0.0, rate.tokens - 1);
}

absl::Duration timeUntilStart(const TargetRate& rate, std::size_t ahead)
{
    if (!rate.callsPerSecond)
        return absl::ZeroDuration();
    const double missing = static_cast<double>(ahead) + 1 - rate.tokens - kTokenTolerance;
    return absl::Seconds(std::max(0.0, missing) / effectiveRate(*rate.callsPerSecond));
}

absl::Duration callInterval(double callsPerSecond)
{
    return absl::Seconds(1 / effectiveRate(callsPerSecond));
}

} // namespace jackdawwall
