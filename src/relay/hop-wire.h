/// Calls between nodes: an HTTP request with the call's context in headers of our own, and the way it ended.
#pragma once

#include "relay/target-gate.h"

#include <optional>

namespace jackdawwall::relay {

/// A call as another node offers it.
struct HopCall {
    GateCall call;
    std::string service; ///< That the sender believes to be here.
};

/// Head of the request that offers a call to another node; its body follows as it is.
std::string encodeCallHead(const GateCall& call, const std::string& service, absl::Time now);
/// Inverse of encodeCallHead on the receiving side; empty for anything else.
std::optional<HopCall> decodeCall(Request request, const HeaderNames& names, absl::Time now);

/// Answer of the node beside the target.
Response encodeResult(GateResult result);
/// Inverse of encodeResult; a broken exchange becomes the doubt that it leaves.
GateResult decodeResult(ExchangeResult result);

} // namespace jackdawwall::relay
