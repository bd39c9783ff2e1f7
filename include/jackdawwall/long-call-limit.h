/// Limit on the long calls in progress at a target, which reserves the rest of its concurrency for short
/// ones.
#pragma once

#include "jackdawwall/admission.h"

namespace jackdawwall {

/// Number of long calls that may be in progress when one of this class starts.
int longCallLimit(const AdmissionState& state, Priority priority);

} // namespace jackdawwall
