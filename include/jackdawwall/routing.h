/// Choice of a target by what the caller's own node sees: calls in flight, time of answers, failures, and
/// the fraction and queue piggybacked on answers. Power of two choices over a bounded subset of the targets
/// (Mitzenmacher 2001); the subset is chosen by rendezvous hashing, so it stays balanced as members change.
#pragma once

#include "jackdawwall/core.h"
#include "jackdawwall/fair-share.h"

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace jackdawwall {

/// Seeded by the adapter; the library itself draws no randomness from elsewhere.
using Generator = std::mt19937_64;

struct RoutingOptions {
    std::size_t subsetSize = 16; ///< Targets of one service that one node talks to.
    absl::Duration failureBackoff
        = absl::Seconds(1); ///< A failed target is avoided this long, if others are left.
    absl::Duration latencyHalfLife
        = absl::Seconds(1); ///< An old slow answer is forgotten, so that it is tried again.
    absl::Duration remoteCost = absl::Milliseconds(3); ///< Added for a target in another data centre.
    absl::Duration levelHoldTime
        = absl::Milliseconds(300); ///< A fraction is kept this long without news, then raised in steps.
    absl::Duration levelStep = absl::Milliseconds(100);
};

/// A target that may be chosen.
struct Candidate {
    std::string address; ///< Of its node, "ip:port".
    bool isLocal = false; ///< In this data centre.
};

/// What this node has observation of one target.
struct TargetView {
    int inFlight = 0;
    double latency = 0; ///< Seconds, smoothed; 0 until the first answer.
    absl::Time latencyAt = absl::InfinitePast();
    absl::Time avoidUntil = absl::InfinitePast();
    std::uint32_t waiting = 0; ///< Queue reported on the last answer.
};

/// One caller's work of one kind at one service.
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

/// The fraction that a path admits, smoothed over the answers of its targets.
struct PathLevel {
    double fraction = kRankCount;
    absl::Time updatedAt = absl::InfinitePast();
};

struct RoutingState {
    RoutingOptions options;
    absl::flat_hash_map<std::string, TargetView> targets;
    absl::flat_hash_map<PathKey, PathLevel> levels;
};

/// The members of a service that `self` talks to: its own data centre first, then the others, each by
/// rendezvous hash of the pair.
std::vector<Candidate> chooseSubset(
    absl::Span<const Candidate> members, absl::string_view self, std::size_t size);

/// Index of the chosen candidate, or -1 when all are in `excluded` or there is none.
int pickTarget(const RoutingState& state, absl::Span<const Candidate> candidates,
    absl::Span<const std::string> excluded, Generator& generator, absl::Time now);

/// Notes that a call was sent.
void noteSent(RoutingState& state, const std::string& address);

/// How one attempt ended at a target.
struct AttemptObservation {
    bool hasResponse = false; ///< A whole answer came.
    bool isTargetAtFault = false; ///< Unreachable, lost, shedding: avoid it for a while.
    absl::Duration latency;
    std::uint32_t waiting = 0;
};

/// Notes the end of an attempt.
void noteEnd(
    RoutingState& state, const std::string& address, const AttemptObservation& observation, absl::Time now);

/// Notes the fraction heard on an answer.
void notePathLevel(RoutingState& state, const PathKey& key, std::uint32_t fraction, absl::Time now);

/// Ranks below this are worth sending along the path now.
std::uint32_t pathLevel(const RoutingState& state, const PathKey& key, absl::Time now);

} // namespace jackdawwall
