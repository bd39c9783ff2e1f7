/// The call interface for callers that name a kind of work. The operators' catalogue maps the kind to its
/// service, its priority class and whether it is idempotent.
#pragma once

#include "node/object-api.h"
#include "relay/call-interface.h"
#include "relay/relay-state.h"

#include "absl/status/statusor.h"

#include <string>

namespace jackdawwall {

/// Creates the call interface; claims for non-idempotent work are stored through `objects`.
relay::CallInterface catalogueInterface(const ObjectApi& objects);

/// Header names that targets see.
relay::HeaderNames catalogueHeaders();

/// Serializes a stored catalogue with its version, for distribution between nodes.
std::string packCatalogue(const StoredObject& stored);
/// Parses and validates the output of packCatalogue; InvalidArgument when any part of it is invalid.
absl::StatusOr<relay::Configuration> unpackCatalogue(const std::string& document);

/// Reads and validates the headers of a call; the error message names the invalid header.
absl::StatusOr<CallRequest> readCallRequest(const relay::Request& request);

} // namespace jackdawwall
