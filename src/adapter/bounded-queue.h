/// Joins two duties: a ring of fixed length between threads.
#pragma once

#include "absl/synchronization/mutex.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace jackdawwall {

/// Never blocks its writers: a full ring refuses and counts.
template <typename Item> class BoundedQueue {
public:
    explicit BoundedQueue(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    /// False when the ring is full or closed.
    bool push(Item item)
    {
        const absl::MutexLock lock(&mutex_);
        if (isClosed_ || items_.size() >= capacity_) {
            ++rejectedCount_;
            return false;
        }
        items_.push_back(std::move(item));
        return true;
    }

    /// Waits for an item; empty once the ring is closed and drained.
    std::optional<Item> pop()
    {
        const absl::MutexLock lock(&mutex_);
        mutex_.Await(absl::Condition(this, &BoundedQueue::isPopReady));
        if (items_.empty())
            return std::nullopt;
        Item item = std::move(items_.front());
        items_.pop_front();
        return item;
    }

    /// Ends all waits.
    void close()
    {
        const absl::MutexLock lock(&mutex_);
        isClosed_ = true;
    }

    /// Items refused because the ring was full.
    std::uint64_t rejectedCount() const
    {
        const absl::MutexLock lock(&mutex_);
        return rejectedCount_;
    }

private:
    bool isPopReady() const { return isClosed_ || !items_.empty(); }

    mutable absl::Mutex mutex_;
    std::deque<Item> items_;
    const std::size_t capacity_;
    std::uint64_t rejectedCount_ = 0;
    bool isClosed_ = false;
};

} // namespace jackdawwall
