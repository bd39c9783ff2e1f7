/// Takes calls from other nodes, admits them, passes them to the own target and returns its answers.
#pragma once

#include "adapter/http-server.h"
#include "node/node-state.h"

namespace jackdawwall {

/// Sessions for the port that other nodes use.
HttpServer::Opener targetSide(NodeState& node);

} // namespace jackdawwall
