/// Client of the platform's object API, as described in docs/PLATFORM-API.md. No other code depends on this
/// API.
#pragma once

#include "jackdawwall/watcher-selection.h"
#include "relay/upstream.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace jackdawwall {

/// Version that the platform assigns to each write; increases across the entire store.
using ObjectVersion = std::uint64_t;

struct StoredObject {
    std::string key;
    std::string value;
    ObjectVersion version = 0;
};

template <typename Value> using ObjectCallback = std::function<void(absl::StatusOr<Value>)>;

/// Functions of the object API. Callbacks run on the event loop. Errors of all calls: NotFound; Aborted when
/// the stored version differs from the expected one; ResourceExhausted when the call rate limit is
/// exceeded; Unavailable when the call had no effect; DataLoss when a write may have taken effect.
struct ObjectApi {
    std::function<void(const std::string& key, ObjectCallback<StoredObject>)> read;
    /// Writes only if the stored version is `ifVersion`; 0 requires that the key does not exist.
    std::function<void(const std::string& key, const std::string& value, ObjectVersion ifVersion,
        ObjectCallback<ObjectVersion>)>
        write;
    std::function<void(const std::string& key, ObjectVersion ifVersion, std::function<void(absl::Status)>)>
        remove;
    /// Lists objects under a prefix with their values, at most 1000, starting after `afterKey`.
    std::function<void(
        const std::string& prefix, const std::string& afterKey, ObjectCallback<std::vector<StoredObject>>)>
        list;
    /// Waits until the version of the key is above `after`; NotFound when there is no change within the wait.
    std::function<void(
        const std::string& key, ObjectVersion after, const WatchTiming&, ObjectCallback<StoredObject>)>
        watch;
};

struct ObjectApiOptions {
    std::vector<std::string> addresses; ///< Tried in this order.
    absl::Duration timeout = absl::Seconds(2); ///< Of a call other than a watch.
};

/// Connects to the object API over HTTP. The loop must outlive the returned object.
ObjectApi connectObjectApi(relay::asio::io_context& loop, const ObjectApiOptions& options);

/// Starts an asynchronous call and runs the loop until its callback is invoked. For command-line programs
/// that make one call at a time.
template <typename Value>
absl::StatusOr<Value> await(
    relay::asio::io_context& loop, const std::function<void(ObjectCallback<Value>)>& start)
{
    std::optional<absl::StatusOr<Value>> result;
    start([&](absl::StatusOr<Value> received) { result = std::move(received); });
    loop.restart();
    while (!result && loop.run_one() > 0) { }
    return result ? *std::move(result)
                  : absl::InternalError("the event loop ended before the call completed");
}

} // namespace jackdawwall
