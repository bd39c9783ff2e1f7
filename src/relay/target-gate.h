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
    absl::Duration goal; ///< What is left of the latency objective; 0 when there is none.
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
    bool isHeard = true; ///< False: the node beside the target did not answer.
};

using GateDone = std::function<void(GateResult)>;

struct GateOptions {
    std::string targetAddress;
    std::string nodeAddress; ///< Told to the target for calls of its own.
    HeaderNames names;
    std::optional<ArrivalBudgetOptions> budget; ///< Bound on repeats over all nodes of the service.
    absl::Duration unsafeReuse = absl::Seconds(3); ///< Idle time after which work that runs at most once gets
                                                   ///< a new connection.
};

class TargetGate {
public:
    /// Admission and inbound calls are parts of `decisions`.
    TargetGate(
        NodeDecisions& decisions, UpstreamPool& pool, RequestLog& log, Metrics& metrics, GateOptions options);

    /// `done` may be called before this returns. The id cancels the call.
    CallId offer(GateCall call, GateDone done);
    /// The caller left: the call is withdrawn, or its connection to the target closed.
    void cancel(CallId id);
    /// Takes in what the target says of itself. Waiting calls are refused when it leaves.
    void targetChanged(const TargetState& target);
    /// Nodes beside targets of the same service, this one included.
    void setTargetCount(std::size_t count) { targetCount_ = count; }
    void setBudget(const std::optional<ArrivalBudgetOptions>& budget) { options_.budget = budget; }
    /// Refuses what waited too long; call it every 10 to 50 ms.
    void tick(absl::Time now);
    int waiting() const { return static_cast<int>(decisions_.admission.waiting.size()); }
    int running() const { return inFlight(decisions_.admission); }

private:
    struct Held {
        GateCall call;
        GateDone done;
        std::shared_ptr<UpstreamConnection> connection;
        CallToken token = 0; ///< While it runs in a target that may call on.
        absl::Time since;
    };

    void run(CallId id);
    void onAnswer(CallId id, ExchangeResult result);
    GateResult judge(const Held& held, ExchangeResult& result) const;
    void finish(CallId id, GateResult result, RunEnd end);
    void refuse(CallId id, Reason reason);
    void countOffer(const Held& held, Outcome outcome, Reason reason);
    void apply(const Release& release);
    std::string requestHead(const Held& held, absl::Time now) const;
    CallFeedback feedback(const Held& held);
    absl::Duration endInbound(const Held& held);

    NodeDecisions& decisions_;
    UpstreamPool& pool_;
    RequestLog& log_;
    Metrics& metrics_;
    GateOptions options_;
    Tcp::endpoint endpoint_;
    TargetState target_;
    ArrivalBudget budget_;
    std::size_t targetCount_ = 1;
    CallId lastId_ = 0;
    absl::flat_hash_map<CallId, std::shared_ptr<Held>> calls_;
};

} // namespace jackdawwall::relay
