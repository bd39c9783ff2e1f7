/// The callers' side of a node: resolves requests into calls, sends them to the nodes of targets, retries
/// where that is safe, and responds.
#pragma once

#include "relay/call-interface.h"
#include "relay/relay-state.h"

#include <list>
#include <memory>

namespace jackdawwall::relay {

class CallerGate {
public:
    CallerGate(RelayState& state, CallInterface interface)
        : state_(state)
        , interface_(std::move(interface))
    {
    }

    /// Handles a request of a caller or of the local target.
    void accept(const IncomingRequestPtr& incoming);
    /// Refuses the queued calls whose key the new configuration has withdrawn.
    void onConfigurationApplied();
    /// Ends all pending calls with a timeout response. Called before the process exits.
    void failPendingCalls();

private:
    RelayState& state_;
    const CallInterface interface_;
    std::list<std::weak_ptr<class CallerCall>> calls_;
};

} // namespace jackdawwall::relay
