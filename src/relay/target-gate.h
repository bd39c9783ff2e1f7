/// The only way to the target beside this node: admission, the bound on repeats, and the exchange itself.
/// What is refused here has not run.
#pragma once

#include "jackdawwall/admission.h"
#include "jackdawwall/arrival-budget.h"
#include "jackdawwall/target-lifetime.h"
#include "relay/names.h"
#include "relay/request-log.h"
#include "relay/upstream.h"

#include "absl/container/flat_hash_map.h"

#include <functional>
#include <memory>
#include <string>

namespace jackdawwall::relay {

/// A call offered to the target beside this node.
struct GateCall {
    Request request; ///< As the target gets it, but for the headers that the gate sets.
    std::string requestId;
    std::string caller;
    std::string route;
    Priority priority = Priority::Browse;
    bool isRepeatable = false;
    int arrivals = 0; ///< Targets that the request reached, or may have reached, before.
    absl::Time deadline;
    absl::Duration goal; ///< What is left of the latency objective.
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
    int waiting = 0; ///< Calls that wait at the gate.
};

using GateDone = std::function<void(GateResult)>;

struct GateOptions {
    std::string targetAddress;
    HeaderNames names;
    AdmissionOptions admission;
    ArrivalBudgetOptions budget;
    absl::Duration unsafeReuse = absl::Seconds(3); ///< Idle time after which work that runs at most once gets
                                                   ///< a new connection.
};

class TargetGate {
public:
    TargetGate(UpstreamPool& pool, RequestLog& log, GateOptions options);

    /// `done` may be called before this returns. The id cancels the call.
    CallId offer(GateCall call, GateDone done);
    /// The caller left: the call is withdrawn, or its connection to the target closed.
    void cancel(CallId id);
    /// Takes in what the target says of itself. Waiting calls are refused when it leaves.
    void targetChanged(const TargetState& target);
    /// Nodes beside targets of the same service, this one included.
    void setTargetCount(std::size_t count) { targetCount_ = count; }
    /// Refuses what waited too long; call it every 10 to 50 ms.
    void tick(absl::Time now);
    int waiting() const { return static_cast<int>(admission_.waiting.size()); }
    int running() const { return inFlight(admission_); }

private:
    struct Held {
        GateCall call;
        GateDone done;
        std::shared_ptr<Upstream> connection;
        absl::Time since;
    };

    void run(CallId id);
    void onAnswer(CallId id, ExchangeResult result);
    GateResult judge(const Held& held, ExchangeResult& result) const;
    void finish(CallId id, GateResult result, RunEnd end);
    void refuse(CallId id, Reason reason);
    void apply(const Release& release);
    std::string requestBytes(const GateCall& call, absl::Time now) const;

    UpstreamPool& pool_;
    RequestLog& log_;
    GateOptions options_;
    Tcp::endpoint endpoint_;
    TargetState target_;
    AdmissionState admission_;
    ArrivalBudget budget_;
    std::size_t targetCount_ = 1;
    CallId lastId_ = 0;
    absl::flat_hash_map<CallId, std::shared_ptr<Held>> calls_;
};

} // namespace jackdawwall::relay
