/// The callers' side of a node: resolves a request against the routes, chooses a node beside a target, tries
/// another where that can do no harm, and answers.
#pragma once

#include "relay/http-listener.h"
#include "relay/relay-state.h"

namespace jackdawwall::relay {

class CallerGate {
public:
    explicit CallerGate(RelayState& state)
        : state_(state)
    {
    }

    /// Takes a request of a caller or of the own target.
    void accept(const IncomingPtr& incoming);

private:
    RelayState& state_;
};

} // namespace jackdawwall::relay
