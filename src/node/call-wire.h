/// Headers of a call, as callers send them and as nodes pass them on.
#pragma once

#include "jackdawwall/core.h"

#include "adapter/http-server.h"
#include "generated/wire.pb.h"

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

/// What a caller asks for, read from its headers and checked.
struct CallerRequest {
    std::string service;
    std::string caller;
    std::string kind;
    std::string requestId;
    std::optional<absl::Duration> deadline;
    bool asksOnce = false; ///< "Jackdaw-Repeat: never".
    std::string parent; ///< Token of the inbound call that this one serves.
};

/// Reads and checks a caller's headers; the error's message says which one is wrong.
absl::StatusOr<CallerRequest> readCallerRequest(const HttpHead& head);

/// A message as a header value.
std::string encodeHeader(const google::protobuf::MessageLite& message);
/// False when the value is not such a message.
bool decodeHeader(absl::string_view value, google::protobuf::MessageLite& message);

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
