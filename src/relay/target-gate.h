/// The only way to the target beside this node: admission, the bound on repeats, and the exchange itself.
/// What is refused here has not run.
#pragma once

#include "adapter/metrics.h"
#include "jackdawwall/arrival-budget.h"
#include "jackdawwall/call-flow.h"
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

/// A call offered to the target beside this node.
struct GateCall {
    std::shared_ptr<const Request>
        request; ///< As the target gets it, but for the headers that the gate sets.
    CallContext context;
    int arrivals = 0; ///< Targets that the request reached, or may have reached, before.
    absl::Duration latencyObjective; ///< What is left of the latency objective; 0 when there is none.
};

enum class GateEnd : std::uint8_t {
    Answered, ///< The target's own whole answer.
    Refused, ///< Never reached the target.
    Rejected, ///< Reached the target, which said that it did not run it.
    Unknown, ///< May have run.
};

/// "answered", "refused", "rejected" or "unknown".
absl::string_view toText(GateEnd end);
/// Inverse of toText; Unknown for any other text.
GateEnd gateEndFromText(absl::string_view text);

struct GateResult {
    GateEnd end = GateEnd::Unknown;
    Reason reason = Reason::None;
    Response response; ///< For Answered.
    CallFeedback feedback;
    bool hasNodeResponded = true; ///< False: the node beside the target did not answer.
};

using GateCallback = std::function<void(GateResult)>;

struct GateOptions {
    std::string targetAddress;
    std::string nodeAddress; ///< Told to the target for calls of its own.
    HeaderNames names;
    std::optional<ArrivalBudgetOptions> arrivalBudget; ///< Bound on repeats over all nodes of the service.
    absl::Duration maxIdleTimeNonIdempotent = absl::Seconds(3); ///< Idle time after which work that runs at
                                                                ///< most once gets a new connection.
};

class TargetGate {
public:
    /// Admission and inbound calls are parts of `decisions`.
    TargetGate(
        NodeDecisions& decisions, UpstreamPool& pool, RequestLog& log, Metrics& metrics, GateOptions options);

    /// `done` may be called before this returns. The id cancels the call.
    CallId offer(GateCall call, GateCallback done);
    /// The caller left: the call is withdrawn, or its connection to the target closed.
    void cancel(CallId id);
    /// Takes in what the target says of itself. Waiting calls are refused when it leaves.
    void updateTarget(const TargetState& target);
    /// Nodes beside targets of the same service, this one included.
    void setTargetCount(std::size_t count) { targetCount_ = count; }
    void setArrivalBudget(const std::optional<ArrivalBudgetOptions>& budget)
    {
        options_.arrivalBudget = budget;
    }
    /// Refuses what waited too long; call it every 10 to 50 ms.
    void tick(absl::Time now);
    int waiting() const { return static_cast<int>(decisions_.admission.waiting.size()); }
    int running() const { return inFlight(decisions_.admission); }

private:
    struct PendingCall {
        GateCall call;
        GateCallback done;
        std::shared_ptr<UpstreamConnection> connection;
        CallToken token = 0; ///< While it runs in a target that may call on.
        absl::Time offeredAt;
    };

    void run(CallId id);
    void onResponse(CallId id, ExchangeResult result);
    GateResult classifyResponse(const PendingCall& pending, ExchangeResult& result) const;
    void finish(CallId id, GateResult result, RunEnd end);
    void refuse(CallId id, Reason reason);
    void countOffer(const PendingCall& pending, Outcome outcome, Reason reason);
    void apply(const Release& release);
    std::string requestHead(const PendingCall& pending, absl::Time now) const;
    CallFeedback feedback(const PendingCall& pending);
    absl::Duration endInbound(const PendingCall& pending);

    NodeDecisions& decisions_;
    UpstreamPool& pool_;
    RequestLog& log_;
    Metrics& metrics_;
    GateOptions options_;
    Tcp::endpoint endpoint_;
    TargetState target_;
    ArrivalBudget arrivalBudget_;
    std::size_t targetCount_ = 1;
    CallId lastId_ = 0;
    absl::flat_hash_map<CallId, std::shared_ptr<PendingCall>> calls_;
};

} // namespace jackdawwall::relay
