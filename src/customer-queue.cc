#include "jackdawwall/customer-queue.h"

#include <algorithm>

namespace jackdawwall {
namespace {

constexpr double kSpeedWeight = 0.3;
constexpr double kMinimumWeight = 0.01;

double loadOf(const CustomerCalls& calls)
{
    return calls.seconds / calls.weight;
}

double virtualSeconds(const QueuedWork& work)
{
    return work.seconds / std::max(work.weight, kMinimumWeight);
}

/// The customer's next call must not start before its waiting calls.
void addToFinishTag(CustomerCalls& calls, double seconds)
{
    calls.finishTag += seconds;
    if (!calls.byTag.empty())
        calls.finishTag = std::max(calls.finishTag, calls.byTag.rbegin()->first);
}

/// A queue without waiting calls has spare capacity, so nothing that was served before counts any more. The
/// sums restart as well: they are sums of differences and keep a rounding error.
void endBusyPeriod(ClassQueue& queue)
{
    queue.customers.clear();
    queue.seconds = 0;
    queue.weight = 0;
    queue.speed = 0;
    queue.hasBeenEmpty = true;
}

void removeCall(ClassQueue& queue, CustomerCalls& calls, const QueuedWork& work, double startTag)
{
    queue.byLoad.erase({ loadOf(calls), work.customer });
    calls.byTag.erase({ startTag, work.id });
    if (work.isLong && --calls.longCount == 0)
        --queue.longCustomers;
    queue.seconds -= work.seconds;
    calls.seconds -= work.seconds;
    if (calls.byTag.empty()) {
        queue.weight -= calls.weight;
        calls.seconds = 0;
    } else {
        queue.byLoad.emplace(loadOf(calls), work.customer);
    }
    if (queue.byLoad.empty())
        endBusyPeriod(queue);
}

} // namespace

double startTagOf(const ClassQueue& queue, const QueuedWork& work)
{
    const double earliest = queue.virtualTime - kBurstCalls * virtualSeconds(work);
    const auto found = queue.customers.find(work.customer);
    return found == queue.customers.end() ? earliest : std::max(earliest, found->second.finishTag);
}

void addCall(ClassQueue& queue, const QueuedWork& work, double startTag)
{
    CustomerCalls& calls = queue.customers[work.customer];
    if (!calls.byTag.empty()) {
        queue.byLoad.erase({ loadOf(calls), work.customer });
        queue.weight -= calls.weight;
    }
    calls.weight = std::max(work.weight, kMinimumWeight);
    calls.seconds += work.seconds;
    calls.finishTag = startTag + virtualSeconds(work);
    calls.credit = kBurstCalls * virtualSeconds(work);
    calls.byTag.emplace(startTag, work.id);
    if (work.isLong && calls.longCount++ == 0)
        ++queue.longCustomers;
    queue.byLoad.emplace(loadOf(calls), work.customer);
    queue.weight += calls.weight;
    queue.seconds += work.seconds;
}

void removeStarted(ClassQueue& queue, const QueuedWork& work, double startTag)
{
    queue.virtualTime = std::max(queue.virtualTime, startTag);
    const auto found = queue.customers.find(work.customer);
    if (found == queue.customers.end())
        return;
    ++found->second.runningCount;
    removeCall(queue, found->second, work, startTag);
}

void recordEnd(ClassQueue& queue, const QueuedWork& work, double seconds)
{
    const auto found = queue.customers.find(work.customer);
    if (found == queue.customers.end() || found->second.runningCount == 0)
        return; // Started in an earlier busy period.
    --found->second.runningCount;
    addToFinishTag(found->second, (seconds - work.seconds) / std::max(work.weight, kMinimumWeight));
}

void removeRefused(ClassQueue& queue, const QueuedWork& work, double startTag)
{
    const auto found = queue.customers.find(work.customer);
    if (found == queue.customers.end())
        return;
    CustomerCalls& calls = found->second;
    addToFinishTag(calls, -virtualSeconds(work));
    removeCall(queue, calls, work, startTag);
}

void endWindow(ClassQueue& queue, absl::Duration length)
{
    if (!queue.hasBeenEmpty) {
        const double speed = (queue.virtualTime - queue.windowVirtualTime) / absl::ToDoubleSeconds(length);
        queue.speed = queue.speed == 0 ? speed : queue.speed + kSpeedWeight * (speed - queue.speed);
    }
    queue.windowVirtualTime = queue.virtualTime;
    queue.hasBeenEmpty = queue.byLoad.empty();
    absl::erase_if(queue.customers, [&](const auto& item) {
        const CustomerCalls& calls = item.second;
        return calls.byTag.empty() && calls.runningCount == 0
            && calls.finishTag + calls.credit < queue.virtualTime;
    });
}

double waitingLoad(const ClassQueue& queue, std::uint64_t customer)
{
    const auto found = queue.customers.find(customer);
    return found == queue.customers.end() ? 0 : loadOf(found->second);
}

std::optional<std::uint64_t> newestCallOfLargest(const ClassQueue& queue, double load)
{
    if (queue.byLoad.empty() || queue.byLoad.rbegin()->first < load)
        return std::nullopt;
    return queue.customers.at(queue.byLoad.rbegin()->second).byTag.rbegin()->second;
}

double workAhead(const ClassQueue& queue, std::uint64_t customer)
{
    return std::min(queue.seconds, waitingLoad(queue, customer) * queue.weight);
}

absl::Duration measuredWait(const ClassQueue& queue, const QueuedWork& work)
{
    if (queue.speed <= 0)
        return absl::ZeroDuration();
    const double distance = startTagOf(queue, work) - queue.virtualTime;
    return absl::Seconds(std::max(0.0, distance) / queue.speed);
}

} // namespace jackdawwall
