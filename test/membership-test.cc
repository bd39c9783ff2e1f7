#include "jackdawwall/membership.h"

#include "absl/strings/str_cat.h"
#include "test/table.h"

#include <deque>
#include <vector>

namespace jackdawwall {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

Member member(const std::string& address, std::uint64_t incarnation, MemberStatus status)
{
    Member result;
    result.peerAddress = address;
    result.incarnation = incarnation;
    result.status = status;
    result.service = "ledger";
    return result;
}

MembershipState stateOf(const std::string& self)
{
    return makeMembership(member(self, 1, MemberStatus::Alive), {}, kStart);
}

struct MergeRow {
    const char* name;
    Member current;
    Member received;
    bool changes;
};

BOOST_AUTO_TEST_CASE(updatesAreOrderedByIncarnationThenStatus)
{
    using enum MemberStatus;
    const std::vector<MergeRow> table {
        { "suspicion", member("b", 1, Alive), member("b", 1, Suspect), true },
        { "refuted suspicion", member("b", 1, Suspect), member("b", 2, Alive), true },
        { "outdated suspicion", member("b", 2, Alive), member("b", 1, Suspect), false },
        { "death", member("b", 1, Suspect), member("b", 1, Dead), true },
        { "an outdated update does not revive a dead member", member("b", 1, Dead), member("b", 1, Alive),
            false },
        { "restart after death", member("b", 1, Dead), member("b", 2, Alive), true },
        { "death of an earlier incarnation", member("b", 2, Alive), member("b", 1, Dead), false },
        { "leave", member("b", 1, Alive), member("b", 1, Leaving), true },
        { "suspicion does not override a leave", member("b", 1, Leaving), member("b", 1, Suspect), false },
        { "restart after a leave", member("b", 1, Leaving), member("b", 2, Alive), true },
        { "the same update again", member("b", 1, Alive), member("b", 1, Alive), false },
    };
    test::forEachRow(table, [](const MergeRow& row) {
        MembershipState state = stateOf("a");
        mergeMembers(state, { row.current }, kStart);
        BOOST_TEST(mergeMembers(state, { row.received }, kStart).size() == (row.changes ? 1U : 0U));
        const Member& result = state.members.at("b").member;
        BOOST_TEST((result == (row.changes ? row.received : row.current)));
    });
}

BOOST_AUTO_TEST_CASE(aNodeRefutesReportsOfItsOwnFailure)
{
    for (const MemberStatus status : { MemberStatus::Suspect, MemberStatus::Leaving, MemberStatus::Dead }) {
        MembershipState state = stateOf("a");
        mergeMembers(state, { member("a", 7, status) }, kStart);
        const Member& self = state.members.at("a").member;
        BOOST_TEST((self.status == MemberStatus::Alive));
        BOOST_TEST(self.incarnation == 8U);
    }
}

BOOST_AUTO_TEST_CASE(anUnresponsiveNeighbourBecomesSuspectThenDead)
{
    MembershipState state = stateOf("a");
    mergeMembers(state, { member("b", 1, MemberStatus::Alive) }, kStart);
    BOOST_TEST(!recordMissedHeartbeat(state, "b", kStart));
    BOOST_TEST(recordMissedHeartbeat(state, "b", kStart));
    BOOST_TEST(advanceMembership(state, kStart + absl::Seconds(1)).empty());
    BOOST_TEST(advanceMembership(state, kStart + absl::Seconds(2)).size() == 1U);
    BOOST_TEST((state.members.at("b").member.status == MemberStatus::Dead));
}

BOOST_AUTO_TEST_CASE(aPartitionRemovesNoMember)
{
    MembershipState state = stateOf("a");
    for (int index = 0; index < 20; ++index)
        mergeMembers(state, { member(absl::StrCat("b", index), 1, MemberStatus::Alive) }, kStart);
    for (int index = 0; index < 10; ++index) {
        const std::string address = absl::StrCat("b", index);
        recordMissedHeartbeat(state, address, kStart);
        recordMissedHeartbeat(state, address, kStart);
    }
    BOOST_TEST(advanceMembership(state, kStart + absl::Hours(1)).empty());
    BOOST_TEST(routableMembers(state, "ledger").size() == 11U);
}

BOOST_AUTO_TEST_CASE(suspectsGetWorkOnlyWithoutOtherMembers)
{
    MembershipState state = stateOf("a");
    mergeMembers(
        state, { member("b", 1, MemberStatus::Suspect), member("c", 1, MemberStatus::Leaving) }, kStart);
    BOOST_TEST(routableMembers(state, "ledger").size() == 1U);
    announceLeave(state, kStart);
    BOOST_REQUIRE_EQUAL(routableMembers(state, "ledger").size(), 1U);
    BOOST_TEST(routableMembers(state, "ledger").front().peerAddress == "b");
}

/// Number of rounds, in each of which every node updates its neighbours, until all views are equal.
int roundsUntilConverged(std::vector<MembershipState>& states, int maxRounds)
{
    for (int round = 1; round <= maxRounds; ++round) {
        for (MembershipState& sender : states) {
            for (const Member& receiver : chooseNeighbours(sender, 2)) {
                std::uint64_t upTo = 0;
                const std::vector<Member> updates = updatesFor(sender, receiver.peerAddress, 1000, upTo);
                for (MembershipState& state : states) {
                    if (state.self == receiver.peerAddress)
                        mergeMembers(state, updates, kStart);
                }
                recordHeartbeat(sender, receiver.peerAddress, upTo, kStart);
            }
        }
        const std::uint64_t digest = memberDigest(states.front());
        bool hasConverged = true;
        for (const MembershipState& state : states)
            hasConverged = hasConverged && memberDigest(state) == digest;
        if (hasConverged)
            return round;
    }
    return maxRounds + 1;
}

BOOST_AUTO_TEST_CASE(updatesReachEveryNodeInAFewRounds)
{
    constexpr int kNodes = 64;
    std::vector<MembershipState> states;
    std::vector<Member> all;
    all.reserve(kNodes);
    for (int index = 0; index < kNodes; ++index)
        all.push_back(member(absl::StrCat("10.0.0.", index, ":80"), 1, MemberStatus::Alive));
    for (const Member& self : all) {
        states.push_back(makeMembership(self, {}, kStart));
        mergeMembers(states.back(), all, kStart);
    }
    BOOST_TEST(roundsUntilConverged(states, 10) <= 10);
    announceLeave(states[17], kStart);
    BOOST_TEST(roundsUntilConverged(states, 7) <= 7);
    BOOST_TEST((states[0].members.at(all[17].peerAddress).member.status == MemberStatus::Leaving));
}

BOOST_AUTO_TEST_CASE(digestDependsOnTheViewAndNotOnItsHistory)
{
    MembershipState manyChanges = stateOf("a");
    mergeMembers(
        manyChanges, { member("b", 1, MemberStatus::Alive), member("c", 1, MemberStatus::Dead) }, kStart);
    recordMissedHeartbeat(manyChanges, "b", kStart);
    recordMissedHeartbeat(manyChanges, "b", kStart);
    recordHeartbeat(manyChanges, "b", 0, kStart);
    advanceMembership(manyChanges, kStart + absl::Hours(4));
    MembershipState oneChange = stateOf("a");
    mergeMembers(oneChange, { member("b", 1, MemberStatus::Alive) }, kStart);
    BOOST_TEST(memberDigest(manyChanges) == memberDigest(oneChange));
    mergeMembers(oneChange, { member("b", 1, MemberStatus::Suspect) }, kStart);
    BOOST_TEST(memberDigest(manyChanges) != memberDigest(oneChange));
}

BOOST_AUTO_TEST_CASE(truncatedUpdatesContinueInTheNextMessage)
{
    MembershipState state = stateOf("a");
    for (int index = 0; index < 9; ++index)
        mergeMembers(state, { member(absl::StrCat("b", index), 1, MemberStatus::Alive) }, kStart);
    std::size_t received = 0;
    for (int message = 0; message < 3; ++message) {
        std::uint64_t upTo = 0;
        received += updatesFor(state, "b0", 4, upTo).size();
        recordHeartbeat(state, "b0", upTo, kStart);
    }
    BOOST_TEST(received == 10U);
}

} // namespace
} // namespace jackdawwall
