/// Routes by host and path prefix: which service handles a request, whether it is idempotent and how long a
/// caller waits. A table is immutable; a newer version replaces the entire table.
#pragma once

#include "jackdawwall/catalogue.h"
#include "jackdawwall/core.h"

#include "absl/container/flat_hash_map.h"
#include "absl/hash/hash.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jackdawwall {

/// Version of an operator's configuration; 0 before the first.
using RouteVersion = std::uint64_t;

/// One service of a route, with its share of the requests.
struct WeightedService {
    std::string service;
    double weight = 1; ///< Relative to the other services of the route; 0 gets no requests.
};

struct Route {
    std::string name;
    std::string host; ///< Lower case, without port.
    std::string prefix; ///< Begins and ends with a slash.
    std::vector<WeightedService> services; ///< A single entry unless the route is split.
    bool isIdempotent = false; ///< False: runs at most once.
    Priority priority = Priority::Browse;
    absl::Duration timeout = absl::Seconds(5); ///< Maximum time that a caller waits.
    absl::Duration latencyObjective = absl::Seconds(1);
    int attempts = 1; ///< Maximum number of targets that one request may reach.
    bool isPublic = false; ///< Needs no key, even if the table has customers.
};

/// Salted keyed hash of a customer's key. The key itself is not kept.
using KeyHash = std::array<std::uint8_t, 16>;

/// Compares hashes in constant time, so that the time of a refusal tells nothing about the hash of a key.
struct KeyHashEqual {
    bool operator()(const KeyHash& left, const KeyHash& right) const
    {
        unsigned difference = 0;
        for (std::size_t index = 0; index < left.size(); ++index)
            difference |= static_cast<unsigned>(left[index] ^ right[index]);
        return difference == 0;
    }
};

/// Names of customers by the hash of a key.
using CustomerKeys = absl::flat_hash_map<KeyHash, std::string, absl::Hash<KeyHash>, KeyHashEqual>;

/// Limits on the size and duration of callers' requests.
struct CallerLimits {
    std::uint32_t headerBytes = 16U << 10;
    std::uint64_t bodyBytes = 64ULL << 20;
    absl::Duration headerTime = absl::Seconds(3); ///< From the first byte of a request to its last header.
    absl::Duration idleTime = absl::Seconds(15); ///< Of a keep-alive connection without a request.
};

struct RouteTable {
    RouteVersion version = 0;
    absl::flat_hash_map<std::string, std::vector<Route>> byHost; ///< Longest prefix first.
    CallerLimits limits;
    /// Callers that are identified by a key, by name. Empty: requests need no key.
    absl::flat_hash_map<std::string, CallerEntry> customers;
    std::string keySalt; ///< Used for all hashes in `customerKeys`.
    CustomerKeys customerKeys;
};

/// Adds a route. The routes of a host stay sorted by descending prefix length.
void addRoute(RouteTable& table, Route route);

/// Returns the route with the longest prefix of `path`, or null if none matches. `host` may have a port and
/// upper-case letters.
const Route* matchRoute(const RouteTable& table, absl::string_view host, absl::string_view path);

/// State of the weighted round robin of each split route.
struct SplitState {
    absl::flat_hash_map<std::string, std::vector<double>> credits; ///< By route name, one value per service.
};

/// Chooses the service for the next request of a route by smooth weighted round robin, which follows the
/// weights even over short sequences. Empty when no service has a weight.
const std::string& chooseService(SplitState& state, const Route& route);

} // namespace jackdawwall
