/// One call on its way from this node to a target: resolved against the catalogue, then tried, retried and
/// hedged inside its allowance.
#pragma once

#include "node/call-wire.h"
#include "node/claim-store.h"
#include "node/node-state.h"

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <memory>
#include <string>
#include <vector>

namespace jackdawwall {

/// A call with everything that the catalogue and its parent say of it.
struct OutgoingCall {
    std::string service;
    std::string caller;
    std::string kind;
    std::string requestId;
    Priority priority = Priority::Browse;
    std::uint32_t rank = 0;
    std::uint32_t weight = 1;
    std::uint32_t depth = 0;
    double callsPerSecond = 0; ///< Limit of the caller; 0 is none.
    bool isRepeatable = true;
    absl::Time start;
    absl::Time deadline;
    Allowance allowance;
    std::string parent; ///< Token; empty for a root request.
    PathKey path;
};

/// Resolves a caller's request; refuses a call whose parent is gone, since nobody waits for it.
absl::StatusOr<OutgoingCall> resolveCall(NodeState& node, const CallerRequest& request, absl::Time now);

/// Refusals that need no target: caller's limit, and ranks that the path does not admit. None to go on.
Reason refuseEarly(NodeState& node, const OutgoingCall& call, absl::Time now);

/// What an attempt sends.
struct AttemptBody {
    const HttpHead& head;
    absl::string_view body;
    bool isStreamed = false;
};

/// One copy of the call at one target.
struct Attempt {
    std::string address;
    std::unique_ptr<Exchange> exchange;
    std::uint32_t lent = 0; ///< Extra attempts handed along.
    absl::Time startedAt;
};

/// Address of a target for the next attempt; empty when there is none that was not tried.
std::string pickAddress(NodeState& node, const OutgoingCall& call, const std::vector<std::string>& tried);

/// Sends one attempt.
Attempt startAttempt(
    NodeState& node, OutgoingCall& call, const std::string& address, const AttemptBody& body);

/// Waits for an attempt's head, sending a hedge when that may help; returns the attempt to be judged.
Attempt awaitAttempt(NodeState& node, OutgoingCall& call, Attempt attempt, const AttemptBody& body,
    std::vector<std::string>& tried);

/// Judges an attempt whose head is here or that failed, and learns from it.
AttemptEnd concludeAttempt(NodeState& node, OutgoingCall& call, Attempt& attempt);

/// True when the call may be tried once more; takes what that costs.
bool takeAnotherAttempt(NodeState& node, OutgoingCall& call, const AttemptEnd& end, absl::Time now);

/// Gives the unspent allowance and the result back to the parent.
void closeCall(NodeState& node, const OutgoingCall& call, const AttemptEnd& end);

} // namespace jackdawwall
