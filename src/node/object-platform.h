/// A platform port based on the object API. The catalogue is a single object, and a few seed records in each
/// data centre hold addresses of nodes, through which a starting node discovers all others.
#pragma once

#include "node/object-api.h"
#include "relay/platform-port.h"

#include "absl/strings/string_view.h"

#include <string>

namespace jackdawwall {

/// Key prefix of the records: "seeds/<data centre>/<slot>".
inline constexpr const char* kSeedPrefix = "seeds/";
/// Number of seed records in each data centre. A starting node overwrites the record selected by the hash of
/// its name and contacts the node that the record named before.
inline constexpr std::uint64_t kSeedSlots = 4;

/// Creates the platform port of a node in `dataCentre`.
relay::PlatformPort objectPlatform(const ObjectApi& objects, const std::string& dataCentre);

/// Operator address in a seed record; empty for any other text.
std::string operatorAddressIn(const std::string& record);

} // namespace jackdawwall
