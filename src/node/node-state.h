/// What the threads of one node share: the decision state behind one lock, and the catalogue in force.
#pragma once

#include "jackdawwall/call-flow.h"

#include "adapter/connection-pool.h"
#include "adapter/metrics.h"
#include "adapter/platform-client.h"
#include "node/settings.h"

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace jackdawwall {

/// Wakes the thread of a waiting call.
struct Waiter {
    int eventFd = -1;
    bool isDecided = false;
    Reason reason = Reason::None; ///< None: started.
};

/// Threads whose calls wait for the own target, by call.
using Waiters = absl::flat_hash_map<CallId, std::shared_ptr<Waiter>>;

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
    NodeDecisions decisions ABSL_GUARDED_BY(mutex);
    Waiters waiters ABSL_GUARDED_BY(mutex);
    CallId lastCallId ABSL_GUARDED_BY(mutex) = 0;

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

/// Wakes the threads that a release names.
void wakeReleased(Waiters& waiters, const Release& release);

} // namespace jackdawwall
