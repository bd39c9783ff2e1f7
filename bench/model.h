/// Simulated fleet of the benchmarks: targets with slots and a queue of their own, and three variants of
/// sending calls to them: through the production decision code (jackdawwall), without control (none), and
/// with a fixed concurrency limit (static).
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

/// One service of a chain in which each service calls the next.
struct ServiceModel {
    std::string name;
    int targets = 4;
    int slots = 10; ///< Of each target.
    int connections = 300; ///< Calls that a target accepts at once, including queued ones.
    /// The service time is exponentially distributed and does not include downstream calls.
    absl::Duration meanServiceTime = absl::Milliseconds(10);
};

/// One kind of request.
struct KindModel {
    std::string name;
    std::string caller;
    Priority priority = Priority::Interactive;
    bool isIdempotent = true;
    double share = 1;
    double workFactor = 1; ///< Multiplies the service times.
    double weight = 1;
    double callsPerSecond = 0;
};

enum class Variant : std::uint8_t { Jackdawwall, None, Static };

/// Result and cost of one root request.
struct RootRecord {
    std::size_t kind = 0;
    absl::Time sentAt;
    bool isComplete = false; ///< The client received a successful response before the deadline.
    absl::Duration latency;
    absl::Duration slotTime; ///< Over the entire call tree and all attempts of the client.
    int sentCalls = 0; ///< Calls sent over the entire call tree, largest among the client's attempts.
    int executions = 0; ///< At the first service.
    int clientAttempts = 0; ///< Includes the first attempt.
};

/// Cancels the downstream work of a call.
struct Cancellation {
    bool isCancelled = false;
    std::vector<std::function<void()>> callbacks;

    void cancel();
};
using CancellationPtr = std::shared_ptr<Cancellation>;

/// A call in the simulated fleet.
struct ModelCall {
    std::size_t root = 0;
    std::size_t kind = 0;
    std::size_t service = 0;
    std::string requestId;
    absl::Time deadline;
    CallToken parent = 0;
    std::size_t fromNode = 0; ///< Index over all targets; a target of the first service for root requests.
    CancellationPtr cancellation;
};

/// Receives the result of a call.
using CompletionHandler = std::function<void(bool isOk)>;

/// A target with work slots, a FIFO queue and exponential service times.
class TargetModel {
public:
    TargetModel(Simulation& simulation, const ServiceModel& service, std::uint64_t seed);

    struct Job {
        std::size_t root = 0;
        double workFactor = 1;
        CancellationPtr cancellation;
        /// Calls the next service; null at the end of the chain.
        std::function<void(CompletionHandler)> next;
        CompletionHandler done;
    };

    /// Returns false when all connections are in use.
    bool accept(std::shared_ptr<Job> job, std::vector<RootRecord>& roots);

    double slowness = 1; ///< Multiplies all service times.
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

/// Fleet and callers of a scenario.
struct FleetModel {
    std::vector<ServiceModel> services;
    std::vector<KindModel> kinds;
    absl::Duration deadline = absl::Seconds(1);
    int clientRetries = 3;
    absl::Duration clientBackoff = absl::Milliseconds(50);
    absl::Duration networkDelay = absl::Microseconds(250); ///< One way.
    std::uint32_t attempts = 3; ///< Extra attempts of a root request over its entire call tree.
    std::ostream* trace = nullptr; ///< Receives the state of the first node of each service every 100 ms.
};

/// Sends calls to the targets of a service; each variant has its own implementation.
class CallDispatcher {
public:
    virtual ~CallDispatcher() = default;
    /// Calls a service; `done` is invoked exactly once.
    virtual void call(const ModelCall& call, CompletionHandler done) = 0;
};

class Fleet {
public:
    Fleet(Simulation& simulation, FleetModel model, Variant variant, std::uint64_t seed);
    ~Fleet();

    /// Schedules root requests at a mean rate with exponential gaps, with kinds drawn by their shares.
    void generateLoad(absl::Time from, absl::Duration length, double callsPerSecond);
    /// Schedules root requests of one kind only.
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
/// With `hasLimit`, each target has a fixed concurrency limit equal to its slots.
std::unique_ptr<CallDispatcher> makeBaselineDispatcher(Fleet& fleet, bool hasLimit, std::uint64_t seed);

} // namespace jackdawwall::bench
