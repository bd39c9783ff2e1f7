/// How callers speak to a node, as a port: what a request asks for, and how its end is told. The engine
/// between both is the same for every interface.
#pragma once

#include "jackdawwall/call-flow.h"
#include "relay/http-listener.h"

#include "absl/time/time.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace jackdawwall::relay {

struct RelayState;

/// A refusal or failure: which of the outcomes it is, and why.
struct CallFailure {
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    std::string detail; ///< For people; may be empty.
};

/// The call that a request asks for, or the answer that refuses it.
using OpenedCall = std::variant<OutboundCall, Response>;

/// End of a claim: empty when the work is this call's to run. `release` gives the claim back after proof
/// that the work did not run; it may be null.
using ClaimDone = std::function<void(std::optional<CallFailure>, std::function<void()> release)>;

struct CallInterface {
    /// Resolves a request; may drop headers that are not meant for the target.
    std::function<OpenedCall(RelayState&, IncomingRequest&)> open;
    /// The answer for a failure. `callerLeft`: time that the caller still waits.
    std::function<Response(const CallFailure&, absl::Duration callerLeft)> failure;
    /// Marks a target's own answer before it is passed on; may be null.
    std::function<void(Response&, const AttemptEnd&)> mark;
    /// Claims work that runs at most once over all callers; null when each sending has its own id.
    std::function<void(const OutboundCall&, ClaimDone)> claim;
};

} // namespace jackdawwall::relay
