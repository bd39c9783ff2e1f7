/// Limit on the requests per second that a target names itself, in its responses. Kept at the target's node,
/// through which all requests to the target pass: a token bucket that each started call takes a token from.
/// Other nodes remember what they passed on (TargetStatement), so that the limit survives a restart of the
/// target's node.
#pragma once

#include "jackdawwall/target-lifetime.h"

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <optional>

namespace jackdawwall {

/// A non-negative decimal number, such as "2" or "0.5"; empty for any other text.
std::optional<double> parseTargetRate(absl::string_view text);

struct TargetRate {
    std::optional<double> callsPerSecond; ///< Empty: the target names no limit.
    absl::Time changedAt = absl::InfinitePast(); ///< When the value above was learned.
    absl::Time observedAt = absl::InfinitePast(); ///< Of the latest response that the value agrees with.
    double tokens = 0;
    absl::Time refilledAt = absl::InfinitePast();
};

enum class RateChange : std::uint8_t { None, Started, Changed, Ended };

/// Applies a response to a request that was sent at `sentAt`; `named` is empty if it names no limit.
/// Responses may come out of order: one to a request that was sent before the last change may be older than
/// it, and is applied only if it lowers the limit.
RateChange recordNamedRate(TargetRate& rate, std::optional<double> named, absl::Time sentAt, absl::Time now);

/// Applies what another node observed at `observedAt`, unless a later response is known here. A call may
/// start at once, as its response tells whether the limit is still named.
RateChange adoptNamedRate(TargetRate& rate, double named, absl::Time observedAt, absl::Time now);

/// Adds the tokens gained since the last call.
void refill(TargetRate& rate, absl::Time now);

/// Takes the token of a call that starts.
void takeToken(TargetRate& rate);

/// Time until a call starts that has `ahead` calls before it, as of the last refill; zero without a limit.
absl::Duration timeUntilStart(const TargetRate& rate, std::size_t ahead);

/// What a target has said of itself in its responses, as known at another node.
struct TargetStatement {
    Lifetime lifetime; ///< That the statement is about.
    std::optional<double> callsPerSecond;
    bool isLeaving = false;
    absl::Time observedAt;

    friend bool operator==(const TargetStatement&, const TargetStatement&) = default;
};

/// Shortest time between two calls under a limit.
absl::Duration callInterval(double callsPerSecond);

} // namespace jackdawwall
