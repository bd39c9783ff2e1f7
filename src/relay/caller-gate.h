/// The callers' side of a node: resolves a request against the routes, chooses a node beside a target, tries
/// another where that can do no harm, and answers.
#pragma once

#include "relay/http-listener.h"
#include "relay/relay-state.h"

#include <list>
#include <memory>

namespace jackdawwall::relay {

class CallerGate {
public:
    explicit CallerGate(RelayState& state)
        : state_(state)
    {
    }

    /// Takes a request of a caller or of the own target.
    void accept(const IncomingPtr& incoming);
    /// Answers all that is still open; for the end of the process.
    void endAll();

private:
    RelayState& state_;
    std::list<std::weak_ptr<class CallerCall>> calls_;
};

} // namespace jackdawwall::relay
