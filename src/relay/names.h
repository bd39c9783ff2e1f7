/// Names of the headers that carry a call's context. An adapter may replace those that callers and targets
/// see.
#pragma once

#include <string>

namespace jackdawwall::relay {

/// Headers between callers, nodes and targets. An empty name is a header that is not used.
struct HeaderNames {
    std::string requestId = "Jackdaw-Request-Id"; ///< One for each sending by a caller; echoed by targets.
    std::string remainingTime = "Jackdaw-Time-Left-Ms"; ///< Milliseconds that the caller still waits.
    std::string caller = "Jackdaw-Caller"; ///< Service that the calling process belongs to.
    std::string seal = "Jackdaw-Seal"; ///< Mark that the target puts on each answer of its own.
    std::string notRun = "Jackdaw-Not-Run"; ///< Set by a target that did not run the request.
    std::string notRunValue; ///< Its value that says so; empty: any.
    std::string expectTarget = "Jackdaw-Expect-Target"; ///< Id of the only target that may run the request.
    std::string kind; ///< Kind of work.
    std::string parent; ///< Token that the target gives back on calls of its own.
    std::string node; ///< Address for the target's own calls.
};

/// Headers between nodes only.
inline constexpr char kServiceHeader[] = "Jackdaw-Hop-Service";
inline constexpr char kRouteHeader[] = "Jackdaw-Hop-Route";
inline constexpr char kPriorityHeader[] = "Jackdaw-Hop-Priority";
inline constexpr char kIdempotentHeader[] = "Jackdaw-Hop-Repeatable";
inline constexpr char kRemainingTimeHeader[] = "Jackdaw-Hop-Left-Ms";
inline constexpr char kLatencyObjectiveHeader[] = "Jackdaw-Hop-Goal-Ms";
inline constexpr char kArrivalsHeader[]
    = "Jackdaw-Hop-Arrivals"; ///< Targets that the request reached before.
inline constexpr char kCallerHeader[] = "Jackdaw-Hop-Caller";
inline constexpr char kChainHeader[] = "Jackdaw-Hop-Chain"; ///< What a call hands down its whole chain.
inline constexpr char kEndHeader[] = "Jackdaw-Hop-End"; ///< On answers: how the call ended at the node.
inline constexpr char kReasonHeader[] = "Jackdaw-Hop-Reason";
inline constexpr char kWaitingHeader[] = "Jackdaw-Hop-Waiting"; ///< Calls that wait at the node.
inline constexpr char kFeedbackHeader[] = "Jackdaw-Hop-Feedback"; ///< What a chain hands back.
inline constexpr char kMembershipUpdateHeader[] = "Jackdaw-Hop-News"; ///< Marks a message of the membership.

} // namespace jackdawwall::relay
