/// What callers and targets saw, and the promises that it must keep. Nothing here is told by the nodes.
#pragma once

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jackdawwall::soak {

/// Bounds of the deployment; the same as in the settings of the nodes.
struct Bounds {
    absl::Duration drain = absl::Seconds(2); ///< From the acknowledgement of a leave to the last new work.
    absl::Duration apply = absl::Seconds(2); ///< From an accepted configuration to its effect everywhere.
    absl::Duration rollbackSlack = absl::Milliseconds(250);
    absl::Duration recoveryTime = absl::Seconds(3); ///< Quiet time after which a bound holds again.
    absl::Duration cancel = absl::Milliseconds(500); ///< From a caller's leaving to the end of its work.
    double retryRatio = 0.2;
    double extraRetries = 10;
    absl::Duration retryWindow = absl::Seconds(10);
    int attempts = 2; ///< Of each route.
};

struct SentCall {
    std::string service;
    bool isIdempotent = false;
    absl::Time sentAt;
    std::uint64_t bodyHash = 0;
};

struct ObservedResponse {
    unsigned status = 0; ///< 0: the connection ended without a whole answer.
    bool isExpectedBody = false;
};

struct Arrival {
    std::string lifetime; ///< Of the target.
    absl::Time at;
    bool wasExecuted = false;
};

class Record {
public:
    explicit Record(const Bounds& bounds)
        : bounds_(bounds)
    {
    }

    void callSent(const std::string& id, const SentCall& call);
    void responseReceived(const std::string& id, const ObservedResponse& response);

    /// A request reached a target; `isHeldUp`: the way there is disturbed, so it may be late.
    void requestArrived(
        const std::string& id, const Arrival& arrival, std::uint64_t bodyHash, bool isPathDisturbed);
    void leaveAcknowledged(const std::string& lifetime, absl::Time at);
    /// A sound target's work whose caller had left went on (or was ended in time).
    void workAfterDisconnect(const std::string& id, bool isStillRunning);

    /// A probe of a node's configuration: the newest version that it showed; `isBound`: it has to be there.
    void versionObserved(const std::string& process, std::uint64_t observed, std::uint64_t accepted,
        bool mustBeCurrent, absl::Time sentAt);

    void reportViolation(absl::string_view guarantee, absl::string_view detail);
    /// Judges what only the end shows.
    void finish();

    const std::vector<std::string>& findings() const { return findings_; }
    std::size_t successes() const { return successes_; }
    std::size_t refusals() const { return refusals_; }
    std::size_t sentCalls() const { return sentCalls_.size(); }

private:
    void checkCall(const std::string& id, const SentCall& call);
    void checkRetries(const std::string& service) const;

    const Bounds bounds_;
    std::map<std::string, SentCall> sentCalls_;
    absl::flat_hash_map<std::string, ObservedResponse> responses_;
    absl::flat_hash_map<std::string, std::vector<Arrival>> arrivals_;
    absl::flat_hash_map<std::string, absl::Time> leaves_; ///< By lifetime.
    struct ObservedVersion {
        std::uint64_t version = 0;
        absl::Time at;
    };
    absl::flat_hash_map<std::string, ObservedVersion> observedVersions_; ///< By process lifetime.
    std::size_t successes_ = 0;
    std::size_t refusals_ = 0;
    int callsCancelledInTime_ = 0;
    std::vector<std::string> callsStillRunning_; ///< Their requests.
    std::vector<std::string> findings_;
};

} // namespace jackdawwall::soak
