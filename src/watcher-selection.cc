#include "jackdawwall/watcher-selection.h"

#include "jackdawwall/core.h"

#include <algorithm>

namespace jackdawwall {
namespace {

bool isAlive(const MemberRecord& record)
{
    return record.member.status == MemberStatus::Alive;
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

bool isWatcher(const MembershipState& state, const WatcherOptions& options, absl::Time now)
{
    if (options.watchers == 0 || rankAmongMembers(state) < options.watchers)
        return true;
    return now - state.lastContactAt > options.contactTimeout;
}

} // namespace jackdawwall
