/// Deliberate breakages: a test-only build (JACKDAW_BREAKAGES) drops the safeguard that the variable
/// JACKDAW_BREAK names, so that the fault soak can be seen to notice. In all other builds nothing is left of
/// them.
#pragma once

#ifdef JACKDAW_BREAKAGES
#include "absl/strings/string_view.h"

#include <cstdlib>
#endif

namespace jackdawwall::relay {

#ifdef JACKDAW_BREAKAGES
inline bool isSafeguardDisabled(absl::string_view safeguard)
{
    const char* named = std::getenv("JACKDAW_BREAK");
    return named != nullptr && safeguard == named;
}
#else
constexpr bool isSafeguardDisabled(const char* /*safeguard*/)
{
    return false;
}
#endif

} // namespace jackdawwall::relay
