/// Routes by host and path prefix: which service does the work, what may be repeated and for how long a
/// caller waits. A table is immutable; a newer version replaces it whole.
#pragma once

#include "jackdawwall/core.h"

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jackdawwall {

/// Version of an operator's configuration; 0 before the first.
using RouteVersion = std::uint64_t;

/// One part of a route that is divided between services.
struct WeightedService {
    std::string service;
    double weight = 1; ///< Relative to the other services; 0 gets nothing.
};

struct Route {
    std::string name;
    std::string host; ///< Lower case, without port.
    std::string prefix; ///< Begins and ends with a slash.
    std::vector<WeightedService> services; ///< One part for a route to a single service.
    bool isIdempotent = false; ///< False: runs at most once.
    Priority priority = Priority::Browse;
    absl::Duration timeout = absl::Seconds(5); ///< Longest time that a caller is kept waiting.
    absl::Duration latencyObjective = absl::Seconds(1); ///< Latency objective.
    int attempts = 1; ///< Targets to which one request may be sent.
};

/// What a caller may send and how long it may take.
struct CallerLimits {
    std::uint32_t headerBytes = 16U << 10;
    std::uint64_t bodyBytes = 64ULL << 20;
    absl::Duration headerTime = absl::Seconds(3); ///< From the first byte of a request to its last header.
    absl::Duration idleTime = absl::Seconds(15); ///< Of a kept connection without a request.
};

struct RouteTable {
    RouteVersion version = 0;
    absl::flat_hash_map<std::string, std::vector<Route>> byHost; ///< Longest prefix first.
    CallerLimits limits;
};

/// Adds a route, keeping the longest prefix of its host first.
void addRoute(RouteTable& table, Route route);

/// The route with the longest prefix that begins `path`; null when none matches. `host` may carry a port and
/// upper case.
const Route* matchRoute(const RouteTable& table, absl::string_view host, absl::string_view path);

/// Position of each divided route in its sequence of choices.
struct SplitState {
    absl::flat_hash_map<std::string, std::vector<double>> credits; ///< By route name, one per part.
};

/// Service for the next request of a route. Smooth weighted round robin, so that short runs keep the weights
/// too. Empty when no part has weight.
const std::string& chooseService(SplitState& state, const Route& route);

} // namespace jackdawwall
