/// Discrete-event simulation in virtual time. Events run in order of time, and those of the same time in the
/// order of scheduling, which makes runs reproducible.
#pragma once

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace jackdawwall::bench {

class Simulation {
public:
    absl::Time now() const { return now_; }

    void at(absl::Time time, std::function<void()> action)
    {
        events_.push({ std::max(time, now_), ++lastNumber_, std::move(action) });
    }

    void after(absl::Duration delay, std::function<void()> action) { at(now_ + delay, std::move(action)); }

    /// Runs all events up to `end`.
    void runUntil(absl::Time end)
    {
        while (!events_.empty() && events_.top().time <= end) {
            Event event = std::move(const_cast<Event&>(events_.top()));
            events_.pop();
            now_ = event.time;
            event.action();
        }
        now_ = end;
    }

private:
    struct Event {
        absl::Time time;
        std::uint64_t number;
        std::function<void()> action;

        bool operator<(const Event& other) const
        {
            return time != other.time ? time > other.time : number > other.number;
        }
    };

    absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
    std::uint64_t lastNumber_ = 0;
    std::priority_queue<Event> events_;
};

} // namespace jackdawwall::bench
