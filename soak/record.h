/// Records what callers and targets observe and checks it against the guarantees of the system. Only
/// observations from outside count: nothing that the nodes report about themselves is used.
#pragma once

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jackdawwall::soak {

/// Limits that the checks assume. Fleet writes the retry limits to the nodes' settings and `attempts` to the
/// routes.
struct Limits {
    absl::Duration drain = absl::Seconds(2); ///< From an acknowledged leave to the target's last new request.
    absl::Duration apply = absl::Seconds(2); ///< From an accepted configuration until all nodes apply it.
    /// An older version counts as a rollback only if its probe was sent more than this after the probe that
    /// saw the newer version.
    absl::Duration rollbackSlack = absl::Milliseconds(250);
    absl::Duration recoveryTime = absl::Seconds(3); ///< After a fault, until the limits apply again.
    absl::Duration cancel = absl::Milliseconds(500); ///< From a caller's disconnect to the end of its work.
    double retryRatio = 0.2;
    double extraRetries = 10;
    absl::Duration retryWindow = absl::Seconds(10);
    int attempts = 2; ///< Per request, on each route.
};

struct SentCall {
    std::string service;
    bool isIdempotent = false;
    absl::Time sentAt;
    std::uint64_t bodyHash = 0;
};

struct ObservedResponse {
    unsigned status = 0; ///< 0 if the connection ended before a complete response.
    bool isExpectedBody = false;
};

struct Arrival {
    std::string lifetime; ///< The lifetime of the target that received the request.
    absl::Time at;
    bool wasExecuted = false;
};

class Record {
public:
    explicit Record(const Limits& limits)
        : limits_(limits)
    {
    }

    void callSent(const std::string& id, const SentCall& call);
    void responseReceived(const std::string& id, const ObservedResponse& response);

    /// A request reached a target. `isPathDisturbed`: a fault on the path there may have delayed it.
    void requestArrived(
        const std::string& id, const Arrival& arrival, std::uint64_t bodyHash, bool isPathDisturbed);
    void leaveAcknowledged(const std::string& lifetime, absl::Time at);
    /// The caller of a request disconnected while a target was executing it, with neither the node nor the
    /// path to the target disturbed by a fault. `isStillRunning`: the execution went on after Limits::cancel.
    void workAfterDisconnect(const std::string& id, bool isStillRunning);

    /// A probe of a node's configuration found `observed` while `accepted` was the newest accepted version.
    /// `mustBeCurrent`: the node has had enough time to apply it. `sentAt`: when the probe was sent.
    void versionObserved(const std::string& process, std::uint64_t observed, std::uint64_t accepted,
        bool mustBeCurrent, absl::Time sentAt);

    /// Adds a violation, as the line `promise=GUARANTEE DETAIL`.
    void reportViolation(absl::string_view guarantee, absl::string_view detail);
    /// Runs the checks that need the complete run.
    void finish();

    const std::vector<std::string>& violations() const { return violations_; }
    /// Number of 2xx responses.
    std::size_t successes() const { return successes_; }
    /// Number of responses whose status says that the request was not executed.
    std::size_t refusals() const { return refusals_; }
    std::size_t sentCalls() const { return sentCalls_.size(); }

private:
    void checkCall(const std::string& id, const SentCall& call);
    void checkRetries(const std::string& service) const;

    const Limits limits_;
    std::map<std::string, SentCall> sentCalls_;
    absl::flat_hash_map<std::string, ObservedResponse> responses_;
    absl::flat_hash_map<std::string, std::vector<Arrival>> arrivals_;
    absl::flat_hash_map<std::string, absl::Time> leaves_; ///< By the target's lifetime.
    struct ObservedVersion {
        std::uint64_t version = 0;
        absl::Time at;
    };
    absl::flat_hash_map<std::string, ObservedVersion> observedVersions_; ///< By node name and start count.
    std::size_t successes_ = 0;
    std::size_t refusals_ = 0;
    int callsCancelledInTime_ = 0;
    std::vector<std::string> callsStillRunning_; ///< Request ids.
    std::vector<std::string> violations_;
};

} // namespace jackdawwall::soak
