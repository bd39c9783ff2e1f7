/// One thread that runs the periodic work of all parts that subscribe to it.
#pragma once

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <thread>
#include <vector>

namespace jackdawwall {

/// Calls subscribers at their interval, late rather than twice when one of them is slow.
class TimerService {
public:
    TimerService();
    ~TimerService();
    TimerService(const TimerService&) = delete;
    TimerService& operator=(const TimerService&) = delete;

    /// Calls `work` every `interval` until stop; `work` must not block for long.
    void subscribe(absl::Duration interval, std::function<void(absl::Time)> work);

    /// Ends all subscriptions and joins the thread. Safe to call twice.
    void stop();

private:
    struct Subscription {
        absl::Duration interval;
        std::function<void(absl::Time)> work;
        absl::Time next;
    };

    void run();
    absl::Time runDue();

    absl::Mutex mutex_;
    std::vector<Subscription> subscriptions_;
    bool isStopping_ = false;
    std::thread thread_;
};

} // namespace jackdawwall
