/// Names of the headers that carry a call's context. An adapter may replace the names that callers and
/// targets see.
#pragma once

#include <string>

namespace jackdawwall::relay {

/// Headers between callers, nodes and targets. An empty name disables the header.
struct HeaderNames {
    std::string requestId = "Jackdaw-Request-Id"; ///< Unique for each attempt by a caller; echoed by targets.
    std::string remainingTime
        = "Jackdaw-Time-Left-Ms"; ///< How long the caller will still wait, milliseconds.
    std::string caller = "Jackdaw-Caller"; ///< Service that the calling process belongs to.
    std::string seal = "Jackdaw-Seal"; ///< Set by the target on each response that it made itself.
    std::string notRun = "Jackdaw-Not-Run"; ///< Set by a target that did not run the request.
    std::string notRunValue; ///< Required value of `notRun`; empty accepts any value.
    std::string expectTarget = "Jackdaw-Expect-Target"; ///< Id of the one target that may run the request.
    std::string limit
        = "Jackdaw-Limit"; ///< Requests per second that a target takes; sent with its responses.
    std::string leaving = "Jackdaw-Leaving"; ///< "1" on the responses of a target that leaves.
    std::string kind; ///< Kind of work.
    std::string parent; ///< Token that the target echoes on its own calls.
    std::string node; ///< Address to which the target sends its own calls.
    std::string key; ///< Key that identifies the customer; never forwarded.
    std::string customer; ///< Name of the customer, set on requests to targets.
};

/// Headers between nodes only.
inline constexpr char kServiceHeader[] = "Jackdaw-Hop-Service";
inline constexpr char kRouteHeader[] = "Jackdaw-Hop-Route";
inline constexpr char kPriorityHeader[] = "Jackdaw-Hop-Priority";
inline constexpr char kIdempotentHeader[] = "Jackdaw-Hop-Repeatable";
inline constexpr char kRemainingTimeHeader[] = "Jackdaw-Hop-Left-Ms";
inline constexpr char kLatencyObjectiveHeader[] = "Jackdaw-Hop-Goal-Ms";
/// Number of targets that the request reached, or may have reached, before.
inline constexpr char kArrivalsHeader[] = "Jackdaw-Hop-Arrivals";
inline constexpr char kCallerHeader[] = "Jackdaw-Hop-Caller";
/// At most one of the two is sent: the customer of the request, which the target is told, or that of the run
/// that made a nested call, which it is not told.
inline constexpr char kCustomerHeader[] = "Jackdaw-Hop-Customer";
inline constexpr char kRunCustomerHeader[] = "Jackdaw-Hop-Run-Customer";
inline constexpr char kChainHeader[] = "Jackdaw-Hop-Chain"; ///< Fields passed down the whole call chain.
inline constexpr char kEndHeader[] = "Jackdaw-Hop-End"; ///< On responses: how the call ended at the node.
inline constexpr char kReasonHeader[] = "Jackdaw-Hop-Reason";
inline constexpr char kWaitingHeader[] = "Jackdaw-Hop-Waiting"; ///< Number of calls queued at the node.
inline constexpr char kFeedbackHeader[] = "Jackdaw-Hop-Feedback"; ///< Fields passed back up the call chain.
/// Running calls, limit, queued calls, mean call time (us) of the gate and the time (us) that it held the
/// call; only with the setting `balance`.
inline constexpr char kLoadHeader[] = "Jackdaw-Hop-Load";
/// What the target has said of itself (TargetStatement). On responses as its node knows it, on calls as the
/// caller's node knows it.
inline constexpr char kStatementHeader[] = "Jackdaw-Hop-Statement";
inline constexpr char kNoAlternativeHeader[] = "Jackdaw-Hop-Last"; ///< See GateCall::hasAlternative.
inline constexpr char kRetryAfterHeader[] = "Jackdaw-Hop-Retry-Ms"; ///< See CallFeedback::retryAfter.
inline constexpr char kMembershipUpdateHeader[] = "Jackdaw-Hop-News"; ///< Marks a membership message.
inline constexpr char kLeaseHeader[] = "Jackdaw-Hop-Lease"; ///< Marks lease requests of a node.

} // namespace jackdawwall::relay
