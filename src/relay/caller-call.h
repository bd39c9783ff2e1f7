/// One request of a caller on its way: its attempts, a second copy where that helps, and its answer.
#pragma once

#include "relay/call-interface.h"
#include "relay/relay-state.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <vector>

namespace jackdawwall::relay {

class CallerCall : public std::enable_shared_from_this<CallerCall> {
public:
    CallerCall(
        RelayState& state, const CallInterface& interface, IncomingRequestPtr incoming, OutboundCall call);

    void start();
    /// Breaks off what is under way and answers.
    void onDeadline();

private:
    /// One copy of the call under way.
    struct Attempt {
        Sending sending;
        std::shared_ptr<Upstream> connection; ///< To another node,
        CallId gateId = 0; ///< or at the own gate.
    };
    using AttemptPtr = std::shared_ptr<Attempt>;

    void claim();
    void sendNext();
    void send(const Sending& sending);
    void sendToPeer(const AttemptPtr& attempt);
    void awaitHedge(const AttemptPtr& attempt);
    GateCall gateCall() const;
    void onResult(const AttemptPtr& attempt, GateResult result);
    void conclude(GateResult result, const AttemptEnd& end);
    void fail(const AttemptEnd& end, const std::string& detail = "");
    void close(const AttemptEnd& end, unsigned status);
    void abandon();
    void breakOff();
    void cancel(const AttemptPtr& attempt);

    RelayState& state_;
    const CallInterface& interface_;
    IncomingRequestPtr incoming_;
    std::shared_ptr<const Request> request_;
    OutboundCall call_;
    asio::steady_timer timer_;
    asio::steady_timer hedgeTimer_;
    std::vector<AttemptPtr> attempts_; ///< Under way.
    std::function<void()> releaseClaim_;
    bool isDone_ = false;
};

} // namespace jackdawwall::relay
