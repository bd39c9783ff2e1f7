#include "jackdawwall/membership.h"

#include "absl/strings/string_view.h"

#include <algorithm>
#include <array>

namespace jackdawwall {
namespace {

constexpr std::array<absl::string_view, 4> kStatusTexts { "alive", "suspect", "leaving", "dead" };

bool supersedes(const Member& received, const Member& current)
{
    if (received.incarnation != current.incarnation)
        return received.incarnation > current.incarnation;
    return received.status > current.status;
}

std::uint64_t recordHash(const Member& member)
{
    const std::uint64_t key = stableHash(member.peerAddress);
    return mixBits(mixBits(key ^ member.incarnation) + static_cast<std::uint64_t>(member.status));
}

/// Replaces a record without assigning a change number, so that it is not sent to the neighbours.
MemberRecord& replaceRecord(MembershipState& state, const Member& member, absl::Time now)
{
    const auto [found, isNew] = state.members.try_emplace(member.peerAddress);
    MemberRecord& record = found->second;
    if (!isNew)
        state.digest -= recordHash(record.member);
    record.member = member;
    record.statusSince = now;
    state.digest += recordHash(member);
    return record;
}

void storeChange(MembershipState& state, const Member& member, absl::Time now)
{
    replaceRecord(state, member, now).changeNumber = ++state.lastChange;
}

MemberRecord& selfRecord(MembershipState& state)
{
    return state.members.at(state.self);
}

/// True when the record is about this node. Refutes it if it is wrong.
bool refute(MembershipState& state, const Member& received, absl::Time now)
{
    if (received.peerAddress != state.self)
        return false;
    const Member current = selfRecord(state).member;
    const bool needsRefutation = supersedes(received, current)
        || (received.incarnation >= current.incarnation && received != current);
    if (needsRefutation) {
        Member renewed = current;
        renewed.incarnation = received.incarnation + 1;
        storeChange(state, renewed, now);
    }
    return true;
}

void setStatus(MembershipState& state, const std::string& address, MemberStatus status, absl::Time now)
{
    Member member = state.members.at(address).member;
    member.status = status;
    storeChange(state, member, now);
}

bool isAliveOrSuspect(const Member& member)
{
    return member.status == MemberStatus::Alive || member.status == MemberStatus::Suspect;
}

struct RingPoint {
    std::uint64_t hash = 0;
    const Member* member = nullptr;
};

std::vector<RingPoint> makeRing(const MembershipState& state)
{
    std::vector<RingPoint> ring;
    for (const auto& [address, record] : state.members) {
        if (address == state.self || isAliveOrSuspect(record.member))
            ring.push_back({ mixBits(stableHash(address)), &record.member });
    }
    std::sort(ring.begin(), ring.end(),
        [](const RingPoint& left, const RingPoint& right) { return left.hash < right.hash; });
    return ring;
}

std::size_t positionOf(const std::vector<RingPoint>& ring, const std::string& self)
{
    const auto found = std::find_if(
        ring.begin(), ring.end(), [&](const RingPoint& point) { return point.member->peerAddress == self; });
    return static_cast<std::size_t>(found - ring.begin());
}

void addNeighbourAt(std::vector<Member>& chosen, const std::vector<RingPoint>& ring, std::size_t position)
{
    const Member& member = *ring[position % ring.size()].member;
    if (std::find(chosen.begin(), chosen.end(), member) == chosen.end())
        chosen.push_back(member);
}

/// True when so many members are suspect that the likely cause is this node's own connection or a partition
/// between data centres.
bool isMassSuspicion(const MembershipState& state)
{
    std::size_t aliveOrSuspect = 0;
    std::size_t suspects = 0;
    for (const auto& [address, record] : state.members) {
        aliveOrSuspect += isAliveOrSuspect(record.member) ? 1 : 0;
        suspects += record.member.status == MemberStatus::Suspect ? 1 : 0;
    }
    return suspects >= state.options.massSuspicionMinimum
        && static_cast<double>(suspects)
        > state.options.massSuspicionShare * static_cast<double>(aliveOrSuspect);
}

void removeExpired(MembershipState& state, absl::Time now)
{
    absl::erase_if(state.members, [&](const auto& item) {
        const MemberRecord& record = item.second;
        const bool isDeadOrLeaving
            = record.member.status == MemberStatus::Dead || record.member.status == MemberStatus::Leaving;
        if (!isDeadOrLeaving || item.first == state.self
            || now - record.statusSince <= state.options.deadTime)
            return false;
        state.digest -= recordHash(record.member);
        return true;
    });
}

} // namespace

void keepNewerLeave(Member& member, const Member& other)
{
    if (other.leftTarget.empty() || other.leftStartedAt <= member.leftStartedAt)
        return;
    member.leftTarget = other.leftTarget;
    member.leftStartedAt = other.leftStartedAt;
}

absl::string_view toText(MemberStatus status)
{
    return kStatusTexts.at(static_cast<std::size_t>(status));
}

MembershipState makeMembership(const Member& self, const MembershipOptions& options, absl::Time now)
{
    MembershipState state;
    state.options = options;
    state.self = self.peerAddress;
    state.lastContactAt = now;
    storeChange(state, self, now);
    return state;
}

std::vector<Member> mergeMembers(MembershipState& state, absl::Span<const Member> received, absl::Time now)
{
    std::vector<Member> changed;
    for (const Member& member : received) {
        if (refute(state, member, now))
            continue;
        const auto known = state.members.find(member.peerAddress);
        if (known == state.members.end()) {
            storeChange(state, member, now);
            changed.push_back(member);
            continue;
        }
        const Member current = known->second.member;
        Member merged = supersedes(member, current) ? member : current;
        keepNewerLeave(merged, member);
        keepNewerLeave(merged, current);
        if (merged == current)
            continue;
        storeChange(state, merged, now);
        changed.push_back(merged);
    }
    return changed;
}

void announceLeave(MembershipState& state, absl::Time now)
{
    setStatus(state, state.self, MemberStatus::Leaving, now);
}

void setLocalRecord(MembershipState& state, const LocalRecord& record, absl::Time now)
{
    Member self = selfRecord(state).member;
    const Member before = self;
    self.status = record.status;
    self.isServing = record.isServing;
    self.canReachStore = record.canReachStore;
    if (record.lastLeft) {
        self.leftTarget = record.lastLeft->id;
        self.leftStartedAt = record.lastLeft->startedAt;
    }
    if (self == before && record.minimumIncarnation <= self.incarnation)
        return;
    self.incarnation = std::max(self.incarnation + 1, record.minimumIncarnation);
    storeChange(state, self, now);
}

std::vector<Member> chooseNeighbours(const MembershipState& state, std::size_t successors)
{
    const std::vector<RingPoint> ring = makeRing(state);
    const std::size_t self = positionOf(ring, state.self);
    std::vector<Member> chosen;
    for (std::size_t step = 1; step <= successors && step < ring.size(); ++step)
        addNeighbourAt(chosen, ring, self + step);
    for (std::size_t distance = 2 * successors; distance < ring.size(); distance *= 2)
        addNeighbourAt(chosen, ring, self + distance);
    return chosen;
}

std::vector<Member> updatesFor(
    const MembershipState& state, absl::string_view neighbour, std::size_t limit, std::uint64_t& upTo)
{
    const auto found = state.neighbours.find(neighbour);
    const std::uint64_t acknowledged = found == state.neighbours.end() ? 0 : found->second.acknowledged;
    upTo = state.lastChange;
    if (acknowledged >= state.lastChange)
        return {};
    std::vector<const MemberRecord*> updates;
    for (const auto& [address, record] : state.members) {
        if (record.changeNumber > acknowledged)
            updates.push_back(&record);
    }
    std::sort(updates.begin(), updates.end(), [](const MemberRecord* left, const MemberRecord* right) {
        return left->changeNumber < right->changeNumber;
    });
    const bool isTruncated = updates.size() > limit;
    updates.resize(std::min(limit, updates.size()));
    if (isTruncated)
        upTo = updates.back()->changeNumber;
    std::vector<Member> members;
    members.reserve(updates.size());
    for (const MemberRecord* record : updates)
        members.push_back(record->member);
    return members;
}

void recordHeartbeat(MembershipState& state, const std::string& neighbour, std::uint64_t upTo, absl::Time now)
{
    NeighbourState& neighbourState = state.neighbours[neighbour];
    neighbourState.acknowledged = std::max(neighbourState.acknowledged, upTo);
    neighbourState.missedHeartbeats = 0;
    state.lastContactAt = now;
    const auto record = state.members.find(neighbour);
    if (record == state.members.end() || record->second.member.status != MemberStatus::Suspect)
        return;
    // Changes only the local view: the member itself refutes the suspicion for the other nodes.
    Member alive = record->second.member;
    alive.status = MemberStatus::Alive;
    replaceRecord(state, alive, now);
}

bool recordMissedHeartbeat(MembershipState& state, const std::string& neighbour, absl::Time now)
{
    NeighbourState& neighbourState = state.neighbours[neighbour];
    ++neighbourState.missedHeartbeats;
    const auto record = state.members.find(neighbour);
    if (record == state.members.end() || record->second.member.status != MemberStatus::Alive)
        return false;
    if (neighbourState.missedHeartbeats < state.options.failuresToSuspect)
        return false;
    setStatus(state, neighbour, MemberStatus::Suspect, now);
    return true;
}

std::vector<Member> advanceMembership(MembershipState& state, absl::Time now)
{
    removeExpired(state, now);
    std::vector<Member> changed;
    if (isMassSuspicion(state))
        return changed;
    std::vector<std::string> expired;
    for (const auto& [address, record] : state.members) {
        const bool isSuspect = record.member.status == MemberStatus::Suspect;
        if (isSuspect && now - record.statusSince >= state.options.suspectTime)
            expired.push_back(address);
    }
    for (const std::string& address : expired) {
        setStatus(state, address, MemberStatus::Dead, now);
        changed.push_back(state.members.at(address).member);
    }
    return changed;
}

std::vector<Member> routableMembers(const MembershipState& state, absl::string_view service)
{
    std::vector<Member> alive;
    std::vector<Member> suspects;
    for (const auto& [address, record] : state.members) {
        if (record.member.service != service || !record.member.isServing)
            continue;
        if (record.member.status == MemberStatus::Alive)
            alive.push_back(record.member);
        if (record.member.status == MemberStatus::Suspect)
            suspects.push_back(record.member);
    }
    return alive.empty() ? suspects : alive;
}

std::uint64_t memberDigest(const MembershipState& state)
{
    return state.digest;
}

std::vector<Member> allMembers(const MembershipState& state)
{
    std::vector<Member> members;
    members.reserve(state.members.size());
    for (const auto& [address, record] : state.members)
        members.push_back(record.member);
    return members;
}

} // namespace jackdawwall
