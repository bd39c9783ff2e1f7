/// The platform's object API as this project assumes it (docs/PLATFORM-API.md); the only code that knows it.
#pragma once

#include "relay/upstream.h"

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

template <typename Value> using ObjectCallback = std::function<void(absl::StatusOr<Value>)>;

/// Port to the objects; answers come from the event loop. Errors of all calls: NotFound; Aborted when a
/// condition failed; ResourceExhausted over the call rate; Unavailable when the call surely had no effect;
/// DataLoss when a write may have taken effect.
struct ObjectApi {
    std::function<void(const std::string& key, ObjectCallback<StoredObject>)> read;
    /// Writes if the stored version is `ifVersion`; 0 means that the key must not exist.
    std::function<void(const std::string& key, const std::string& value, ObjectVersion ifVersion,
        ObjectCallback<ObjectVersion>)>
        write;
    std::function<void(const std::string& key, ObjectVersion ifVersion, std::function<void(absl::Status)>)>
        remove;
    /// Objects under a prefix, with values, at most 1000 after `afterKey`.
    std::function<void(
        const std::string& prefix, const std::string& afterKey, ObjectCallback<std::vector<StoredObject>>)>
        list;
    /// Waits until the key has a version above `after`; NotFound when the wait timed out without a change.
    std::function<void(
        const std::string& key, ObjectVersion after, absl::Duration maxWait, ObjectCallback<StoredObject>)>
        watch;
};

struct ObjectApiOptions {
    std::vector<std::string> addresses; ///< Tried in turn.
    absl::Duration timeout = absl::Seconds(2); ///< Of one call, apart from a watch's wait.
};

/// The objects over HTTP; the loop must outlive it.
ObjectApi connectObjectApi(relay::asio::io_context& loop, const ObjectApiOptions& options);

/// Runs the loop until `start` has called back with a value; for programs that do one thing after the other.
template <typename Value>
absl::StatusOr<Value> await(
    relay::asio::io_context& loop, const std::function<void(ObjectCallback<Value>)>& start)
{
    std::optional<absl::StatusOr<Value>> result;
    start([&](absl::StatusOr<Value> received) { result = std::move(received); });
    loop.restart();
    while (!result && loop.run_one() > 0) { }
    return result ? *std::move(result) : absl::InternalError("the call was given up");
}

} // namespace jackdawwall
