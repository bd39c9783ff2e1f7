#include "jackdawwall/routing.h"

#include "absl/strings/str_cat.h"
#include "test/table.h"

#include <map>
#include <vector>

namespace jackdawwall {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

std::vector<Candidate> candidates(int count)
{
    std::vector<Candidate> list;
    list.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index)
        list.push_back({ absl::StrCat("t", index), true });
    return list;
}

BOOST_AUTO_TEST_CASE(neverPicksAnExcludedTarget)
{
    RoutingState state;
    Generator generator(1);
    const std::vector<Candidate> list = candidates(3);
    const std::vector<std::string> tried { "t0", "t2" };
    for (int round = 0; round < 50; ++round)
        BOOST_TEST(pickTarget(state, list, { tried }, generator, kStart) == 1);
    const std::vector<std::string> all { "t0", "t1", "t2" };
    BOOST_TEST(pickTarget(state, list, { all }, generator, kStart) == -1);
    BOOST_TEST(pickTarget(state, {}, {}, generator, kStart) == -1);
}

BOOST_AUTO_TEST_CASE(avoidsAFailedTargetWhileOthersAreAvailable)
{
    RoutingState state;
    Generator generator(1);
    recordAttemptEnd(state, "t0", { false, true, {}, 0 }, kStart);
    for (int round = 0; round < 50; ++round)
        BOOST_TEST(pickTarget(state, candidates(2), {}, generator, kStart) == 1);
    BOOST_TEST(pickTarget(state, candidates(1), {}, generator, kStart) == 0);
}

BOOST_AUTO_TEST_CASE(aSlowTargetGetsLittleWorkAndIsTriedAgainLater)
{
    RoutingState state;
    Generator generator(1);
    for (int index = 0; index < 3; ++index)
        recordAttemptEnd(state, absl::StrCat("t", index),
            { true, false, absl::Milliseconds(index == 0 ? 200 : 10), 0 }, kStart);
    int now = 0;
    int later = 0;
    for (int round = 0; round < 300; ++round) {
        now += pickTarget(state, candidates(3), {}, generator, kStart) == 0 ? 1 : 0;
        later += pickTarget(state, candidates(3), {}, generator, kStart + absl::Seconds(20)) == 0 ? 1 : 0;
    }
    BOOST_TEST(now == 0);
    BOOST_TEST(later > 0);
}

BOOST_AUTO_TEST_CASE(callsStayInTheLocalDataCentreUntilItIsBusier)
{
    RoutingState state;
    Generator generator(1);
    std::vector<Candidate> list = candidates(4);
    for (std::size_t index = 1; index < list.size(); ++index)
        list[index].isLocal = false;
    for (const Candidate& candidate : list)
        recordAttemptEnd(state, candidate.address, { true, false, absl::Milliseconds(2), 0 }, kStart);
    for (int round = 0; round < 100; ++round)
        BOOST_TEST(pickTarget(state, list, {}, generator, kStart) == 0);
    recordAttemptEnd(state, "t0", { true, false, absl::Milliseconds(2), 500 }, kStart);
    for (int round = 0; round < 100; ++round)
        BOOST_TEST(pickTarget(state, list, {}, generator, kStart) != 0);
}

// Pattern "large bodies between data centres": the traffic costs more than a queue at the local target.
BOOST_AUTO_TEST_CASE(largeBodiesStayInTheLocalDataCentreLongerThanSmallOnes)
{
    RoutingState state;
    state.options.remoteCost = absl::Milliseconds(150);
    state.options.remoteCostPerMegabyte = absl::Seconds(10);
    Generator generator(1);
    std::vector<Candidate> list = candidates(2);
    list[1].isLocal = false;
    for (const Candidate& candidate : list)
        recordAttemptEnd(state, candidate.address, { true, false, absl::Milliseconds(200), 0 }, kStart);
    for (int call = 0; call < 2; ++call)
        recordAttemptStart(state, "t0", kStart);
    BOOST_TEST(pickTarget(state, list, { {}, 0 }, generator, kStart) == 1);
    BOOST_TEST(pickTarget(state, list, { {}, 64U << 10 }, generator, kStart) == 0);
    for (int call = 0; call < 8; ++call)
        recordAttemptStart(state, "t0", kStart);
    BOOST_TEST(pickTarget(state, list, { {}, 64U << 10 }, generator, kStart) == 1);
}

BOOST_AUTO_TEST_CASE(subsetsAreStableAndPreferTheLocalDataCentre)
{
    std::vector<Candidate> members = candidates(40);
    for (std::size_t index = 10; index < members.size(); ++index)
        members[index].isLocal = false;
    const std::vector<Candidate> subset = chooseSubset(members, "self", 16);
    BOOST_REQUIRE_EQUAL(subset.size(), 16U);
    for (std::size_t index = 0; index < 10; ++index)
        BOOST_TEST(subset[index].isLocal);
    // Removing one member replaces one entry of the subset.
    std::vector<Candidate> fewer = members;
    std::erase_if(fewer, [&](const Candidate& member) { return member.address == subset[12].address; });
    std::map<std::string, int> kept;
    for (const Candidate& member : subset)
        ++kept[member.address];
    for (const Candidate& member : chooseSubset(fewer, "self", 16))
        ++kept[member.address];
    BOOST_TEST(kept.size() == 17U);
}

BOOST_AUTO_TEST_CASE(aLevelIsRaisedInStepsWithoutUpdates)
{
    RoutingState state;
    const PathKey key { 1, 2, 3 };
    BOOST_TEST(pathLevel(state, key, kStart) == kRankCount);
    for (int response = 0; response < 100; ++response)
        recordPathLevel(state, key, 0, kStart);
    BOOST_TEST(pathLevel(state, key, kStart) == kProbeRanks);
    BOOST_TEST(pathLevel(state, key, kStart + absl::Milliseconds(350)) < 20U);
    BOOST_TEST(pathLevel(state, key, kStart + absl::Seconds(5)) == kRankCount);
    for (int response = 0; response < 100; ++response)
        recordPathLevel(state, key, kRankCount, kStart);
    BOOST_TEST(state.levels.empty());
}

} // namespace
} // namespace jackdawwall
