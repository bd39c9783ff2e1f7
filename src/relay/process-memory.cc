#include "relay/process-memory.h"

#include <malloc.h>

#include <algorithm>

namespace jackdawwall::relay {
namespace {

/// Blocks of at least this size are mapped one by one. By default the allocator raises the threshold to the
/// largest block that was freed, up to 32 MB, and then keeps up to twice as much of freed memory.
constexpr int kMappedBlockBytes = 256 << 10;
/// Freed memory at the end of the heap that is kept for the next allocations.
constexpr int kKeptBytes = 1 << 20;
/// A release of this size is worth a trim, which takes about 1 ms for 10 MB.
constexpr std::size_t kTrimmedRelease = 4U << 20;
constexpr absl::Duration kTrimInterval = absl::Milliseconds(200);

} // namespace

void configureAllocator()
{
#ifdef M_MMAP_THRESHOLD
    mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
    mallopt(M_TRIM_THRESHOLD, kKeptBytes);
#endif
}

void MemoryTrimmer::tick(std::size_t heldBytes, absl::Time now)
{
    peakBytes_ = std::max(peakBytes_, heldBytes);
    if (peakBytes_ - heldBytes < kTrimmedRelease || now - trimmedAt_ < kTrimInterval)
        return;
    peakBytes_ = heldBytes;
    trimmedAt_ = now;
#ifdef M_MMAP_THRESHOLD
    malloc_trim(0);
#endif
}

} // namespace jackdawwall::relay
