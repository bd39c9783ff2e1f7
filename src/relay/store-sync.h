/// Dealings with the platform's store: finds the other nodes, follows the operators' configuration, and
/// records when the own target leaves. Retries with growing pauses; a store that is away stops nothing else.
#pragma once

#include "relay/platform-port.h"
#include "relay/relay-state.h"

#include <functional>

namespace jackdawwall::relay {

struct StoreSyncEvents {
    std::function<void(const std::string& document)> onConfiguration;
    std::function<void(const std::vector<Member>& members)> onMembers;
    /// What the store holds of an earlier run of this node; empty when nothing.
    std::function<void(const std::optional<Lifetime>& left)> onPreviousLeave;
    /// The revision under which this node is registered now.
    std::function<void(StoreRevision revision)> onRegistered;
};

class StoreSync {
public:
    StoreSync(RelayState& state, const PlatformPort& port, StoreSyncEvents events);

    void start();
    /// Records the newest lifetime that left; `stored` is called when the store has it.
    void recordLeave(const std::function<void()>& onStored);

private:
    void registerNode();
    void listNodes();
    void listConfiguration();
    /// Watches if this node is one of the watchers, else looks again later.
    void followConfiguration(StoreRevision after);
    void watchConfiguration(StoreRevision after);
    void onListing(const absl::StatusOr<StoreListing>& listing);
    void putNodeRecord(std::function<void(absl::StatusOr<StoredItem>)> done);
    /// Runs `step` after a pause that grows with each failure in a row.
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
