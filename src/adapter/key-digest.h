/// Salted hashes of customers' keys. Nodes compare and exchange hashes, never the keys.
#pragma once

#include "jackdawwall/route-table.h"

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

#include <cstdint>
#include <optional>
#include <string>

namespace jackdawwall {

/// A random salt for hashKey.
std::string makeKeySalt();

/// BLAKE2b of a key, keyed by a salt of makeKeySalt.
KeyHash hashKey(absl::string_view salt, absl::string_view key);

/// Lower-case hexadecimal text of a hash or a salt.
std::string toHex(absl::Span<const std::uint8_t> bytes);
std::string toHex(absl::string_view bytes);

/// Inverse of toHex; empty unless the text has exactly the length of a hash, or of a salt.
std::optional<KeyHash> keyHashFromHex(absl::string_view text);
std::optional<std::string> keySaltFromHex(absl::string_view text);

} // namespace jackdawwall
