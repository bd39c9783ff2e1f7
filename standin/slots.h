/// Work slots of the target stand-in: first come, first served, as a target that knows no classes does it.
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

    /// Waits for a slot until `deadline`; false when there was none.
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
            // The place in the line is given up in its turn.
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
