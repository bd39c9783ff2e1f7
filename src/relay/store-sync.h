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
};

class StoreSync {
public:
    StoreSync(RelayState& state, const PlatformPort& port, StoreSyncEvents events);

    void start();
    /// Records the latest lifetime that left; `onStored` is called once the store has accepted it.
    void recordLeave(const std::function<void()>& onStored);

private:
    void registerNode();
    void listNodes();
    void listConfiguration();
    /// Watches the configuration if this node is one of the watchers (see RelaySettings::watchers), else
    /// checks again later.
    void followConfiguration(StoreRevision after);
    void watchConfiguration(StoreRevision after);
    void onListing(const absl::StatusOr<StoreListing>& listing);
    void putNodeRecord(std::function<void(absl::StatusOr<StoredItem>)> done);
    /// Runs `attempt` after a delay that grows with each consecutive failure.
    void retryLater(int& failures, const absl::Status& status, std::function<void()> attempt);
    std::string encodeNodeRecord() const;
    bool isWatcher() const;

    RelayState& state_;
    const PlatformPort& port_;
    StoreSyncEvents events_;
    std::string runId_;
    int nodeFailures_ = 0;
    int configurationFailures_ = 0;
    bool isStoreUnavailable_ = false;
};

} // namespace jackdawwall::relay
