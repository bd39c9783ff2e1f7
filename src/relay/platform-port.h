/// What a node needs from the platform, as ports: a store of objects that last, the operators' configuration,
/// and the heartbeats of targets. Adapters implement them; all answers come from the event loop.
#pragma once

#include "jackdawwall/route-table.h"
#include "jackdawwall/target-lifetime.h"
#include "relay/message.h"
#include "relay/relay-state.h"

#include "absl/status/statusor.h"

#include <functional>
#include <string>
#include <vector>

namespace jackdawwall::relay {

/// Counts the changes of the whole store.
using StoreRevision = std::uint64_t;

struct StoredItem {
    std::string name;
    StoreRevision revision = 0; ///< Of its last change.
    std::string content; ///< JSON text.
    bool isDeleted = false;
};

struct StoreListing {
    std::vector<StoredItem> items; ///< Objects, or changes in their order.
    StoreRevision revision = 0; ///< To continue from.
};

/// Kind of objects in the store.
using StoreKind = std::string;

struct ObjectStorePort {
    /// All objects of a kind.
    std::function<void(const StoreKind&, std::function<void(absl::StatusOr<StoreListing>)>)> list;
    /// Creates or replaces an object. Answers its new revision, and what it held before if it existed.
    std::function<void(const StoreKind&, const StoredItem&, std::function<void(absl::StatusOr<StoredItem>)>)>
        put;
    /// Waits for changes after a revision; an empty listing when there was none. OutOfRange when that history
    /// is gone.
    std::function<void(
        const StoreKind&, StoreRevision, absl::Duration, std::function<void(absl::StatusOr<StoreListing>)>)>
        watch;
};

/// Something that the target beside this node said of itself.
struct TargetMessage {
    enum class Kind : std::uint8_t { Unreadable, Heartbeat, Leave };
    Kind kind = Kind::Unreadable;
    Heartbeat heartbeat; ///< For Leave only the lifetime is set.
    std::string service; ///< That it belongs to; empty when it did not say.
};

struct PlatformPort {
    ObjectStorePort store;
    StoreKind configurationKind; ///< Where the operators keep their configuration,
    std::string configurationName; ///< and under which name.
    StoreKind nodeKind; ///< Where nodes find each other.
    /// Configuration from the text that the store or another node gave; `document` and `since` are left open.
    std::function<absl::StatusOr<Configuration>(const std::string&)> decodeConfiguration;
    /// A call on the heartbeat address; null when targets send none.
    std::function<TargetMessage(const Request&)> decodeTargetMessage;
    /// A configuration that an operator hands over on the operators' port, as a document; null: none is
    /// taken there.
    std::function<absl::StatusOr<std::string>(const Request&)> decodeSubmittedConfiguration;
};

} // namespace jackdawwall::relay
