/// Work slots of the target stand-in, granted in FIFO order as by a target that has no priority classes.
#pragma once

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <cstdint>

namespace jackdawwall::standin {

class Slots {
public:
    explicit Slots(int count)
        : count_(count)
    {
    }

    /// Waits for a slot until `deadline`; returns false when none became free in time.
    bool acquire(absl::Time deadline)
    {
        const absl::MutexLock lock(&mutex_);
        const std::uint64_t ticket = nextTicket_++;
        const auto isMyTurn = [&] { return busy_ < count_ && ticket == servingTicket_; };
        ++waiting_;
        const bool hasSlot = mutex_.AwaitWithDeadline(absl::Condition(&isMyTurn), deadline);
        --waiting_;
        if (hasSlot) {
            ++servingTicket_;
            ++busy_;
        } else {
            // Tickets are served in order, so an expired one must wait for its turn before it can be skipped.
            mutex_.Await(absl::Condition(&isMyTurn));
            ++servingTicket_;
        }
        return hasSlot;
    }

    void release()
    {
        const absl::MutexLock lock(&mutex_);
        --busy_;
    }

    int waiting() const
    {
        const absl::MutexLock lock(&mutex_);
        return waiting_;
    }

private:
    mutable absl::Mutex mutex_;
    const int count_;
    int busy_ = 0;
    int waiting_ = 0;
    std::uint64_t nextTicket_ = 0;
    std::uint64_t servingTicket_ = 0;
};

} // namespace jackdawwall::standin
