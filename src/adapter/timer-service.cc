#include "adapter/timer-service.h"

#include "absl/time/clock.h"

#include <algorithm>

namespace jackdawwall {

TimerService::TimerService()
    : thread_([this] { run(); })
{
}

TimerService::~TimerService()
{
    stop();
}

void TimerService::subscribe(absl::Duration interval, std::function<void(absl::Time)> work)
{
    const absl::MutexLock lock(&mutex_);
    subscriptions_.push_back({ interval, std::move(work), absl::Now() + interval });
}

void TimerService::stop()
{
    {
        const absl::MutexLock lock(&mutex_);
        isStopping_ = true;
    }
    if (thread_.joinable())
        thread_.join();
}

absl::Time TimerService::runDue()
{
    // Work runs without the lock, so that a subscriber may subscribe.
    const absl::Time now = absl::Now();
    std::vector<std::function<void(absl::Time)>> due;
    absl::Time next = now + absl::Milliseconds(100);
    {
        const absl::MutexLock lock(&mutex_);
        for (Subscription& subscription : subscriptions_) {
            if (subscription.next <= now) {
                due.push_back(subscription.work);
                subscription.next = now + subscription.interval;
            }
            next = std::min(next, subscription.next);
        }
    }
    for (const auto& work : due)
        work(now);
    return next;
}

void TimerService::run()
{
    while (true) {
        const absl::Time next = runDue();
        const absl::MutexLock lock(&mutex_);
        if (mutex_.AwaitWithDeadline(absl::Condition(&isStopping_), next))
            return;
    }
}

} // namespace jackdawwall
