/// Mutation testing of the fault soak. A test-only build (JACKDAW_BREAKAGES) disables the safeguard that the
/// environment variable JACKDAW_BREAK names; the soak must then fail. Other builds always enable all
/// safeguards.
#pragma once

#ifdef JACKDAW_BREAKAGES
#include "absl/strings/string_view.h"

#include <cstdlib>
#endif

namespace jackdawwall::relay {

#ifdef JACKDAW_BREAKAGES
inline bool isSafeguardDisabled(absl::string_view safeguard)
{
    const char* disabled = std::getenv("JACKDAW_BREAK");
    return disabled != nullptr && safeguard == disabled;
}
#else
constexpr bool isSafeguardDisabled(const char* /*safeguard*/)
{
    return false;
}
#endif

} // namespace jackdawwall::relay
