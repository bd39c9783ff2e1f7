/// Synchronization with the platform's store: discovers the other nodes, follows the operators'
/// configuration, and records when the local target leaves. Retries with exponential backoff; an unavailable
/// store blocks nothing else.
#pragma once

#include "relay/callback-guard.h"
#include "relay/platform-port.h"
#include "relay/relay-state.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace jackdawwall::relay {

struct StoreSyncEvents {
    std::function<void(const std::string& document)> onConfiguration;
    std::function<void(const std::vector<Member>& members)> onMembers;
    /// The last leave that the store has recorded for an earlier process of this node; empty if there is
    /// none. Later ones may have been acknowledged while the store was away.
    std::function<void(const std::optional<Lifetime>& left)> onPreviousLeave;
    /// The record of earlier processes was written before the store came back from a copy, so it may lack
    /// leaves. Called before onPreviousLeave.
    std::function<void()> onOutdatedRecord;
    /// The revision under which this node is registered now.
    std::function<void(StoreRevision revision)> onRegistered;
    /// RelayState::canReachStore changed.
    std::function<void()> onReachabilityChanged;
    /// RelayState::storeEra has risen: the store came back from a copy.
    std::function<void()> onRestored;
};

class StoreSync {
public:
    StoreSync(RelayState& state, const PlatformPort& port, StoreSyncEvents events);

    void start();
    /// Makes the store hold the newest leave of the local target, or a later one. `onStored` is called once
    /// it does.
    void recordLeave(const Lifetime& left, std::function<void()> onStored);
    /// Writes and reads again what the store may have lost, if this era is later than the one known.
    void applyEra(StoreEra era);

private:
    /// A leave that the store does not hold yet.
    struct PendingLeave {
        Lifetime lifetime;
        std::function<void()> onStored;
    };

    void registerNode();
    void onRegistration(const StoredItem& stored);
    /// Registers the node again. Without a leave to be written, at a random time, as all nodes do so.
    void scheduleRegistration();
    void applyPreviousRecord(const StoredItem& stored, bool isOfEarlierProcess);
    void writeLeave();
    bool isStored(const Lifetime& left) const;
    /// Reports the leaves that the store holds now and writes the others.
    void onRecordWritten();
    /// Lists the nodes with stale reads until one is as recent as this node's registration. Of two nodes, the
    /// one that registers later then knows the other.
    void listNodes(int staleReads);
    void onNodes(const StoreListing& listing, int staleReads);
    /// Starts to follow the configuration; does nothing after the first call.
    void startFollowing();
    /// Reads and watches the configuration if this node is one of the watchers (see RelaySettings::watchers),
    /// else checks again later. A node that gets no configuration from others reads it as well.
    void followConfiguration();
    /// Runs `step` unless the configuration is followed anew meanwhile.
    std::function<void()> unlessRestarted(std::function<void()> step);
    void listConfiguration();
    /// See planWatch for `isAligned`.
    void watchConfiguration(StoreRevision after, bool isAligned);
    void onListing(const StoreListing& listing);
    /// Writes this node's record with the newest leave that this process or the store knows.
    void updateNodeRecord(std::function<void(absl::StatusOr<StoredItem>)> done);
    /// Runs `attempt` after a delay that grows with each consecutive failure.
    void retryLater(int& failures, const absl::Status& status, std::function<void()> attempt);
    /// Logs and counts the result of a call to the store, such as "watch", that began at `startedAt`.
    void recordCall(absl::string_view call, absl::Time startedAt, const absl::Status& status);
    void runAfter(absl::Duration delay, std::function<void()> step);
    void recordSuccess(StoreRevision revision);
    void recordFailure(const absl::Status& status);
    std::string encodeNodeRecord(const std::string& previous) const;
    WatcherOptions watcherOptions() const;
    bool isWatcher() const;

    RelayState& state_;
    const PlatformPort& port_;
    CallbackGuard guard_;
    StoreSyncEvents events_;
    std::string runId_;
    StoreRevision registeredRevision_ = 0; ///< 0 before this node is registered.
    std::optional<Lifetime> storedLeave_; ///< Newest leave that the store is known to hold.
    std::vector<PendingLeave> pendingLeaves_;
    bool isWritingLeave_ = false;
    bool isRegistering_ = false;
    bool isRegistrationDue_ = false; ///< The registration may be lost or incomplete.
    unsigned followRun_ = 0; ///< Number of times that following the configuration began anew.
    int nodeFailures_ = 0; ///< Consecutive, as the two counters below.
    int configurationFailures_ = 0;
    int storeFailures_ = 0; ///< Of all calls to the store.
    absl::Time lastResponseAt_ = steadyNow(); ///< Of the store to any call, or the start of this object.
    bool isFollowing_ = false;
    /// When a node without a configuration reads it from the store, even if it is no watcher.
    absl::Time nextFallbackRead_ = absl::InfinitePast();
};

} // namespace jackdawwall::relay
