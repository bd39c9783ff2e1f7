/// One request of a caller in progress: its attempts (including retries and a hedge) and its response.
#pragma once

#include "relay/call-interface.h"
#include "relay/lease-link.h"
#include "relay/relay-state.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace jackdawwall::relay {

class CallerCall : public std::enable_shared_from_this<CallerCall> {
public:
    CallerCall(
        RelayState& state, const CallInterface& interface, IncomingRequestPtr incoming, OutboundCall call);

    void start();
    /// Refuses the call if its key was withdrawn while it waits for the local target.
    void onConfigurationApplied();
    /// Aborts the attempts in progress and responds with a timeout.
    void onDeadline();

private:
    /// An attempt that has not ended yet.
    struct PendingAttempt {
        CallAttempt attempt;
        std::shared_ptr<UpstreamConnection> connection; ///< Set when the attempt goes to another node.
        CallId gateId = 0; ///< Set when the attempt goes through this node's gate.
    };
    using PendingAttemptPtr = std::shared_ptr<PendingAttempt>;

    void acquireToken();
    void onToken(const TokenDecision& decision);
    /// Starts the call once its customer's rate limit permits it.
    void begin();
    void claim();
    void sendNext();
    void send(const CallAttempt& attempt);
    void sendToPeer(const PendingAttemptPtr& pending);
    void scheduleHedge(const PendingAttemptPtr& pending);
    GateCall makeGateCall(const CallAttempt& attempt) const;
    void onResult(const PendingAttemptPtr& pending, GateResult result);
    void complete(GateResult result, const AttemptResult& end);
    void fail(const AttemptResult& end, const std::string& detail = "", absl::Duration retryAfter = {});
    void close(const AttemptResult& end, unsigned status);
    void abandon();
    bool refuseIfKeyWithdrawn();
    void abortAttempts();
    void cancel(const PendingAttemptPtr& pending);

    RelayState& state_;
    const CallInterface& interface_;
    IncomingRequestPtr incoming_;
    std::shared_ptr<const Request> request_;
    OutboundCall call_;
    asio::steady_timer timer_;
    asio::steady_timer hedgeTimer_;
    std::vector<PendingAttemptPtr> pendingAttempts_;
    std::function<void()> releaseClaim_;
    std::uint64_t tokenWait_ = 0; ///< Id of the wait for a token; 0: none.
    std::optional<std::uint64_t> tokenPeriod_; ///< Set while the call has a token.
    bool isDone_ = false;
};

} // namespace jackdawwall::relay
