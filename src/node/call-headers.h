/// Header names of the catalogue interface, as seen by callers and targets.
#pragma once

namespace jackdawwall {

// Sent by callers.
inline constexpr const char* kServiceHeader = "Jackdaw-Service";
inline constexpr const char* kCallerHeader = "Jackdaw-Caller";
inline constexpr const char* kKindHeader = "Jackdaw-Kind";
inline constexpr const char* kRequestIdHeader = "Jackdaw-Request-Id";
inline constexpr const char* kDeadlineHeader = "Jackdaw-Deadline-Ms";
inline constexpr const char* kRepeatHeader = "Jackdaw-Repeat";
// Sent to targets. A target copies Jackdaw-Parent to the calls that it makes itself.
inline constexpr const char* kParentHeader = "Jackdaw-Parent";
inline constexpr const char* kNodeHeader = "Jackdaw-Node";
// Sent by targets with their responses: requests per second that they take.
inline constexpr const char* kLimitHeader = "Jackdaw-Limit";
// Sent with responses.
inline constexpr const char* kOutcomeHeader = "Jackdaw-Outcome";
inline constexpr const char* kReasonHeader = "Jackdaw-Reason";
inline constexpr const char* kRetryAfterHeader = "Jackdaw-Retry-After-Ms";

} // namespace jackdawwall
