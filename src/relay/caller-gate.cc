#include "relay/caller-gate.h"

#include "relay/caller-call.h"

namespace jackdawwall::relay {

void CallerGate::accept(const IncomingRequestPtr& incoming)
{
    OpenedCall opened = interface_.open(state_, *incoming);
    if (auto* refusal = std::get_if<Response>(&opened)) {
        incoming->respond(std::move(*refusal));
        return;
    }
    const auto call = std::make_shared<CallerCall>(
        state_, interface_, incoming, std::get<OutboundCall>(std::move(opened)));
    const auto place = calls_.insert(calls_.end(), call);
    incoming->onFinished = [this, place] { calls_.erase(place); };
    call->start();
}

void CallerGate::endAll()
{
    const auto calls = calls_; // Each answer takes its call off the list.
    for (const auto& held : calls) {
        if (const auto call = held.lock())
            call->onDeadline();
    }
}

} // namespace jackdawwall::relay
