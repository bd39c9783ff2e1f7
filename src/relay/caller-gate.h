/// The callers' side of a node: opens the call that a request asks for, sends it to nodes beside targets,
/// again where that can do no harm, and answers.
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

    /// Takes a request of a caller or of the own target.
    void accept(const IncomingRequestPtr& incoming);
    /// Answers all that is still open; for the end of the process.
    void endAll();

private:
    RelayState& state_;
    const CallInterface interface_;
    std::list<std::weak_ptr<class CallerCall>> calls_;
};

} // namespace jackdawwall::relay
