/// Choice of a target from what the caller's own node observes: calls in flight, response times, failures,
/// and the admitted fraction and queue length that are piggybacked on responses. Uses the power of two
/// choices (Mitzenmacher 2001) over a bounded subset of the targets. The subset is chosen by rendezvous
/// hashing, so it stays balanced when members change.
#pragma once

#include "jackdawwall/core.h"
#include "jackdawwall/fair-share.h"
#include "jackdawwall/target-load.h"

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace jackdawwall {

/// Seeded by the adapter; the library uses no other source of randomness.
using Generator = std::mt19937_64;

/// How a target is chosen.
enum class Balance : std::uint8_t {
    Latency, ///< One local and one remote choice, by smoothed latency and calls ahead.
    Speed, ///< Two local choices, then remote ones with free slots, by reported speed and load.
};

struct RoutingOptions {
    Balance balance = Balance::Latency;
    LoadOptions load; ///< For Balance::Speed.
    /// Balance::Speed: a remote target without a recent report is tried at most this often.
    absl::Duration remoteTrialInterval = absl::Milliseconds(500);
    std::size_t subsetSize = 16; ///< Number of targets of a service that one node uses.
    absl::Duration failureBackoff
        = absl::Seconds(1); ///< A failed target is avoided this long if others are available.
    absl::Duration latencyHalfLife
        = absl::Seconds(1); ///< Of an observed latency, so that a slow target is tried again.
    absl::Duration remoteCost = absl::Milliseconds(3); ///< Added latency of a target in another data centre.
    /// Added to remoteCost for each megabyte of the request's body.
    absl::Duration remoteCostPerMegabyte;
    absl::Duration levelHoldTime
        = absl::Milliseconds(300); ///< Without updates, a fraction is kept this long, then raised in steps.
    absl::Duration levelStep = absl::Milliseconds(100); ///< Interval between these steps.
};

/// A target that can be chosen.
struct Candidate {
    std::string address; ///< Address of its node, "ip:port".
    bool isLocal = false; ///< In this data centre.
};

/// Observations of one target by this node.
struct TargetView {
    int inFlight = 0;
    double latency = 0; ///< Smoothed, in seconds; 0 until the first response.
    absl::Time latencyAt = absl::InfinitePast();
    absl::Time avoidUntil = absl::InfinitePast();
    std::uint32_t waiting = 0; ///< Queue length reported with the last response.
    TargetLoad load; ///< For Balance::Speed.
};

/// The calls of one caller for one kind of work at one service.
struct PathKey {
    std::uint64_t service = 0;
    std::uint64_t kind = 0;
    std::uint64_t caller = 0;

    friend bool operator==(const PathKey&, const PathKey&) = default;
    template <typename H> friend H AbslHashValue(H state, const PathKey& key)
    {
        return H::combine(std::move(state), key.service, key.kind, key.caller);
    }
};

/// The fraction of ranks that a path admits, smoothed over the responses of its targets.
struct PathLevel {
    double fraction = kRankCount;
    absl::Time updatedAt = absl::InfinitePast();
};

struct RoutingState {
    RoutingOptions options;
    absl::flat_hash_map<std::string, TargetView> targets;
    absl::flat_hash_map<PathKey, PathLevel> levels;
    std::uint64_t localStarts = 0; ///< Attempts to targets in this data centre.
    std::uint64_t remoteStarts = 0; ///< Attempts to targets in other data centres.
};

/// The members of a service that `self` sends calls to: first those of its own data centre, then the others,
/// each ordered by rendezvous hash of the pair of addresses.
std::vector<Candidate> chooseSubset(
    absl::Span<const Candidate> members, absl::string_view self, std::size_t size);

/// A call for which a target is chosen.
struct RoutingRequest {
    absl::Span<const std::string> excluded; ///< Addresses that were tried before.
    std::uint64_t bodyBytes = 0;
};

/// Index of the chosen candidate, or -1 when there is no candidate outside `excluded`.
int pickTarget(const RoutingState& state, absl::Span<const Candidate> candidates,
    const RoutingRequest& request, Generator& generator, absl::Time now);

/// True if the target gets no work now while others are available.
bool isAvoided(const RoutingState& state, const std::string& address, absl::Time now);

/// Avoids a target until `until`, or longer if that was known before, while others are available.
void avoidTarget(RoutingState& state, const std::string& address, absl::Time until);

/// What is assumed of each candidate now, in the same order. For Balance::Speed.
std::vector<TargetBelief> believedLoads(
    const RoutingState& state, absl::Span<const Candidate> candidates, absl::Time now);

/// Records that an attempt was sent to `address`.
void recordAttemptStart(RoutingState& state, const std::string& address, absl::Time now);

/// What was observed of one attempt when it ended.
struct AttemptObservation {
    bool hasResponse = false; ///< A complete response arrived.
    bool isTargetAtFault = false; ///< Unreachable, disconnected or shedding: avoided for a while.
    absl::Duration latency;
    std::uint32_t waiting = 0;
    std::optional<GateLoad> load {}; ///< Reported with the response.
};

/// Records that an attempt ended.
void recordAttemptEnd(
    RoutingState& state, const std::string& address, const AttemptObservation& observation, absl::Time now);

/// Records the admitted fraction reported with a response.
void recordPathLevel(RoutingState& state, const PathKey& key, std::uint32_t fraction, absl::Time now);

/// Admission level of a path: only calls whose rank is below it are worth sending now.
std::uint32_t pathLevel(const RoutingState& state, const PathKey& key, absl::Time now);

} // namespace jackdawwall
