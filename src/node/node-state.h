/// What the threads of one node share: the decision state behind one lock, and the catalogue in force.
#pragma once

#include "jackdawwall/admission.h"
#include "jackdawwall/catalogue.h"
#include "jackdawwall/hedging.h"
#include "jackdawwall/membership.h"
#include "jackdawwall/rate-limit.h"
#include "jackdawwall/retry-budget.h"
#include "jackdawwall/routing.h"

#include "adapter/connection-pool.h"
#include "adapter/platform-client.h"
#include "node/metrics.h"
#include "node/settings.h"

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace jackdawwall {

/// A call that the own target is working on; calls that the target makes in turn belong to it.
struct InboundCall {
    std::string requestId;
    std::string caller;
    std::string kind;
    Priority priority = Priority::Bulk;
    std::uint32_t rank = 0;
    std::uint32_t weight = 1;
    std::uint32_t depth = 0;
    bool isRepeatable = true;
    absl::Time deadline;
    Allowance allowance;
    std::uint32_t pathFraction = kRankCount; ///< Least of the fractions heard from deeper services.
    bool hasChildFailed = false;
    std::uint32_t childCount = 0;
};

/// Wakes the thread of a waiting call.
struct Waiter {
    int eventFd = -1;
    bool isDecided = false;
    Reason reason = Reason::None; ///< None: started.
};

/// Decision state; free functions change it under the lock of NodeState.
struct DecisionState {
    AdmissionState admission;
    RoutingState routing;
    MembershipState membership;
    HedgeState hedging;
    RetryRatio retries;
    RateLimitState callerLimits;
    Generator generator;
    absl::flat_hash_map<std::string, InboundCall> inbound; ///< By token.
    absl::flat_hash_map<CallId, std::shared_ptr<Waiter>> waiters;
    absl::flat_hash_map<std::string, std::vector<Candidate>> subsets; ///< By service; cleared on change.
    CallId lastCallId = 0;
};

/// The catalogue version in force and since when.
struct InForce {
    CatalogueVersion version = 0;
    absl::Time since;
};

class NodeState {
public:
    explicit NodeState(NodeSettings nodeSettings);

    const NodeSettings settings;
    ConnectionPool pool;
    Metrics metrics;
    Platform platform;
    std::string callerAddress; ///< In use; set before the first call is taken.
    std::string peerAddress;
    std::string controlAddress;
    std::atomic<bool> isLeaving { false };

    absl::Mutex mutex;
    DecisionState decisions ABSL_GUARDED_BY(mutex);

    /// The catalogue in force; never null.
    std::shared_ptr<const Catalogue> catalogue() const;
    InForce inForce() const;
    /// Text of the document in force and its version, for other nodes.
    StoredObject catalogueDocument() const;
    /// Puts a stored document in force if it is newer and valid. Returns true when it took hold.
    bool offerCatalogue(const StoredObject& document);

private:
    mutable absl::Mutex catalogueMutex_;
    std::shared_ptr<const Catalogue> catalogue_ ABSL_GUARDED_BY(catalogueMutex_);
    StoredObject document_ ABSL_GUARDED_BY(catalogueMutex_);
    absl::Time since_ ABSL_GUARDED_BY(catalogueMutex_);
};

/// Targets of a service that this node talks to, from the membership.
const std::vector<Candidate>& candidatesFor(
    DecisionState& decisions, const NodeSettings& settings, const std::string& service);

/// Wakes the threads that a release names.
void wakeReleased(DecisionState& decisions, const Release& release);

} // namespace jackdawwall
