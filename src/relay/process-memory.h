/// Returns freed memory of the process to the system.
#pragma once

#include "absl/time/time.h"

#include <cstddef>

namespace jackdawwall::relay {

/// Sets fixed thresholds for the allocator in proportion to the memory limit of the process, so that freed
/// large blocks are returned at once.
void configureAllocator(std::size_t memoryBytes);

/// Returns the pages of freed small blocks to the system after a large release.
class MemoryTrimmer {
public:
    /// `heldBytes` is what the process holds now. Call it every 10 to 100 ms.
    void tick(std::size_t heldBytes, absl::Time now);

private:
    std::size_t peakBytes_ = 0; ///< Largest value since the last trim.
    absl::Time trimmedAt_ = absl::InfinitePast();
};

} // namespace jackdawwall::relay
