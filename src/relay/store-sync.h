/// Synchronization with the platform's store: discovers the other nodes, follows the operators'
/// configuration, and records when the local target leaves. Retries with exponential backoff; an unavailable
/// store blocks nothing else.
#pragma once

#include "relay/platform-port.h"
#include "relay/relay-state.h"

#include <functional>

namespace jackdawwall::relay {

struct StoreSyncEvents {
    std::function<void(const std::string& document)> onConfiguration;
    std::function<void(const std::vector<Member>& members)> onMembers;
    /// The last leave that the store has recorded for an earlier process of this node; empty if there is
    /// none.
    std::function<void(const std::optional<Lifetime>& left)> onPreviousLeave;
    /// The revision under which this node is registered now.
    std::function<void(StoreRevision revision)> onRegistered;
    /// RelayState::canReachStore changed.
    std::function<void()> onReachabilityChanged;
};

class StoreSync {
public:
    StoreSync(RelayState& state, const PlatformPort& port, StoreSyncEvents events);

    void start();
    /// Records the latest lifetime that left; `onStored` is called once the store has accepted it.
    void recordLeave(const std::function<void()>& onStored);

private:
    void registerNode();
    void applyPreviousRecord(const StoredItem& stored);
    /// Lists the nodes with stale reads until one is as recent as this node's registration. Of two nodes, the
    /// one that registers later then knows the other.
    void listNodes(int staleReads);
    void onNodes(const StoreListing& listing, int staleReads);
    /// Starts to follow the configuration; does nothing after the first call.
    void startFollowing();
    /// Reads and watches the configuration if this node is one of the watchers (see RelaySettings::watchers),
    /// else checks again later. A node that gets no configuration from others reads it as well.
    void followConfiguration();
    void listConfiguration();
    /// See planWatch for `isAligned`.
    void watchConfiguration(StoreRevision after, bool isAligned);
    void onListing(const StoreListing& listing);
    void putNodeRecord(std::function<void(absl::StatusOr<StoredItem>)> done);
    /// Runs `attempt` after a delay that grows with each consecutive failure.
    void retryLater(int& failures, const absl::Status& status, std::function<void()> attempt);
    /// Logs and counts the result of a call to the store, such as "watch", that began at `startedAt`.
    void recordCall(absl::string_view call, absl::Time startedAt, const absl::Status& status);
    void runAfter(absl::Duration delay, std::function<void()> step);
    void recordSuccess(StoreRevision revision);
    void recordFailure(const absl::Status& status);
    std::string encodeNodeRecord() const;
    WatcherOptions watcherOptions() const;
    bool isWatcher() const;

    RelayState& state_;
    const PlatformPort& port_;
    StoreSyncEvents events_;
    std::string runId_;
    StoreRevision registeredRevision_ = 0;
    int nodeFailures_ = 0; ///< Consecutive, as the two counters below.
    int configurationFailures_ = 0;
    int storeFailures_ = 0; ///< Of all calls to the store.
    absl::Time lastResponseAt_ = steadyNow(); ///< Of the store to any call, or the start of this object.
    bool isFollowing_ = false;
    /// When a node without a configuration reads it from the store, even if it is no watcher.
    absl::Time nextFallbackRead_ = absl::InfinitePast();
};

} // namespace jackdawwall::relay
