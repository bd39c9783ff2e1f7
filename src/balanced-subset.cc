#include "jackdawwall/balanced-subset.h"

#include <algorithm>
#include <cmath>

namespace jackdawwall {
namespace {

constexpr double kHashRange = 18446744073709551616.0; // 2^64
/// One in this many entries of a subset is a target of another data centre, if there is one.
constexpr std::size_t kRemoteDivisor = 4;
constexpr std::size_t kMinimumLocal = 2; ///< Two local choices are considered before a remote one.
/// Smallest weight of a data centre that has its share of subsets already, relative to a fair share.
constexpr double kMinimumNeed = 0.05;

/// The targets and callers of one data centre.
struct Site {
    std::size_t targets = 0;
    double weight = 0;
    std::size_t callers = 0;
    std::size_t localEntries = 0; ///< Local targets in the subset of each of its callers.
    double need = 0; ///< Entries still wanted in remote subsets, for each unit of weight.
};

using Sites = absl::btree_map<std::string, Site>;

std::size_t localEntriesOf(const Site& site, std::size_t total, std::size_t size, double entriesPerWeight)
{
    const std::size_t remote
        = std::min(total - site.targets, std::max<std::size_t>(1, size / kRemoteDivisor));
    const std::size_t most = std::min(site.targets, size - std::min(size, remote));
    const std::size_t least = std::min(most, std::max(kMinimumLocal, size / kRemoteDivisor));
    if (site.callers == 0)
        return most;
    const double fair = std::ceil(entriesPerWeight * site.weight / static_cast<double>(site.callers));
    return std::clamp(static_cast<std::size_t>(fair), least, most);
}

Sites describeSites(absl::Span<const SubsetMember> members, const SubsetOwner& owner)
{
    Sites sites;
    double weight = 0;
    for (const SubsetMember& member : members) {
        Site& site = sites[member.dataCentre];
        ++site.targets;
        site.weight += member.weight;
        weight += member.weight;
    }
    std::size_t callers = 0;
    for (const auto& [name, count] : owner.callers) {
        callers += count;
        const auto found = sites.find(name);
        if (found != sites.end())
            found->second.callers = count;
    }
    const double entriesPerWeight = static_cast<double>(callers * owner.size) / weight;
    for (auto& [name, site] : sites) {
        site.localEntries = localEntriesOf(site, members.size(), owner.size, entriesPerWeight);
        const double local = static_cast<double>(site.callers * site.localEntries) / site.weight;
        site.need = std::max(kMinimumNeed * entriesPerWeight, entriesPerWeight - local);
    }
    return sites;
}

struct ScoredMember {
    double score = 0;
    const SubsetMember* member = nullptr;
};

/// Score of weighted rendezvous hashing: the probability of the highest score is proportional to the weight.
double rendezvousScore(absl::string_view self, const SubsetMember& member, double weight)
{
    const std::uint64_t hash = mixBits(stableHash(self) ^ stableHash(member.address));
    return -weight / std::log((static_cast<double>(hash) + 0.5) / kHashRange);
}

void appendBest(
    std::vector<ScoredMember>& scored, std::size_t count, bool isLocal, std::vector<Candidate>& subset)
{
    std::sort(scored.begin(), scored.end(), [](const ScoredMember& left, const ScoredMember& right) {
        return left.score != right.score ? left.score > right.score
                                         : left.member->address < right.member->address;
    });
    for (std::size_t index = 0; index < std::min(count, scored.size()); ++index)
        subset.push_back({ scored[index].member->address, isLocal });
}

} // namespace

std::vector<Candidate> chooseBalancedSubset(absl::Span<const SubsetMember> members, const SubsetOwner& owner)
{
    std::vector<Candidate> subset;
    if (members.empty())
        return subset;
    const Sites sites = describeSites(members, owner);
    std::vector<ScoredMember> local;
    std::vector<ScoredMember> remote;
    for (const SubsetMember& member : members) {
        const bool isLocal = member.dataCentre == owner.dataCentre;
        const double weight = member.weight * (isLocal ? 1 : sites.at(member.dataCentre).need);
        (isLocal ? local : remote).push_back({ rendezvousScore(owner.address, member, weight), &member });
    }
    const auto own = sites.find(owner.dataCentre);
    std::size_t localCount = own == sites.end() ? 0 : own->second.localEntries;
    if (members.size() <= owner.size)
        localCount = local.size();
    appendBest(local, localCount, true, subset);
    appendBest(remote, owner.size - std::min(owner.size, subset.size()), false, subset);
    return subset;
}

} // namespace jackdawwall
