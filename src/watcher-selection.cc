#include "jackdawwall/watcher-selection.h"

#include "jackdawwall/core.h"

#include <algorithm>

namespace jackdawwall {
namespace {

bool isAlive(const MemberRecord& record)
{
    return record.member.status == MemberStatus::Alive;
}

/// Time between the renewals of two watchers that follow each other, and the time after which a response
/// counts as lost, as shares of the apply time. Half of it remains for the repetition and for the other
/// nodes.
constexpr double kRenewalShare = 0.25;
constexpr double kResponseShare = 0.25;
constexpr absl::Duration kMaxWait = absl::Seconds(10);
constexpr absl::Duration kMaxResponseTimeout = absl::Milliseconds(1500);

/// Number of nodes that watch, this one included.
std::size_t watcherCount(const MembershipState& state, const WatcherOptions& options)
{
    const auto others = static_cast<std::size_t>(
        std::count_if(state.members.begin(), state.members.end(), [&](const auto& item) {
            return item.first != state.self && isAlive(item.second) && item.second.member.canReachStore;
        }));
    return options.watchers == 0 ? others + 1 : std::min(others + 1, options.watchers);
}

} // namespace

std::size_t rankAmongMembers(const MembershipState& state)
{
    const std::uint64_t ownHash = mixBits(stableHash(state.self));
    return static_cast<std::size_t>(
        std::count_if(state.members.begin(), state.members.end(), [&](const auto& item) {
            const MemberRecord& record = item.second;
            return isAlive(record) && record.member.canReachStore && item.first != state.self
                && mixBits(stableHash(item.first)) < ownHash;
        }));
}

WatchTiming planWatch(const MembershipState& state, const WatcherOptions& options, bool isAligned)
{
    const std::size_t watchers = watcherCount(state, options);
    const std::size_t turns = isAligned ? rankAmongMembers(state) % watchers + 1 : watchers;
    const absl::Duration wait = options.applyTime * kRenewalShare * static_cast<double>(turns);
    return { std::min(kMaxWait, wait), std::min(kMaxResponseTimeout, options.applyTime * kResponseShare) };
}

bool isWatcher(const MembershipState& state, const WatcherOptions& options, absl::Time now)
{
    if (options.watchers == 0 || rankAmongMembers(state) < options.watchers)
        return true;
    return now - state.lastContactAt > options.contactTimeout;
}

} // namespace jackdawwall
