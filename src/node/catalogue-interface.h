/// Callers that name a kind of work: the operators' catalogue says which service does it, in which class and
/// how often it may run.
#pragma once

#include "node/object-api.h"
#include "relay/call-interface.h"
#include "relay/relay-state.h"

#include "absl/status/statusor.h"

#include <string>

namespace jackdawwall {

/// Interface for callers of the product; claims of unrepeatable work go to `objects`.
relay::CallInterface catalogueInterface(const ObjectApi& objects);

/// Headers of calls, as targets of the product see them.
relay::HeaderNames catalogueHeaders();

/// A stored catalogue as nodes hand it on, with its version.
std::string packCatalogue(const StoredObject& stored);
/// Inverse of packCatalogue, checked.
absl::StatusOr<relay::Configuration> unpackCatalogue(const std::string& document);

/// Reads and checks a caller's headers; the error's message says which one is wrong.
absl::StatusOr<CallAsk> readCallRequest(const relay::Request& request);

} // namespace jackdawwall
