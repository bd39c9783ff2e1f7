/// The operators' port of a node: status, metrics, recent events, and a catalogue handed over directly.
#pragma once

#include "adapter/http-server.h"
#include "node/gossip.h"
#include "node/node-state.h"

namespace jackdawwall {

/// Handler of the operators' port: GET /status, /metrics, /events, /members; POST /catalogue.
HttpReply answerOperator(NodeState& node, Gossip& gossip, const HttpRequest& request);

} // namespace jackdawwall
