/// Headers of a call, as callers send them and as nodes pass them on.
#pragma once

#include "jackdawwall/call-flow.h"

#include "adapter/http-server.h"

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <optional>
#include <string>
#include <vector>

namespace jackdawwall {

// Sent by callers.
inline constexpr const char* kServiceHeader = "Jackdaw-Service";
inline constexpr const char* kCallerHeader = "Jackdaw-Caller";
inline constexpr const char* kKindHeader = "Jackdaw-Kind";
inline constexpr const char* kRequestIdHeader = "Jackdaw-Request-Id";
inline constexpr const char* kDeadlineHeader = "Jackdaw-Deadline-Ms";
inline constexpr const char* kRepeatHeader = "Jackdaw-Repeat";
// Given to targets, which send the first back on calls of their own.
inline constexpr const char* kParentHeader = "Jackdaw-Parent";
inline constexpr const char* kNodeHeader = "Jackdaw-Node";
// On answers.
inline constexpr const char* kOutcomeHeader = "Jackdaw-Outcome";
inline constexpr const char* kReasonHeader = "Jackdaw-Reason";
inline constexpr const char* kRetryAfterHeader = "Jackdaw-Retry-After-Ms";
// Between nodes.
inline constexpr const char* kContextHeader = "Jackdaw-Context";
inline constexpr const char* kFeedbackHeader = "Jackdaw-Feedback";

/// Reads and checks a caller's headers; the error's message says which one is wrong.
absl::StatusOr<CallAsk> readCallAsk(const HttpHead& head);

/// The context as a header value, with the time that remains at `now`.
std::string encodeContext(const CallContext& context, absl::Time now);
/// Empty when the value is not a context.
std::optional<CallContext> decodeContext(absl::string_view value, absl::Time now);

std::string encodeFeedback(const CallFeedback& feedback);
/// Empty when the value is not a feedback.
std::optional<CallFeedback> decodeFeedback(absl::string_view value);

/// A token as the value of kParentHeader.
std::string encodeToken(CallToken token);

/// The headers that are passed on: without the product's own and those of one connection.
std::vector<HttpHeader> forwardedHeaders(const std::vector<HttpHeader>& headers);

/// A refusal or failure: which of the outcomes it is, why, and when to come back.
struct CallFailure {
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    std::string detail;
};

/// Answer for a failure: status, headers, and one line of text.
HttpReply failureReply(const CallFailure& failure);

/// Longest body that is held whole, and so can be sent again.
inline constexpr std::int64_t kHeldBodyBytes = 64LL << 10;

} // namespace jackdawwall
