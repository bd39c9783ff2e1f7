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
    absl::Duration stable = absl::Seconds(3); ///< Quiet time after which a bound holds again.
    absl::Duration cancel = absl::Milliseconds(500); ///< From a caller's leaving to the end of its work.
    double repeatRatio = 0.2;
    double repeatExtra = 10;
    absl::Duration repeatWindow = absl::Seconds(10);
    int attempts = 2; ///< Of each route.
};

struct Sending {
    std::string service;
    bool isIdempotent = false;
    absl::Time sentAt;
    std::uint64_t bodyHash = 0;
};

struct Answer {
    unsigned status = 0; ///< 0: the connection ended without a whole answer.
    bool isExpectedBody = false;
};

struct Arrival {
    std::string lifetime; ///< Of the target.
    absl::Time at;
    bool hasRun = false;
};

class Record {
public:
    explicit Record(const Bounds& bounds)
        : bounds_(bounds)
    {
    }

    void sent(const std::string& id, const Sending& sending);
    void answered(const std::string& id, const Answer& answer);

    /// A request reached a target; `isHeldUp`: the way there is disturbed, so it may be late.
    void arrived(const std::string& id, const Arrival& arrival, std::uint64_t bodyHash, bool isHeldUp);
    void acknowledgedLeave(const std::string& lifetime, absl::Time at);
    /// A sound target's work whose caller had left went on (or was ended in time).
    void workAfterLeaving(const std::string& id, bool hasGoneOn);

    /// A probe of a node's configuration: the newest version that it showed; `isBound`: it has to be there.
    void sawVersion(const std::string& process, std::uint64_t shown, std::uint64_t accepted, bool isBound,
        absl::Time sentAt);

    void broken(absl::string_view promise, absl::string_view detail);
    /// Judges what only the end shows.
    void finish();

    const std::vector<std::string>& findings() const { return findings_; }
    std::size_t answers() const { return whole_; }
    std::size_t refusals() const { return refused_; }
    std::size_t sendings() const { return sendings_.size(); }

private:
    void checkOne(const std::string& id, const Sending& sending);
    void checkRepeats(const std::string& service) const;

    const Bounds bounds_;
    std::map<std::string, Sending> sendings_;
    absl::flat_hash_map<std::string, Answer> answers_;
    absl::flat_hash_map<std::string, std::vector<Arrival>> arrivals_;
    absl::flat_hash_map<std::string, absl::Time> leaves_; ///< By lifetime.
    struct Shown {
        std::uint64_t version = 0;
        absl::Time at;
    };
    absl::flat_hash_map<std::string, Shown> shown_; ///< By process lifetime.
    std::size_t whole_ = 0;
    std::size_t refused_ = 0;
    int worksEnded_ = 0;
    std::vector<std::string> worksGoneOn_; ///< Their requests.
    std::vector<std::string> findings_;
};

} // namespace jackdawwall::soak
