/// Chooses the coordinator of a customer's rate limit. All nodes rank the members by the same hash, so no
/// election is needed; that views differ for a while is covered by the rules of token-coordinator.h.
#pragma once

#include "jackdawwall/membership.h"
#include "jackdawwall/token-coordinator.h"

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <string>

namespace jackdawwall {

/// Peer addresses of the alive members with a serving target that come first and second by rendezvous hash;
/// of all alive members if none has one. Empty if there is none.
struct CoordinatorChoice {
    std::string first;
    std::string deputy;
};

CoordinatorChoice chooseCoordinators(const MembershipState& state, absl::string_view customer);

/// Coordinators that did not respond, with the time until which they are not asked again.
using SkippedCoordinators = absl::flat_hash_map<std::string, absl::Time>;

/// Records that a coordinator did not respond.
void skipCoordinator(SkippedCoordinators& skipped, const std::string& address, absl::Time now);

/// Where to send a lease request; the address is empty if neither the first nor the deputy responds.
struct LeaseTarget {
    std::string address;
    bool isDeputy = false;
};

LeaseTarget chooseLeaseTarget(
    const CoordinatorChoice& choice, const SkippedCoordinators& skipped, absl::Time now);

/// True if no neighbour has responded for so long that other nodes have probably taken over. A node without
/// other alive or suspect members is not cut off; see reachableShare.
bool isCutOff(const MembershipState& state, absl::Time now);

/// What this node may do as coordinator of a customer. `isAskedAsDeputy`: the requesting node could not reach
/// the first.
CoordinatorStanding standingFor(
    const MembershipState& state, absl::string_view customer, bool isAskedAsDeputy, absl::Time now);

} // namespace jackdawwall
