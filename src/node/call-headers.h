/// Names of the headers of a call, as callers and targets of the product's own interface see them.
#pragma once

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

} // namespace jackdawwall
