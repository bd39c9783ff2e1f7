/// Adapter between the callers' protocol and the relay: resolves a request into a call and builds the
/// response for its outcome. The call logic in between is the same for every interface.
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

/// Why a call was refused or failed.
struct CallFailure {
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    std::string detail; ///< Human-readable; may be empty.
    absl::Duration retryAfter {}; ///< When the call may be admitted; 0 if it is not known.
};

/// The call that a request resolves to, or the response that refuses it.
using OpenedCall = std::variant<OutboundCall, Response>;

/// Reports the result of a claim. The failure is empty when this call may run the work. `release` removes
/// the claim again once it is certain that the work did not run; it may be null.
using ClaimCallback = std::function<void(std::optional<CallFailure>, std::function<void()> release)>;

struct CallInterface {
    /// Resolves a request; may remove headers that are not meant for the target.
    std::function<OpenedCall(RelayState&, IncomingRequest&)> open;
    /// Checks the key of an opened call again if the configuration has changed since; false if it is no
    /// longer a key of the call's customer. Null: calls have no keys.
    std::function<bool(RelayState&, OutboundCall&)> isKeyValid;
    /// Builds the response for a failure. `callerRemainingTime`: how long the caller will still wait.
    std::function<Response(const CallFailure&, absl::Duration callerRemainingTime)> makeFailureResponse;
    /// Adds headers to a target's response before it is forwarded; may be null.
    std::function<void(Response&, const AttemptResult&)> markResponse;
    /// Claims work that must run at most once across all callers; null when each attempt has its own id.
    std::function<void(const OutboundCall&, ClaimCallback)> claim;
};

} // namespace jackdawwall::relay
