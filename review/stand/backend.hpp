/// Stand-in for an application backend: runs requests, sends check-ins to its node, drains and leaves.
#pragma once

#include "net.hpp"

#include <memory>

namespace review {

struct BackendOptions {
    std::string id;
    std::string service;
    std::string zone;
    Endpoint address;
    Endpoint control; ///< Where the check-ins go.
    int slots = 36;
    int workMs = 100;
    int heartbeatMs = 1500;
    std::size_t responseBytes = 5000;
};

/// One request as the backend saw it.
struct Arrival {
    std::string attempt;
    std::string callerService;
    std::int64_t at = 0;
    bool hasRun = false; ///< False: rejected with Not-Executed or 421.
    bool isAnswered = false; ///< The whole answer was written.
    bool isCutOff = false; ///< The backend ended while it was at work on the request.
    bool hasNodeLeft = false; ///< The node closed the connection while the backend was at work.
};

class Backend {
public:
    explicit Backend(BackendOptions options);
    ~Backend();

    /// Reports "draining" until it is acknowledged; the later check-ins say the same.
    void drain();
    /// Sends the leave message until it is acknowledged.
    void sendLeave();
    /// Ends the check-ins; the backend serves on.
    void stopHeartbeats();
    /// Ends the process: closes all connections.
    void exit();
    /// When the first check-in that says it leaves was acknowledged; 0 before.
    std::int64_t leaveAcknowledgedAt() const { return leaveAcknowledgedAt_; }
    std::vector<Arrival> arrivals() const;
    const BackendOptions& options() const { return options_; }
    std::uint64_t born() const { return born_; }
    /// Body of a check-in as this backend sends it, with the next sequence number.
    std::string heartbeatBody();

    /// Answers a request in place of the usual answer, if set. Returns false to close the connection.
    std::function<bool(Connection&, const Message&)> respond;

private:
    void serve(Connection& connection);
    void heartbeatLoop();
    bool sendHeartbeat();

    const BackendOptions options_;
    const std::uint64_t born_;
    mutable std::mutex mutex_;
    std::vector<Arrival> arrivals_;
    std::atomic<int> running_ { 0 };
    std::atomic<std::uint64_t> sequence_ { 0 };
    std::atomic<bool> isDraining_ { false };
    std::atomic<bool> hasStoppedHeartbeats_ { false };
    std::atomic<bool> isEnding_ { false };
    std::atomic<std::int64_t> leaveAcknowledgedAt_ { 0 };
    std::unique_ptr<Server> server_;
    std::thread heartbeats_;
};

/// Body of the answer to an attempt.
std::string answerBody(const std::string& attempt, std::size_t size);

} // namespace review
