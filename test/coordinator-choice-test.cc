// Tests of the choice of coordinators and of what a coordinator may do after failures.
#include "jackdawwall/coordinator-choice.h"

#include "test/table.h"

#include "absl/strings/str_cat.h"

#include <cmath>
#include <set>
#include <vector>

namespace jackdawwall {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
constexpr int kMembers = 10;

std::string addressOf(int index)
{
    return absl::StrCat("10.0.0.", index, ":80");
}

/// View of a node in which all members are alive.
MembershipState makeView(const std::string& self)
{
    Member member;
    member.peerAddress = self;
    MembershipState view = makeMembership(member, {}, kStart);
    for (int index = 0; index < kMembers; ++index) {
        member.peerAddress = addressOf(index);
        mergeMembers(view, { member }, kStart);
    }
    return view;
}

void setStatus(MembershipState& view, const std::string& address, MemberStatus status)
{
    view.members.at(address).member.status = status;
    view.members.at(address).statusSince = kStart;
}

/// Guards against nodes that choose different coordinators, and against one that coordinates all customers.
BOOST_AUTO_TEST_CASE(allNodesChooseTheSameCoordinators)
{
    std::set<std::string> firsts;
    for (int customer = 0; customer < 50; ++customer) {
        const std::string name = absl::StrCat("customer-", customer);
        const CoordinatorChoice choice = chooseCoordinators(makeView(addressOf(0)), name);
        const CoordinatorChoice other = chooseCoordinators(makeView(addressOf(7)), name);
        BOOST_TEST(choice.first == other.first);
        BOOST_TEST(choice.deputy == other.deputy);
        BOOST_TEST(choice.first != choice.deputy);
        firsts.insert(choice.first);
    }
    BOOST_TEST(firsts.size() >= 8U);
}

struct FailureRow {
    const char* name;
    MemberStatus status; ///< Of the first, since kStart.
    absl::Duration later;
    CoordinatorRole role; ///< Of the deputy.
    double share;
};

/// Guards against a successor that grants the full rate while its predecessor may be in another part of a
/// partition.
BOOST_AUTO_TEST_CASE(successorStartsWithBoundedGrants)
{
    const auto first = CoordinatorRole::First;
    const auto substitute = CoordinatorRole::Substitute;
    const std::vector<FailureRow> table { { "alive", MemberStatus::Alive, {}, CoordinatorRole::None, 0 },
        { "just suspect", MemberStatus::Suspect, absl::Seconds(1), substitute, 0.9 },
        { "suspect for long", MemberStatus::Suspect, absl::Minutes(5), first, 0.9 },
        { "dead", MemberStatus::Dead, absl::Seconds(3), first, 0.9 },
        { "dead for long", MemberStatus::Dead, absl::Minutes(5), first, 1 },
        { "leaving", MemberStatus::Leaving, absl::Seconds(1), first, 1 } };
    const CoordinatorChoice choice = chooseCoordinators(makeView(addressOf(0)), "acme");
    test::forEachRow(table, [&](const FailureRow& row) {
        MembershipState view = makeView(choice.deputy);
        setStatus(view, choice.first, row.status);
        const CoordinatorStanding standing = standingFor(view, "acme", false, kStart + row.later);
        BOOST_TEST((standing.role == row.role));
        if (row.role == CoordinatorRole::None)
            BOOST_TEST(standing.first == choice.first);
        else
            BOOST_TEST(std::abs(standing.reachableShare - row.share) < 1e-9);
    });
}

/// Guards against a node that coordinates for the short time between its start and its target's first report,
/// or while its target leaves, and against a successor that starts with a full bucket.
BOOST_AUTO_TEST_CASE(aMemberWithoutServingTargetIsNotChosen)
{
    const CoordinatorChoice choice = chooseCoordinators(makeView(addressOf(0)), "acme");
    MembershipState view = makeView(choice.deputy);
    Member first = view.members.at(choice.first).member;
    first.isServing = false;
    ++first.incarnation;
    const absl::Time changedAt = kStart + absl::Seconds(5);
    mergeMembers(view, { first }, changedAt);
    BOOST_TEST(chooseCoordinators(view, "acme").first == choice.deputy);
    const CoordinatorStanding standing = standingFor(view, "acme", false, changedAt + absl::Seconds(1));
    BOOST_TEST((standing.role == CoordinatorRole::First));
    BOOST_TEST((standing.firstSince == changedAt));
    BOOST_TEST(standing.reachableShare == 1);
    for (auto& [address, record] : view.members)
        record.member.isServing = false;
    BOOST_TEST(chooseCoordinators(view, "acme").first == choice.first);
}

BOOST_AUTO_TEST_CASE(asksTheDeputyWhenTheFirstDoesNotRespond)
{
    const CoordinatorChoice choice { "a", "b" };
    SkippedCoordinators skipped;
    BOOST_TEST(chooseLeaseTarget(choice, skipped, kStart).address == "a");
    skipCoordinator(skipped, "a", kStart);
    BOOST_TEST(chooseLeaseTarget(choice, skipped, kStart).address == "b");
    BOOST_TEST(chooseLeaseTarget(choice, skipped, kStart).isDeputy);
    skipCoordinator(skipped, "b", kStart);
    BOOST_TEST(chooseLeaseTarget(choice, skipped, kStart).address.empty());
    BOOST_TEST(chooseLeaseTarget(choice, skipped, kStart + absl::Seconds(1)).address == "a");
}

} // namespace
} // namespace jackdawwall
