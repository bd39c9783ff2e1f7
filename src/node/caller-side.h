/// Takes calls from callers and from the own target and answers them with the whole answer of one target.
#pragma once

#include "adapter/http-server.h"
#include "node/node-state.h"

namespace jackdawwall {

/// Sessions for the callers' port.
HttpServer::Opener callerSide(NodeState& node);

} // namespace jackdawwall
