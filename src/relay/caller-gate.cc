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
    const auto position = calls_.insert(calls_.end(), call);
    incoming->onFinished = [this, position] { calls_.erase(position); };
    call->start();
}

void CallerGate::onConfigurationApplied()
{
    const auto calls = calls_; // Copied because each response removes its call from the list.
    for (const auto& weakCall : calls) {
        if (const auto call = weakCall.lock())
            call->onConfigurationApplied();
    }
}

void CallerGate::failPendingCalls()
{
    const auto calls = calls_; // Copied because each response removes its call from the list.
    for (const auto& weakCall : calls) {
        if (const auto call = weakCall.lock())
            call->onDeadline();
    }
}

} // namespace jackdawwall::relay
