/// The only path to the local target: admission, the bound on retries, and the HTTP exchange. A call that is
/// refused here has not run.
#pragma once

#include "adapter/metrics.h"
#include "jackdawwall/arrival-budget.h"
#include "jackdawwall/call-flow.h"
#include "jackdawwall/parent-run.h"
#include "jackdawwall/target-lifetime.h"
#include "relay/names.h"
#include "relay/request-log.h"
#include "relay/upstream.h"

#include "absl/container/flat_hash_map.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace jackdawwall::relay {

/// A call offered to the local target.
struct GateCall {
    std::shared_ptr<const Request>
        request; ///< As sent to the target, except for the headers that the gate sets.
    CallContext context;
    int arrivals = 0; ///< Number of targets that the request reached, or may have reached, before.
    absl::Duration latencyObjective; ///< Remaining part of the latency objective; 0 when there is none.
    std::optional<TargetStatement> statement {}; ///< What the caller's node knows from the target.
    bool hasAlternative = false; ///< Refuse the call rather than let it wait for the target's own limit.
};

enum class GateStatus : std::uint8_t {
    Answered, ///< The target sent a complete response.
    Refused, ///< The call did not reach the target.
    Rejected, ///< The target reported that it did not run the call.
    Unknown, ///< The call may have run.
};

/// "answered", "refused", "rejected" or "unknown".
absl::string_view toText(GateStatus status);
/// Inverse of toText; Unknown for any other text.
GateStatus gateStatusFromText(absl::string_view text);

struct GateResult {
    GateStatus status = GateStatus::Unknown;
    Reason reason = Reason::None;
    Response response; ///< For Answered.
    CallFeedback feedback;
    bool hasNodeResponded = true; ///< False when the target's node sent no valid response.
    ByteReservation reservation {}; ///< For the response.
};

using GateCallback = std::function<void(GateResult)>;

struct GateOptions {
    std::string targetAddress;
    std::string nodeAddress; ///< Sent to the target, which sends its own calls there.
    HeaderNames names;
    std::optional<ArrivalBudgetOptions> arrivalBudget; ///< Bound on retries across all nodes of the service.
    /// Longest idle time of a connection that is reused for non-idempotent work.
    absl::Duration maxIdleTimeNonIdempotent = absl::Seconds(3);
};

/// Called when a target has said that its lifetime leaves.
using LeaveCallback = std::function<void(const Lifetime&)>;

class TargetGate {
public:
    /// Uses the admission state and the inbound calls of `decisions`.
    TargetGate(
        NodeDecisions& decisions, UpstreamPool& pool, RequestLog& log, Metrics& metrics, GateOptions options);

    void setLeaveCallback(LeaveCallback onLeave) { onLeave_ = std::move(onLeave); }
    /// `done` may be called before this returns. The returned id can be passed to cancel().
    CallId offer(GateCall call, GateCallback done);
    /// Withdraws a queued call, or closes a running call's connection to the target. Its callback isn't
    /// called.
    void cancel(CallId id);
    /// True while an offered call is queued.
    bool isWaiting(CallId id) const { return decisions_.admission.waiting.contains(id); }
    /// Applies the state that the target reports. Queued calls are refused when the target stops serving.
    void updateTarget(const TargetState& target);
    /// Number of nodes with targets of the same service, including this one.
    void setTargetCount(std::size_t count) { targetCount_ = count; }
    void setArrivalBudget(const std::optional<ArrivalBudgetOptions>& budget)
    {
        options_.arrivalBudget = budget;
    }
    /// Refuses calls that were queued for too long. Call it every 10 to 50 ms.
    void tick(absl::Time now);
    /// True if the target may have made a call with this time limit for one of its runs. Other callers on the
    /// target's host have the same address.
    bool mayBeNested(const asio::ip::address& caller, absl::Time timeLimit,
        absl::Duration maxTransit = kMaxNestedTransit) const
    {
        return caller == endpoint_.address() && mayHaveParent(runs_, timeLimit, maxTransit);
    }
    /// The run that makes a nested call with this time limit; null when the call has a shorter limit of its
    /// own. Valid until the next call is offered or ends.
    const ParentRun* parentRunOf(absl::Time timeLimit) const { return findParentRun(runs_, timeLimit); }
    int waiting() const { return static_cast<int>(decisions_.admission.waiting.size()); }
    int running() const { return inFlight(decisions_.admission); }

private:
    struct PendingCall {
        GateCall call;
        GateCallback done;
        std::shared_ptr<UpstreamConnection> connection;
        CallToken token = 0; ///< Set while the call runs in a target that may make calls itself.
        std::optional<absl::Time> runLimit; ///< Time limit under which the run is registered in `runs_`.
        absl::Time offeredAt;
        absl::Time sentAt = absl::InfinitePast();
        Lifetime sentTo; ///< Lifetime of the target when the call was sent.
    };

    void run(CallId id);
    void onResponse(CallId id, ExchangeResult result);
    GateResult classifyResponse(const PendingCall& pending, ExchangeResult& result) const;
    void finish(CallId id, GateResult result, RunResult runResult);
    void refuse(CallId id, Reason reason);
    void countOffer(const PendingCall& pending, Outcome outcome, Reason reason);
    void apply(const QueueUpdate& update);
    std::string serializeRequestHead(PendingCall& pending, absl::Time now);
    /// Applies what the target says of itself in a response.
    void applyResponse(const PendingCall& pending, const Response& response);
    void applyNamedRate(const PendingCall& pending, const Response& response);
    /// Applies what the caller's node knows of the target, as after a restart of this node.
    void applyStatement(const TargetStatement& statement);
    void logRateChange(RateChange change, std::optional<double> before) const;
    /// What the target has said of itself, if that is of concern to callers' nodes.
    std::optional<TargetStatement> statement() const;
    CallFeedback feedback(const PendingCall& pending);
    absl::Duration endRun(const PendingCall& pending);

    NodeDecisions& decisions_;
    UpstreamPool& pool_;
    RequestLog& log_;
    Metrics& metrics_;
    GateOptions options_;
    Tcp::endpoint endpoint_;
    TargetState target_;
    ArrivalBudget arrivalBudget_;
    ParentRuns runs_;
    std::size_t targetCount_ = 1;
    LeaveCallback onLeave_;
    CallId lastId_ = 0;
    absl::flat_hash_map<CallId, std::shared_ptr<PendingCall>> calls_;
};

} // namespace jackdawwall::relay
