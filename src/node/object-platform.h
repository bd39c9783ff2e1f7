/// The platform as the product assumes it: the catalogue is one object, and a few records in each data centre
/// name nodes by which others find the rest.
#pragma once

#include "node/object-api.h"
#include "relay/platform-port.h"

#include "absl/strings/string_view.h"

#include <string>

namespace jackdawwall {

/// Key prefix of the records: "seeds/<data centre>/<slot>".
inline constexpr const char* kSeedPrefix = "seeds/";
/// Records of one data centre. A starting node takes over the one that its name's hash falls on, and meets
/// the node that held it before.
inline constexpr std::uint64_t kSeedSlots = 4;

/// Ports of a node in `dataCentre`.
relay::PlatformPort objectPlatform(const ObjectApi& objects, const std::string& dataCentre);

/// Operator address in a seed record; empty for any other text.
std::string operatorAddressOf(const std::string& record);

} // namespace jackdawwall
