#include "jackdawwall/connection-eviction.h"

namespace jackdawwall {

EvictionRank memoryEvictionRank(const ConnectionLoad& load, absl::Time now)
{
    if (load.heldBytes < kMinEvictedBytes)
        return EvictionRank::Never;
    if (load.isWriting && now - load.waitingSince >= kUnreadTime)
        return EvictionRank::Unread;
    const bool isIncomplete = load.hasPartialRequest && !load.hasCompleteRequest && !load.isWriting;
    return isIncomplete ? EvictionRank::Incomplete : EvictionRank::Never;
}

EvictionRank connectionEvictionRank(const ConnectionLoad& load, absl::Duration reusedFor, absl::Time now)
{
    if (load.isWriting)
        return now - load.waitingSince >= kUnreadTime ? EvictionRank::Unread : EvictionRank::Never;
    if (load.hasCompleteRequest)
        return EvictionRank::Never;
    if (load.hasPartialRequest || load.isNew)
        return EvictionRank::Incomplete;
    return now - load.waitingSince >= reusedFor ? EvictionRank::Idle : EvictionRank::Never;
}

bool isEvictedBefore(const EvictionCandidate& left, const EvictionCandidate& right)
{
    if (left.rank != right.rank)
        return left.rank > right.rank;
    return left.waitingSince < right.waitingSince;
}

} // namespace jackdawwall
