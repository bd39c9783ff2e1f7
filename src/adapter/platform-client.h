/// The platform's object API as this project uses it (docs/PLATFORM-API.md); the only code that knows it.
#pragma once

#include "adapter/connection-pool.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace jackdawwall {

/// Number that the platform gives to each write; grows over the whole store.
using ObjectVersion = std::uint64_t;

struct StoredObject {
    std::string key;
    std::string value;
    ObjectVersion version = 0;
};

/// Port to the platform. Errors of all calls: NotFound; Aborted when a condition failed; ResourceExhausted
/// over the call rate; Unavailable when the call surely had no effect; DataLoss when a write may have taken
/// effect.
struct Platform {
    std::function<absl::StatusOr<StoredObject>(const std::string& key)> read;
    /// Writes if the stored version is `ifVersion`; 0 means that the key must not exist.
    std::function<absl::StatusOr<ObjectVersion>(
        const std::string& key, const std::string& value, ObjectVersion ifVersion)>
        write;
    std::function<absl::Status(const std::string& key, ObjectVersion ifVersion)> remove;
    /// Objects under a prefix, with values, at most 1000 after `afterKey`.
    std::function<absl::StatusOr<std::vector<StoredObject>>(
        const std::string& prefix, const std::string& afterKey)>
        list;
    /// Waits until the key has a version above `after`; NotFound when the wait timed out without a change.
    std::function<absl::StatusOr<StoredObject>(
        const std::string& key, ObjectVersion after, absl::Duration longest)>
        watch;
};

struct PlatformOptions {
    std::vector<std::string> addresses; ///< Tried in turn.
    absl::Duration timeout = absl::Seconds(2); ///< Of one call, apart from a watch's wait.
};

/// The platform over HTTP; the pool must outlive it.
Platform connectPlatform(const PlatformOptions& options, ConnectionPool& pool);

} // namespace jackdawwall
