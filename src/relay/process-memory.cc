#include "relay/process-memory.h"

#include <malloc.h>

#include <algorithm>

namespace jackdawwall::relay {
namespace {

/// Blocks of at least this part of the memory are mapped one by one, and as much freed memory is kept at the
/// end of the heap. By default the allocator raises both with the largest block that was freed, up to 32 and
/// 64 MB. Small thresholds are expensive: with 256 KiB, an upload of 1 MB took 0.8 ms of processor time in
/// place of 0.25 ms.
constexpr std::size_t kAllocatorShare = 32;
constexpr std::size_t kMaxThreshold = 32U << 20; ///< Of the allocator.
/// A release of this size is worth a trim, which takes about 1 ms for 10 MB.
constexpr std::size_t kTrimmedRelease = 4U << 20;
constexpr absl::Duration kTrimInterval = absl::Milliseconds(200);

} // namespace

void configureAllocator([[maybe_unused]] std::size_t memoryBytes)
{
#ifdef M_MMAP_THRESHOLD
    const int threshold = static_cast<int>(std::min(memoryBytes / kAllocatorShare, kMaxThreshold));
    mallopt(M_MMAP_THRESHOLD, threshold);
    mallopt(M_TRIM_THRESHOLD, threshold);
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
