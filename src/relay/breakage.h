/// Disables single safeguards for tests. A test-only build (JACKDAW_BREAKAGES) skips the safeguard that the
/// environment variable JACKDAW_BREAK names, to verify that the fault soak detects the resulting failure.
/// Other builds compile the check to false.
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
