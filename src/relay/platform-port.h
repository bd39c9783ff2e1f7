/// Interfaces to the platform that a node requires: a durable object store, the operators' configuration, and
/// the heartbeats of targets. Adapters implement them and invoke all callbacks on the event loop.
#pragma once

#include "jackdawwall/route-table.h"
#include "jackdawwall/target-lifetime.h"
#include "jackdawwall/watcher-selection.h"
#include "relay/message.h"
#include "relay/relay-state.h"

#include "absl/status/statusor.h"

#include <functional>
#include <string>
#include <vector>

namespace jackdawwall::relay {

/// Number of a change; consecutive over all objects in the store.
using StoreRevision = std::uint64_t;

/// Number of times that the store has come back from a copy some seconds old, from a number of its own; 0:
/// not known. What was written in the lost seconds is gone, and its revisions are given out again.
using StoreEra = std::uint64_t;

struct StoredItem {
    std::string name;
    StoreRevision revision = 0; ///< Revision of its last change.
    std::string content; ///< JSON text, not validated.
    bool isDeleted = false;
};

struct StoreListing {
    std::vector<StoredItem> items; ///< Objects of a list, or changes of a watch in order.
    StoreRevision revision = 0; ///< Revision after which to start the next watch.
};

/// Kind of objects in the store.
using StoreKind = std::string;

/// How recent the response to a read must be.
enum class ReadConsistency : std::uint8_t {
    Latest,
    Stale, ///< May be seconds old, which costs the store less.
};

/// Returns the new content of an object. `previous` is the current one, empty if there is none. May be called
/// several times.
using MergeContent = std::function<std::string(const std::string& previous)>;

struct ObjectStorePort {
    /// All objects of a kind.
    std::function<void(const StoreKind&, ReadConsistency, std::function<void(absl::StatusOr<StoreListing>)>)>
        list;
    /// Creates an object, or replaces the content that MergeContent was called with. A write that was delayed
    /// so that another one came first has no effect. Returns the new revision, and the previous content if
    /// the object existed.
    std::function<void(const StoreKind&, const std::string& name, const MergeContent&,
        std::function<void(absl::StatusOr<StoredItem>)>)>
        update;
    /// Waits for changes after a revision; returns an empty listing if there was none. OutOfRange if the
    /// store no longer has that history, DeadlineExceeded if it did not respond.
    std::function<void(
        const StoreKind&, StoreRevision, WatchTiming, std::function<void(absl::StatusOr<StoreListing>)>)>
        watch;
    /// Sets what is called with the era of each response, before the callback of the call. Null if the store
    /// names no eras.
    std::function<void(std::function<void(StoreEra)>)> observeEra;
};

/// A message from the local target about its own state.
struct TargetMessage {
    enum class Kind : std::uint8_t { Unreadable, Heartbeat, Leave };
    Kind kind = Kind::Unreadable;
    Heartbeat heartbeat; ///< For Leave only the lifetime is set.
    std::string service; ///< Service of the target; empty if the message names none.
};

struct PlatformPort {
    ObjectStorePort store;
    StoreKind configurationKind; ///< Kind of the object with the operators' configuration.
    std::string configurationName; ///< Name of that object.
    StoreKind nodeKind; ///< Kind of the nodes' records, by which nodes discover each other.
    /// Decodes the configuration that the store or another node sent. Leaves `appliedAt` unset, and
    /// `document` as well unless other nodes must not receive the text itself.
    std::function<absl::StatusOr<Configuration>(const std::string&)> decodeConfiguration;
    /// Decodes a request to the heartbeat address; null if targets send none.
    std::function<TargetMessage(const Request&)> decodeTargetMessage;
    /// Extracts the document of a configuration submitted to the operators' port; null: submissions are not
    /// accepted.
    std::function<absl::StatusOr<std::string>(const Request&)> decodeSubmittedConfiguration;
};

} // namespace jackdawwall::relay
