/// In-memory object store of the platform stand-in: versioned objects, conditional updates and blocking
/// watches.
#pragma once

#include "absl/status/statusor.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jackdawwall::standin {

struct Object {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

class ObjectStore {
public:
    absl::StatusOr<Object> read(const std::string& key) const;
    /// Returns the new version. Fails with Aborted unless the stored version equals `ifVersion`; 0 requires
    /// that the object does not exist.
    absl::StatusOr<std::uint64_t> write(
        const std::string& key, const std::string& value, std::uint64_t ifVersion);
    /// Fails with NotFound without such an object, and with Aborted unless its version equals `ifVersion`.
    absl::Status remove(const std::string& key, std::uint64_t ifVersion);
    /// Returns up to `limit` objects with the prefix, in key order, starting after `afterKey`.
    std::vector<Object> list(const std::string& prefix, const std::string& afterKey, std::size_t limit) const;
    /// Waits until the version of the object exceeds `afterVersion`. Returns NotFound when `timeout` expires
    /// first.
    absl::StatusOr<Object> watch(
        const std::string& key, std::uint64_t afterVersion, absl::Duration timeout) const;

private:
    bool isNewer(const std::string& key, std::uint64_t afterVersion) const;

    mutable absl::Mutex mutex_;
    std::map<std::string, Object> objects_;
    std::uint64_t lastVersion_ = 0;
};

} // namespace jackdawwall::standin
