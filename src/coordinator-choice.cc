#include "jackdawwall/coordinator-choice.h"

#include <algorithm>

namespace jackdawwall {
namespace {

/// How long a recent failure of a better placed member is treated as a possible partition. After this time,
/// the members in the other part of a partition are suspect as well and lower the reachable share.
constexpr absl::Duration kDoubtTime = absl::Seconds(2);
/// How long a dead member counts as being in another part of a partition. A fleet that lost members for good
/// gets its full rate back after this time.
constexpr absl::Duration kPartitionTime = absl::Minutes(2);

/// How long a coordinator that did not respond is not asked.
constexpr absl::Duration kSkipTime = absl::Seconds(1);
constexpr absl::Duration kContactTimeout = absl::Milliseconds(1500);

std::uint64_t rendezvousWeight(std::uint64_t customerHash, absl::string_view address)
{
    return mixBits(customerHash ^ mixBits(stableHash(address)));
}

/// A member whose target doesn't serve is starting or about to leave, and would coordinate for a short time
/// only: each handover costs the customer a part of its limit.
bool isEligible(const Member& member)
{
    return member.status == MemberStatus::Alive && member.isServing;
}

struct RankedMembers {
    const std::string* first = nullptr;
    const std::string* deputy = nullptr;
    std::uint64_t firstWeight = 0;
    std::uint64_t deputyWeight = 0;
};

/// Ranks the eligible members, or all that are alive if none is eligible.
RankedMembers rankMembers(const MembershipState& state, std::uint64_t customerHash)
{
    const bool hasEligible = std::any_of(state.members.begin(), state.members.end(),
        [](const auto& item) { return isEligible(item.second.member); });
    RankedMembers ranked;
    for (const auto& [address, record] : state.members) {
        if (hasEligible ? !isEligible(record.member) : record.member.status != MemberStatus::Alive)
            continue;
        const std::uint64_t weight = rendezvousWeight(customerHash, address);
        if (ranked.first == nullptr || weight > ranked.firstWeight) {
            ranked.deputy = ranked.first;
            ranked.deputyWeight = ranked.firstWeight;
            ranked.first = &address;
            ranked.firstWeight = weight;
        } else if (ranked.deputy == nullptr || weight > ranked.deputyWeight) {
            ranked.deputy = &address;
            ranked.deputyWeight = weight;
        }
    }
    return ranked;
}

/// When a suspect or dead member was first missed.
absl::Time failedSince(const MembershipState& state, const MemberRecord& record)
{
    const bool isDead = record.member.status == MemberStatus::Dead;
    return isDead ? record.statusSince - state.options.suspectTime : record.statusSince;
}

/// Fills in what follows from the failed members.
void applyFailures(
    const MembershipState& state, std::uint64_t customerHash, absl::Time now, CoordinatorStanding& standing)
{
    const std::uint64_t ownWeight = rendezvousWeight(customerHash, state.self);
    double alive = 0;
    double missing = 0;
    for (const auto& [address, record] : state.members) {
        const MemberStatus status = record.member.status;
        const bool isAlive = status == MemberStatus::Alive;
        alive += isAlive ? 1 : 0;
        if (isAlive && record.member.isServing)
            continue;
        const bool isBefore = rendezvousWeight(customerHash, address) > ownWeight;
        if (isAlive || status == MemberStatus::Leaving) {
            if (isBefore)
                standing.firstSince = std::max(standing.firstSince, record.statusSince);
            continue;
        }
        const absl::Time since = failedSince(state, record);
        if (status == MemberStatus::Suspect || now - since < kPartitionTime)
            ++missing;
        if (!isBefore)
            continue;
        standing.firstSince = std::max(standing.firstSince, since + kDoubtTime);
        if (now - since < kDoubtTime && standing.role == CoordinatorRole::First)
            standing.role = CoordinatorRole::Substitute;
    }
    standing.reachableShare = alive > 0 ? alive / (alive + missing) : 0;
}

} // namespace

CoordinatorChoice chooseCoordinators(const MembershipState& state, absl::string_view customer)
{
    const RankedMembers ranked = rankMembers(state, stableHash(customer));
    CoordinatorChoice choice;
    if (ranked.first != nullptr)
        choice.first = *ranked.first;
    if (ranked.deputy != nullptr)
        choice.deputy = *ranked.deputy;
    return choice;
}

void skipCoordinator(SkippedCoordinators& skipped, const std::string& address, absl::Time now)
{
    absl::erase_if(skipped, [&](const auto& item) { return item.second <= now; });
    skipped[address] = now + kSkipTime;
}

LeaseTarget chooseLeaseTarget(
    const CoordinatorChoice& choice, const SkippedCoordinators& skipped, absl::Time now)
{
    const auto isSkipped = [&](const std::string& address) {
        const auto found = skipped.find(address);
        return found != skipped.end() && now < found->second;
    };
    if (!isSkipped(choice.first))
        return { choice.first, false };
    if (!isSkipped(choice.deputy))
        return { choice.deputy, true };
    return {};
}

bool isCutOff(const MembershipState& state, absl::Time now)
{
    if (now - state.lastContactAt <= kContactTimeout)
        return false;
    return std::any_of(state.members.begin(), state.members.end(), [&](const auto& item) {
        const MemberStatus status = item.second.member.status;
        return item.first != state.self && (status == MemberStatus::Alive || status == MemberStatus::Suspect);
    });
}

CoordinatorStanding standingFor(
    const MembershipState& state, absl::string_view customer, bool isAskedAsDeputy, absl::Time now)
{
    const std::uint64_t customerHash = stableHash(customer);
    const RankedMembers ranked = rankMembers(state, customerHash);
    CoordinatorStanding standing;
    if (ranked.first == nullptr)
        return standing;
    standing.first = *ranked.first;
    if (*ranked.first == state.self)
        standing.role = CoordinatorRole::First;
    else if (isAskedAsDeputy && ranked.deputy != nullptr && *ranked.deputy == state.self)
        standing.role = CoordinatorRole::Substitute;
    if (standing.role != CoordinatorRole::None)
        applyFailures(state, customerHash, now, standing);
    return standing;
}

} // namespace jackdawwall
