/// Decides which connections a process closes when its memory or its descriptors are used up.
#pragma once

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>

namespace jackdawwall {

/// Reasons to evict a connection, the first to be evicted last.
enum class EvictionRank : std::uint8_t {
    Never, ///< Ordinary: it waits for a response, or may be reused.
    Idle, ///< Idle for so long that no client relies on it.
    Unread, ///< Its client does not read the responses.
    Incomplete, ///< Its client has sent a part of a request, or nothing at all.
};

/// What a connection holds and since when.
struct ConnectionLoad {
    std::size_t heldBytes = 0;
    bool hasCompleteRequest = false; ///< A complete request was received and waits for its response.
    bool hasPartialRequest = false;
    bool isWriting = false; ///< Response bytes are not taken by the kernel yet.
    bool isNew = false; ///< No complete request was received so far.
    /// Start of the partial request, last progress of a write, or start of the idle time.
    absl::Time waitingSince;
};

/// A response whose client made no progress for this long counts as not read.
inline constexpr absl::Duration kUnreadTime = absl::Seconds(2);
/// A connection that holds less is not closed to release memory.
inline constexpr std::size_t kMinEvictedBytes = 4U << 10;

/// Rank of a connection when memory is needed.
EvictionRank memoryEvictionRank(const ConnectionLoad& load, absl::Time now);
/// Rank of a connection when the number of connections is at its limit. `reusedFor`: clients reuse
/// connections that have been idle for up to this time.
EvictionRank connectionEvictionRank(const ConnectionLoad& load, absl::Duration reusedFor, absl::Time now);

/// A connection to evict, and how it compares to others.
struct EvictionCandidate {
    EvictionRank rank = EvictionRank::Never;
    absl::Time waitingSince;
};

/// True if `left` is evicted rather than `right`: by rank, then the one that has waited longer.
bool isEvictedBefore(const EvictionCandidate& left, const EvictionCandidate& right);

} // namespace jackdawwall
