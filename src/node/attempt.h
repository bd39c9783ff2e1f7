/// Attempts of an outbound call over HTTP: sends what the decisions chose and reports what came back.
#pragma once

#include "adapter/http-server.h"
#include "node/node-state.h"

#include <memory>
#include <string>

namespace jackdawwall {

/// What an attempt sends.
struct AttemptBody {
    const HttpHead& head;
    absl::string_view body;
    bool isStreamed = false;
};

/// One copy of the call under way.
struct Attempt {
    Sending sending;
    std::unique_ptr<Exchange> exchange;
};

/// Sends one copy.
Attempt startAttempt(NodeState& node, const OutboundCall& call, Sending sending, const AttemptBody& body);

/// Waits for the head of the answer, sending a hedge when that may help; the copy that lost is cancelled.
Attempt awaitAnswer(NodeState& node, OutboundCall& call, Attempt attempt, const AttemptBody& body);

/// Judges a copy that has its head or failed, and lets the decisions learn from it.
AttemptEnd concludeAttempt(NodeState& node, OutboundCall& call, Attempt& attempt);

/// True when the answer is whole or may still be read to its end.
bool isAnswered(const Exchange& exchange);

/// Largest answer that is awaited whole before it is passed on.
inline constexpr std::int64_t kSmallAnswerBytes = static_cast<std::int64_t>(kAnswerBufferBytes);

} // namespace jackdawwall
