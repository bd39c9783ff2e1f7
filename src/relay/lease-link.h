/// Rate limits of customers over all nodes: takes tokens for calls, sends lease requests to the customers'
/// coordinators, and answers those of other nodes. Does nothing while no customer has a limit.
#pragma once

#include "jackdawwall/coordinator-choice.h"
#include "jackdawwall/token-lease.h"
#include "relay/http-listener.h"
#include "relay/lease-message.h"
#include "relay/relay-state.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace jackdawwall::relay {

/// Result of LeaseLink::acquire.
struct TokenDecision {
    AcquireResult result = AcquireResult::Taken; ///< Never Waiting.
    std::uint64_t period = 0; ///< For giveBack.
    absl::Duration retryAfter;
};

using TokenCallback = std::function<void(const TokenDecision&)>;

class LeaseLink {
public:
    explicit LeaseLink(RelayState& state);

    /// True if the customer has a limit, so that its calls need tokens.
    bool isLimited(const std::string& customer) const;
    /// Takes a token for a request. `done` is called once, possibly from within this function. Returns an id
    /// for cancel, or 0 if `done` was called.
    std::uint64_t acquire(const std::string& customer, const std::string& requestId, TokenCallback done);
    /// Ends the wait for a token; its callback is not called.
    void cancel(const std::string& customer, std::uint64_t id);
    /// Returns the token of a call that did not run.
    void giveBack(const std::string& customer, std::uint64_t period);

    /// Handles lease requests of another node.
    void accept(const IncomingRequestPtr& incoming);
    /// Call it every 10 to 100 ms.
    void tick();
    /// JSON for operators: the limits in use at this node and the buckets that it coordinates.
    std::string describe() const;

private:
    struct Waiter {
        std::uint64_t id = 0;
        std::string requestId;
        absl::Time since;
        TokenCallback done;
    };

    struct Customer {
        HeldTokens held;
        std::deque<Waiter> waiters;
        CoordinatorChoice choice;
        std::uint64_t choiceVersion = 0; ///< Membership change that `choice` was made at.
        std::string coordinator; ///< Asked last.
        int attempts = 0; ///< Coordinators asked for the pending lease request.
    };

    /// A lease request that waits for the end of the exchange with its coordinator.
    struct QueuedRequest {
        std::string customer;
        bool isDeputy = false;
    };

    /// Exchanges with one coordinator.
    struct Route {
        bool isRequestPending = false;
        std::vector<QueuedRequest> queue;
    };

    struct SentRequest {
        std::string customer;
        std::uint64_t number = 0;
    };

    TokenLimit limitOf(const std::string& customer) const;
    bool hasLimits() const;
    void request(const std::string& name, Customer& customer);
    void requestFrom(const std::string& name, Customer& customer, const LeaseTarget& target);
    LeaseRequest makeRequest(Customer& customer, bool isDeputy);
    void flush(const std::string& address, Route& route);
    void onReply(
        const std::string& address, const std::vector<SentRequest>& sent, const ExchangeResult& result);
    void onUnreachable(
        const std::string& address, const std::vector<SentRequest>& sent, absl::string_view cause);
    void applyReply(const SentRequest& sent, const LeaseReply& reply);
    LeaseReply answer(const std::string& customer, const LeaseRequest& request);
    void decide(const std::string& name, Customer& customer, const WaitersDecision& decision);
    void recordRefusal(const std::string& name, const Customer& customer, const std::string& requestId,
        const TokenDecision& decision);
    NodeCondition condition();
    void removeIdle();

    RelayState& state_;
    std::uint64_t run_;
    CoordinatorState coordinator_;
    SkippedCoordinators skipped_;
    std::map<std::string, Customer> customers_;
    std::map<std::string, Route> routes_;
    std::uint64_t lastWaiter_ = 0;
    Member knownSelf_; ///< Own record at the last tick, to detect refutations.
    std::uint64_t refutations_ = 0;
    RouteVersion version_ = 0; ///< Of the configuration at the last tick.
    absl::Time nextRemoval_;
};

} // namespace jackdawwall::relay
