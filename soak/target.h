/// A target that the driver controls: sends heartbeats to its node, executes requests for a random time, and
/// injects faults such as lost, truncated or refused responses.
#pragma once

#include "record.h"
#include "relay/http-listener.h"
#include "relay/upstream.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace jackdawwall::soak {

/// Faults that a target injects into a share of its responses.
enum class TargetFault : std::uint8_t {
    None,
    LoseResponse,
    TruncateResponse,
    UnsolicitedResponse,
    CloseDelimitedResponse,
    Refuse,
    Hang,
    Slow
};

class Target {
public:
    /// Lifetimes are called `name`-1, `name`-2 and so on; heartbeats are sent to `heartbeatAddress`.
    Target(relay::asio::io_context& loop, Record& record, std::string name, std::string service,
        relay::Tcp::acceptor acceptor, std::string heartbeatAddress, std::uint64_t seed);
    ~Target();
    Target(const Target&) = delete;
    Target& operator=(const Target&) = delete;

    std::string address() const { return relay::localAddress(acceptor_); }
    std::string lifetime() const;
    /// Injects `fault` into later requests, each with this probability.
    void setFault(TargetFault fault, double probability);
    /// Announces that it leaves: by heartbeats with the state "draining", or by a single leave message if
    /// `skipsDraining`. After `drainTime` its connections are reset; a new lifetime starts shortly after.
    void leave(bool skipsDraining, absl::Duration drainTime);
    /// Resets all connections at once; a new lifetime starts after `downTime`.
    void crash(absl::Duration downTime);
    /// Whether a fault disturbs the path from the node to this target, or did so until shortly before.
    std::function<bool()> isPathDisturbed = [] { return false; };
    /// When the execution of a request will end; empty if the request is not being executed here.
    std::optional<absl::Time> executionEnd(const std::string& id) const;
    bool isHealthy() const { return fault_ == TargetFault::None && state_ == State::Ready; }

private:
    enum class State : std::uint8_t { Ready, Draining, Left, Down };
    class Connection;

    void accept();
    void heartbeatLoop();
    void sendHeartbeat(const std::string& query, bool isLeave);
    void startLifetime();

    relay::asio::io_context& loop_;
    Record& record_;
    const std::string name_;
    const std::string service_;
    relay::Tcp::acceptor acceptor_;
    const std::string heartbeatAddress_;
    std::mt19937_64 random_;
    relay::UpstreamPool pool_;
    relay::asio::steady_timer heartbeatTimer_;
    relay::asio::steady_timer lifetimeTimer_;
    std::set<std::shared_ptr<Connection>> connections_;
    std::multimap<std::string, absl::Time> executions_; ///< End times by request id.
    State state_ = State::Ready;
    TargetFault fault_ = TargetFault::None;
    double faultProbability_ = 0;
    int lifetimeNumber_ = 0;
    std::uint64_t startedMs_ = 0;
    std::uint64_t sequence_ = 0;
};

/// The response body for a request. It depends on the id, so that callers can detect truncated responses and
/// responses to other requests.
std::string expectedBody(const std::string& id);

} // namespace jackdawwall::soak
