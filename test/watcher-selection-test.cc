#include "jackdawwall/watcher-selection.h"

#include "absl/strings/str_cat.h"
#include "test/table.h"

#include <functional>
#include <vector>

namespace jackdawwall {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
constexpr std::size_t kNodes = 196;
constexpr std::size_t kWatchers = 8;

Member nodeMember(std::size_t index)
{
    Member result;
    result.peerAddress = absl::StrCat("10.0.", index / 250, ".", index % 250 + 1, ":1");
    result.incarnation = 1;
    return result;
}

/// The views of a fleet in which all nodes know each other.
std::vector<MembershipState> fleet(std::size_t nodes = kNodes)
{
    std::vector<Member> members;
    for (std::size_t index = 0; index < nodes; ++index)
        members.push_back(nodeMember(index));
    std::vector<MembershipState> views;
    for (const Member& self : members) {
        views.push_back(makeMembership(self, {}, kStart));
        mergeMembers(views.back(), members, kStart);
    }
    return views;
}

std::vector<std::size_t> watchersOf(const std::vector<MembershipState>& views, absl::Time now)
{
    std::vector<std::size_t> result;
    for (std::size_t index = 0; index < views.size(); ++index) {
        if (isWatcher(views[index], { kWatchers }, now))
            result.push_back(index);
    }
    return result;
}

void applyToAll(std::vector<MembershipState>& views, const std::vector<std::size_t>& affected,
    const std::function<void(Member&)>& change)
{
    for (MembershipState& view : views) {
        for (const std::size_t index : affected) {
            Member& member = view.members.at(nodeMember(index).peerAddress).member;
            change(member);
        }
    }
}

struct TakeoverRow {
    const char* name;
    std::function<void(Member&)> change; ///< Applied to the record of each watcher.
};

BOOST_AUTO_TEST_CASE(fewNodesOfALargeFleetWatch)
{
    const std::vector<MembershipState> views = fleet();
    BOOST_TEST(watchersOf(views, kStart).size() == kWatchers);
}

BOOST_AUTO_TEST_CASE(otherNodesTakeOverFromAllWatchers)
{
    const std::vector<TakeoverRow> table {
        { "dead", [](Member& member) { member.status = MemberStatus::Dead; } },
        { "silent", [](Member& member) { member.status = MemberStatus::Suspect; } },
        { "leaving", [](Member& member) { member.status = MemberStatus::Leaving; } },
        { "turned away by the store", [](Member& member) { member.canReachStore = false; } },
    };
    test::forEachRow(table, [](const TakeoverRow& row) {
        std::vector<MembershipState> views = fleet();
        const std::vector<std::size_t> before = watchersOf(views, kStart);
        applyToAll(views, before, row.change);
        std::size_t successors = 0;
        for (const std::size_t index : watchersOf(views, kStart))
            successors += std::find(before.begin(), before.end(), index) == before.end() ? 1 : 0;
        BOOST_TEST(successors == kWatchers);
    });
}

BOOST_AUTO_TEST_CASE(aWatcherWithoutTheStoreKeepsTrying)
{
    std::vector<MembershipState> views = fleet();
    const std::vector<std::size_t> before = watchersOf(views, kStart);
    applyToAll(views, before, [](Member& member) { member.canReachStore = false; });
    for (const std::size_t index : before)
        BOOST_TEST(isWatcher(views[index], { kWatchers }, kStart));
}

BOOST_AUTO_TEST_CASE(bothPartsOfAPartitionWatch)
{
    std::vector<MembershipState> views = fleet();
    for (std::size_t viewer = 0; viewer < kNodes; ++viewer) {
        for (std::size_t other = 0; other < kNodes; ++other) {
            if (viewer % 2 != other % 2)
                views[viewer].members.at(nodeMember(other).peerAddress).member.status = MemberStatus::Suspect;
        }
    }
    std::size_t odd = 0;
    const std::vector<std::size_t> watchers = watchersOf(views, kStart);
    for (const std::size_t index : watchers)
        odd += index % 2;
    BOOST_TEST(odd == kWatchers);
    BOOST_TEST(watchers.size() == 2 * kWatchers);
}

struct SilenceRow {
    const char* name;
    std::size_t nodes;
    absl::Duration applyTime;
};

/// Starts of a node's watches after a change that all received at kStart, with the timing of each.
std::vector<std::pair<absl::Time, WatchTiming>> watchesOf(
    const MembershipState& view, const WatcherOptions& options, absl::Time end)
{
    std::vector<std::pair<absl::Time, WatchTiming>> watches;
    for (absl::Time start = kStart; start < end; start += watches.back().second.wait)
        watches.emplace_back(start, planWatch(view, options, start == kStart));
    return watches;
}

/// Time from `silentAt`, when the connections of all watchers fall silent, until the first one notices it.
absl::Duration noticeTime(
    const std::vector<std::vector<std::pair<absl::Time, WatchTiming>>>& watchers, absl::Time silentAt)
{
    absl::Duration first = absl::InfiniteDuration();
    for (const auto& watches : watchers) {
        const auto pending = std::find_if(watches.begin(), watches.end(),
            [&](const auto& watch) { return watch.first + watch.second.wait >= silentAt; });
        first = std::min(
            first, pending->first + pending->second.wait + pending->second.responseTimeout - silentAt);
    }
    return first;
}

// All connections to the store fall silent at once. Guards against changes that are late by the length of a
// watch.
BOOST_AUTO_TEST_CASE(aWatcherNoticesInTimeThatAllConnectionsFellSilent)
{
    const std::vector<SilenceRow> table {
        { "one node", 1, absl::Seconds(2) },
        { "two nodes", 2, absl::Seconds(2) },
        { "fewer nodes than watchers", 6, absl::Seconds(2) },
        { "more nodes than watchers", 30, absl::Seconds(2.5) },
        { "a large fleet", kNodes, absl::Seconds(3) },
        { "a long apply time", 30, absl::Seconds(60) },
    };
    test::forEachRow(table, [](const SilenceRow& row) {
        WatcherOptions options { kWatchers };
        options.applyTime = row.applyTime;
        const absl::Time end = kStart + absl::Minutes(2);
        std::vector<std::vector<std::pair<absl::Time, WatchTiming>>> watchers;
        std::size_t calls = 0;
        for (const MembershipState& view : fleet(row.nodes)) {
            if (!isWatcher(view, options, kStart))
                continue;
            watchers.push_back(watchesOf(view, options, end));
            calls += watchers.back().size();
        }
        absl::Duration slowest;
        for (absl::Time at = kStart; at < end - absl::Minutes(1); at += absl::Milliseconds(7))
            slowest = std::max(slowest, noticeTime(watchers, at));
        BOOST_TEST((slowest <= row.applyTime / 2), absl::FormatDuration(slowest));
        // The store pays for each watch: together the watchers renew one in each quarter of the apply time.
        const double renewals = (end - kStart) / (row.applyTime / 4);
        const double minimum = static_cast<double>(watchers.size()) * 12; // None lasts longer than 10 s.
        BOOST_TEST(static_cast<double>(calls) <= std::max(renewals, minimum) + 2 * kWatchers);
    });
}

BOOST_AUTO_TEST_CASE(aNodeWithoutContactToOthersWatchesUntilANeighbourResponds)
{
    std::vector<MembershipState> views = fleet();
    const auto found = std::find_if(views.begin(), views.end(),
        [](const MembershipState& view) { return !isWatcher(view, { kWatchers }, kStart); });
    BOOST_REQUIRE((found != views.end()));
    MembershipState& view = *found;
    const absl::Time later = kStart + absl::Milliseconds(1100);
    BOOST_TEST(isWatcher(view, { kWatchers }, later));
    recordHeartbeat(view, view.members.rbegin()->first, 1, later);
    BOOST_TEST(!isWatcher(view, { kWatchers }, later));
}

} // namespace
} // namespace jackdawwall
