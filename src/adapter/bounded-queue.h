/// A thread-safe queue of bounded capacity.
#pragma once

#include "absl/synchronization/mutex.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace jackdawwall {

/// Passes items between threads. Writers never block: a full queue rejects the item and counts the rejection.
template <typename Item> class BoundedQueue {
public:
    explicit BoundedQueue(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    /// Appends an item; returns false when the queue is full or closed.
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

    /// Waits for an item; returns std::nullopt once the queue is closed and empty.
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

    /// Rejects further items and wakes all waiting readers.
    void close()
    {
        const absl::MutexLock lock(&mutex_);
        isClosed_ = true;
    }

    /// Number of items rejected because the queue was full or closed.
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
