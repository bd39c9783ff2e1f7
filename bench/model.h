/// The fake fleet of the benchmarks: targets with slots and a queue of their own, and three ways to reach
/// them: through the real decisions (jackdawwall), without control (none), and with a fixed limit (static).
#pragma once

#include "bench/simulation.h"

#include "jackdawwall/call-flow.h"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

namespace jackdawwall::bench {

/// One service of the chain; each calls the next.
struct ServiceModel {
    std::string name;
    int targets = 4;
    int slots = 10; ///< Of each target.
    int connections = 300; ///< Calls that a target takes at once, the queued included.
    absl::Duration work = absl::Milliseconds(10); ///< Mean own time of a call; exponential.
};

/// One kind of request.
struct KindModel {
    std::string name;
    std::string caller;
    Priority priority = Priority::Interactive;
    bool isIdempotent = true;
    double share = 1;
    double workFactor = 1; ///< Times the services' own time.
    double weight = 1;
    double callsPerSecond = 0;
};

enum class Variant : std::uint8_t { Jackdawwall, None, Static };

/// What one root request used.
struct RootRecord {
    std::size_t kind = 0;
    absl::Time sentAt;
    bool isComplete = false;
    absl::Duration latency;
    absl::Duration slotTime; ///< Over the whole tree and all tries.
    int sentCalls = 0; ///< Calls sent over the whole tree, in the worst try.
    int executions = 0; ///< At the first service.
    int clientAttempts = 0;
};

/// Cancels what a call started further down.
struct Cancellation {
    bool isCancelled = false;
    std::vector<std::function<void()>> callbacks;

    void cancel();
};
using CancellationPtr = std::shared_ptr<Cancellation>;

/// A call as it passes through the fake fleet.
struct ModelCall {
    std::size_t root = 0;
    std::size_t kind = 0;
    std::size_t service = 0;
    std::string requestId;
    absl::Time deadline;
    CallToken parent = 0;
    std::size_t fromNode = 0; ///< Index over all targets; of the first service for roots.
    CancellationPtr cancellation;
};

using CompletionHandler = std::function<void(bool isOk)>;

/// A target: slots, a queue in order of arrival, exponential times.
class TargetModel {
public:
    TargetModel(Simulation& simulation, const ServiceModel& service, std::uint64_t seed);

    struct Job {
        std::size_t root = 0;
        double workFactor = 1;
        CancellationPtr cancellation;
        std::function<void(CompletionHandler)>
            next; ///< Calls the next service; null at the end of the chain.
        CompletionHandler done;
    };

    /// False when all connections are taken.
    bool accept(std::shared_ptr<Job> job, std::vector<RootRecord>& roots);

    double slowness = 1; ///< Times all work.
    double busySeconds = 0;
    int slots = 0; ///< May be changed while running.

private:
    void startNext(std::vector<RootRecord>& roots);
    void run(const std::shared_ptr<Job>& job, std::vector<RootRecord>& roots);
    void end(const std::shared_ptr<Job>& job, absl::Time since, bool isOk, std::vector<RootRecord>& roots);

    Simulation& simulation_;
    const ServiceModel& service_;
    std::mt19937_64 generator_;
    std::deque<std::shared_ptr<Job>> queue_;
    int running_ = 0;
};

/// A scenario's fleet and callers.
struct FleetModel {
    std::vector<ServiceModel> services;
    std::vector<KindModel> kinds;
    absl::Duration deadline = absl::Seconds(1);
    int clientRetries = 3;
    absl::Duration clientBackoff = absl::Milliseconds(50);
    absl::Duration networkDelay = absl::Microseconds(250); ///< One way.
    std::uint32_t attempts = 3; ///< Allowance of a root request.
    std::ostream* trace = nullptr; ///< Each node's state every 100 ms.
};

/// Reaches services; one for each variant.
class CallDispatcher {
public:
    virtual ~CallDispatcher() = default;
    /// Calls a service; `done` comes once.
    virtual void call(const ModelCall& call, CompletionHandler done) = 0;
};

class Fleet {
public:
    Fleet(Simulation& simulation, FleetModel model, Variant variant, std::uint64_t seed);
    ~Fleet();

    /// Sends root requests at a rate for a while, exponential gaps.
    void generateLoad(absl::Time from, absl::Duration length, double callsPerSecond);
    /// The same with a rate for one kind only.
    void generateLoadOfKind(std::size_t kind, absl::Time from, absl::Duration length, double callsPerSecond);

    std::vector<TargetModel*> targetsOfService(std::size_t service);
    const std::vector<RootRecord>& roots() const { return roots_; }
    double busySeconds() const;

    Simulation& simulation;
    const FleetModel model;

private:
    friend class JackdawDispatcher;
    friend class BaselineDispatcher;

    void sendRootRequest(std::size_t kind);
    void attemptRootRequest(std::size_t root, int retriesLeft);
    std::size_t drawKind();
    std::size_t nodeIndex(std::size_t service, std::size_t target) const;

    std::vector<std::vector<std::unique_ptr<TargetModel>>> targets_;
    std::vector<RootRecord> roots_;
    std::mt19937_64 generator_;
    std::unique_ptr<CallDispatcher> dispatcher_;
};

std::unique_ptr<CallDispatcher> makeJackdawDispatcher(Fleet& fleet, std::uint64_t seed);
/// `limit` 0 is none, else the fixed limit per target is its slots.
std::unique_ptr<CallDispatcher> makeBaselineDispatcher(Fleet& fleet, bool hasLimit, std::uint64_t seed);

} // namespace jackdawwall::bench
