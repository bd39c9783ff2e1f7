/// Membership: each node's view of all members, merged from the updates of its neighbours. Records are
/// ordered by incarnation, then by status, and only the member itself raises its incarnation (SWIM, 2002).
/// Changes are numbered locally, so that each neighbour is sent exactly the changes that it has not
/// acknowledged.
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

/// Ordered: within one incarnation the higher status wins.
enum class MemberStatus : std::uint8_t {
    Alive,
    Suspect, ///< Gets no new work while other members are available.
    Leaving, ///< Gets no new work.
    Dead, ///< The record is kept so that outdated updates can't revive the member.
};

/// "alive", "suspect", "leaving" or "dead".
absl::string_view toText(MemberStatus status);

/// One member as nodes report it to each other.
struct Member {
    std::string peerAddress; ///< Key: address at which its node accepts calls from nodes, "ip:port".
    std::uint64_t incarnation = 0;
    MemberStatus status = MemberStatus::Alive;
    std::string service;
    std::string dataCentre;
    std::string operatorAddress;
    bool isServing = true; ///< Its target accepts new work.
    bool canReachStore = true; ///< False once its calls to the platform's store have failed repeatedly.
    std::string leftTarget; ///< Id of the newest lifetime of its target that has left.
    std::uint64_t leftStartedAt = 0; ///< Start of that lifetime, Unix milliseconds.

    friend bool operator==(const Member&, const Member&) = default;
};

/// Copies the leave of `other`, a record of the same member, if it is newer than the one in `member`. A leave
/// outlives each process of the node that acknowledged it, so no record may replace it by an older one.
void keepNewerLeave(Member& member, const Member& other);

struct MembershipOptions {
    absl::Duration suspectTime = absl::Seconds(2); ///< Time until a suspect is declared dead.
    /// Retention of dead and leaving records; longer than a partition.
    absl::Duration deadTime = absl::Hours(3);
    int failuresToSuspect = 2; ///< Consecutive missed heartbeats that make a member suspect.
    double massSuspicionShare = 0.3; ///< Above this share of suspects no member is declared dead.
    std::size_t massSuspicionMinimum = 4; ///< Number of suspects from which massSuspicionShare applies.
};

/// A member with the local bookkeeping of this node.
struct MemberRecord {
    Member member;
    std::uint64_t changeNumber = 0; ///< Local number of the last change.
    absl::Time statusSince;
};

/// Synchronization state of one neighbour.
struct NeighbourState {
    std::uint64_t acknowledged = 0; ///< All changes up to this number are acknowledged.
    int missedHeartbeats = 0; ///< Consecutive heartbeats without a response.
};

struct MembershipState {
    MembershipOptions options;
    std::string self;
    absl::btree_map<std::string, MemberRecord> members;
    absl::btree_map<std::string, NeighbourState> neighbours;
    std::uint64_t lastChange = 0;
    absl::Time lastContactAt; ///< Latest response of a neighbour, or the start of this node.
    std::uint64_t digest = 0; ///< Sum of the hashes of all records, updated with each change.
};

/// Membership of a node that knows only itself.
MembershipState makeMembership(const Member& self, const MembershipOptions& options, absl::Time now);

/// Merges received records; of two leaves of a member's target the newer one is kept. Returns the members
/// whose record changed. A wrong record of this node itself, for example one that declares it dead, is
/// refuted with a higher incarnation; this also announces a restart under the same address.
std::vector<Member> mergeMembers(MembershipState& state, absl::Span<const Member> received, absl::Time now);

/// Announces that this node is leaving.
void announceLeave(MembershipState& state, absl::Time now);

/// The fields of a node's record that the node itself sets.
struct LocalRecord {
    MemberStatus status = MemberStatus::Alive;
    bool isServing = false; ///< The local target accepts new work.
    bool canReachStore = true;
    std::optional<Lifetime> lastLeft; ///< Newest lifetime of the local target that has left.
    std::uint64_t minimumIncarnation = 0;
};

/// Updates the record of this node and raises its incarnation. Does nothing if the record is unchanged and
/// its incarnation is not below the minimum.
void setLocalRecord(MembershipState& state, const LocalRecord& record, absl::Time now);

/// Neighbours of this node: its successors on a hash ring and the members at doubling distances, so that an
/// update reaches n members in about log2(n) rounds.
std::vector<Member> chooseNeighbours(const MembershipState& state, std::size_t successors);

/// Returns at most `limit` member records that `neighbour` has not acknowledged yet, oldest change first.
/// Sets `upTo` to the change number that a response acknowledges.
std::vector<Member> updatesFor(
    const MembershipState& state, absl::string_view neighbour, std::size_t limit, std::uint64_t& upTo);

/// Records that a neighbour responded to a message with updates up to `upTo`.
void recordHeartbeat(
    MembershipState& state, const std::string& neighbour, std::uint64_t upTo, absl::Time now);

/// Records that a neighbour did not respond. Returns true if it became suspect.
bool recordMissedHeartbeat(MembershipState& state, const std::string& neighbour, absl::Time now);

/// Declares suspects dead after `suspectTime`, unless so many are suspect that this node itself is probably
/// cut off, and removes expired records. Returns the members whose status changed.
std::vector<Member> advanceMembership(MembershipState& state, absl::Time now);

/// Members that may get new work of a service. Suspects are returned only when no other member is available.
std::vector<Member> routableMembers(const MembershipState& state, absl::string_view service);

/// Digest of all records, for the periodic comparison: equal views have equal digests.
std::uint64_t memberDigest(const MembershipState& state);

/// All records.
std::vector<Member> allMembers(const MembershipState& state);

} // namespace jackdawwall
