/// Encoding of calls between nodes: an HTTP request that carries the call's context in headers, and a
/// response that carries how the call ended.
#pragma once

#include "relay/target-gate.h"

#include <optional>

namespace jackdawwall::relay {

/// A call received from another node.
struct HopCall {
    GateCall call;
    std::string service; ///< Service that the sender expects at this node.
};

/// Head of the request that offers a call to another node. The body is sent after it, unchanged.
std::string encodeCallHead(const GateCall& call, const std::string& service, absl::Time now);
/// Inverse of encodeCallHead on the receiving side; empty when the request is not a call between nodes.
std::optional<HopCall> decodeCall(Request request, const HeaderNames& names, absl::Time now);

/// Response of the target's node to the caller's node.
Response encodeResult(GateResult result);
/// Inverse of encodeResult. A failed exchange becomes Refused when nothing was sent, else Unknown.
GateResult decodeResult(ExchangeResult result);

} // namespace jackdawwall::relay
