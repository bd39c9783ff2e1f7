/// Who is there: each node's view of all members, merged from what its neighbours tell. Records are ordered
/// by incarnation, then by status, and only the member itself raises its incarnation (SWIM, 2002). Changes
/// are numbered locally so that each neighbour is sent exactly what it has not acknowledged.
#pragma once

#include "jackdawwall/core.h"
#include "jackdawwall/target-lifetime.h"

#include "absl/container/btree_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jackdawwall {

/// Ordered: at one incarnation the later status wins.
enum class MemberStatus : std::uint8_t {
    Alive,
    Suspect, ///< Gets no new work while others are left.
    Leaving, ///< Gets no new work.
    Dead, ///< Kept so that old updates of it stays old.
};

/// "alive", "suspect", "leaving" or "dead".
absl::string_view toText(MemberStatus status);

/// One member as the nodes tell it to each other.
struct Member {
    std::string peerAddress; ///< Key: where its node takes calls from nodes, "ip:port".
    std::uint64_t incarnation = 0;
    MemberStatus status = MemberStatus::Alive;
    std::string service;
    std::string dataCentre;
    std::string operatorAddress;
    bool isServing = true; ///< Its target takes new work.
    std::string leftTarget; ///< Id of the newest lifetime of its target that is known to have left.
    std::uint64_t leftStartedAt = 0; ///< Start of that lifetime, Unix milliseconds.

    friend bool operator==(const Member&, const Member&) = default;
};

struct MembershipOptions {
    absl::Duration suspectTime = absl::Seconds(2); ///< From suspect to dead.
    absl::Duration deadTime = absl::Hours(3); ///< A dead record is kept this long: longer than a partition.
    int failuresToSuspect = 2; ///< Heartbeats missedHeartbeats in a row.
    double massSuspicionShare = 0.3; ///< Above this share of suspects nobody is declared dead.
    std::size_t massSuspicionMinimum = 4; ///< Suspects before massSuspicionShare counts.
};

/// A member with what this node knows of it.
struct MemberRecord {
    Member member;
    std::uint64_t changeNumber = 0; ///< Local number of the last change.
    absl::Time statusSince;
};

/// What one neighbour has been received.
struct NeighbourState {
    std::uint64_t acknowledged = 0; ///< Change number up to which it knows all.
    int missedHeartbeats = 0; ///< Heartbeats in a row without an answer.
};

struct MembershipState {
    MembershipOptions options;
    std::string self;
    absl::btree_map<std::string, MemberRecord> members;
    absl::btree_map<std::string, NeighbourState> neighbours;
    std::uint64_t lastChange = 0;
    std::uint64_t digest = 0; ///< Sum over the hashes of all records, kept up with each change.
};

/// State of a node that knows only itself.
MembershipState makeMembership(const Member& self, const MembershipOptions& options, absl::Time now);

/// Merges what somebody received. Returns the members whose record changed. News of this node's own end is
/// answered by a higher incarnation, which also announces a restart under the same address.
std::vector<Member> mergeMembers(MembershipState& state, absl::Span<const Member> received, absl::Time now);

/// Announces that this node leaves.
void announceLeave(MembershipState& state, absl::Time now);

/// What a node says of itself.
struct LocalRecord {
    MemberStatus status = MemberStatus::Alive;
    bool isServing = false; ///< The own target takes new work.
    std::optional<Lifetime> lastLeft; ///< Newest lifetime of the target that left.
    std::uint64_t minimumIncarnation = 0;
};

/// Changes this node's own record under a higher incarnation. Does nothing when nothing is new.
void setLocalRecord(MembershipState& state, const LocalRecord& record, absl::Time now);

/// Members that this node talks to: successors on a ring of hashes and members at doubling distances, so
/// that updates crosses n members in about log2(n) rounds.
std::vector<Member> chooseNeighbours(const MembershipState& state, std::size_t successors);

/// Records that `neighbour` has not yet acknowledged, oldest change first, at most `limit`. Sets `upTo` to
/// the change number that an answer acknowledges.
std::vector<Member> updatesFor(
    const MembershipState& state, absl::string_view neighbour, std::size_t limit, std::uint64_t& upTo);

/// Notes that a neighbour answered a message that carried updates up to `upTo`.
void noteHeartbeat(MembershipState& state, const std::string& neighbour, std::uint64_t upTo, absl::Time now);

/// Notes that a neighbour did not answer. Returns true when it became suspect.
bool noteMissedHeartbeat(MembershipState& state, const std::string& neighbour, absl::Time now);

/// Moves suspects on to dead, unless so many are suspect that this node is likely cut off, and forgets old
/// records. Returns the members whose status changed.
std::vector<Member> advanceMembership(MembershipState& state, absl::Time now);

/// Members that may get new work of a service. Suspects are listed only when nobody else is left.
std::vector<Member> routableMembers(const MembershipState& state, absl::string_view service);

/// Sum over all records that equal views share, for the periodic comparison.
std::uint64_t memberDigest(const MembershipState& state);

/// All records.
std::vector<Member> allMembers(const MembershipState& state);

} // namespace jackdawwall
