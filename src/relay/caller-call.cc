#include "relay/caller-call.h"

#include "relay/breakage.h"
#include "relay/hop-wire.h"

#include <algorithm>
#include <utility>

namespace jackdawwall::relay {
namespace {

/// A response that is still in transit at the deadline is forwarded if it arrives within this time.
constexpr absl::Duration kResponseGracePeriod = absl::Milliseconds(40);
constexpr absl::Duration kPeerConnectTimeout = absl::Milliseconds(400);
/// Largest head of a response from another node, which adds headers to the head that it accepted.
constexpr std::uint32_t kMaxPeerHeadBytes = 64U << 10;
/// Largest share of the time until the process stops that a call may spend waiting in a queue.
constexpr double kMaxStopTimeShare = 0.33;
/// Smallest latency objective that is sent: zero would mean that the call has none, so a used-up objective
/// is sent as this value.
constexpr absl::Duration kMinLatencyObjective = absl::Milliseconds(1);
/// Non-idempotent work is sent to another node only on a connection that was used this recently. If an idle
/// connection has silently failed, it is unknown whether the work ran.
constexpr absl::Duration kMaxIdleTimeNonIdempotent = absl::Seconds(3);
constexpr absl::Duration kMaxIdleTimeIdempotent = absl::Seconds(30);
/// Statuses 500 and 501 are errors of the application itself; another target would return the same.
constexpr unsigned kInternalServerError = 500;
constexpr unsigned kNotImplemented = 501;
/// Used only when the "attempts" fault is injected.
constexpr int kExcessiveAttempts = 9;

/// Converts a result of the gate or of another node to a report for the call flow.
AttemptReport makeReport(const GateResult& result)
{
    AttemptReport report;
    report.hasResponse = result.hasNodeResponded;
    report.hasArrived = result.status != GateStatus::Refused;
    if (result.hasNodeResponded)
        report.feedback = result.feedback;
    const unsigned httpStatus = result.response.result_int();
    switch (result.status) {
    case GateStatus::Answered:
        report.result.outcome = httpStatus < kInternalServerError ? Outcome::Ok : Outcome::Failed;
        report.result.reason = httpStatus < kInternalServerError ? Reason::None : Reason::TargetFailed;
        report.result.nextHopFailed = httpStatus != kInternalServerError && httpStatus != kNotImplemented
            && !result.feedback.hasDownstreamFailure;
        break;
    case GateStatus::Refused:
    case GateStatus::Rejected:
        report.result = { Outcome::NotRun, result.reason, true };
        break;
    case GateStatus::Unknown:
        report.result = { Outcome::Unknown, result.reason, !result.feedback.hasDownstreamFailure };
        break;
    }
    return report;
}

} // namespace

CallerCall::CallerCall(
    RelayState& state, const CallInterface& interface, IncomingRequestPtr incoming, OutboundCall call)
    : state_(state)
    , interface_(interface)
    , incoming_(std::move(incoming))
    , request_(incoming_, &incoming_->request)
    , call_(std::move(call))
    , timer_(state.loop)
    , hedgeTimer_(state.loop)
{
    if (isSafeguardDisabled("at-most-once"))
        call_.context.isIdempotent = true;
    if (isSafeguardDisabled("attempts"))
        call_.attempts = kExcessiveAttempts;
}

void CallerCall::start()
{
    const auto self = shared_from_this();
    incoming_->onAbandoned = [self] { self->abandon(); };
    timer_.expires_after(
        absl::ToChronoMicroseconds(call_.context.deadline + kResponseGracePeriod - steadyNow()));
    timer_.async_wait([self](beast::error_code error) {
        if (!error)
            self->onDeadline();
    });
    if (state_.leases != nullptr && !call_.isNested && state_.leases->isLimited(call_.context.customer))
        acquireToken();
    else
        begin();
}

void CallerCall::acquireToken()
{
    tokenWait_ = state_.leases->acquire(call_.context.customer, call_.context.requestId,
        [self = shared_from_this()](const TokenDecision& decision) { self->onToken(decision); });
}

void CallerCall::onToken(const TokenDecision& decision)
{
    tokenWait_ = 0;
    if (decision.result == AcquireResult::Taken) {
        tokenPeriod_ = decision.period;
        begin();
    } else if (decision.result == AcquireResult::OverLimit) {
        fail({ Outcome::NotRun, Reason::CallerLimit, true }, "over the rate limit", decision.retryAfter);
    } else {
        fail({ Outcome::NotRun, Reason::Unreachable, true }, "the rate limit is not known",
            decision.retryAfter);
    }
}

void CallerCall::begin()
{
    if (interface_.claim && !call_.context.isIdempotent)
        claim();
    else
        sendNext();
}

void CallerCall::claim()
{
    interface_.claim(call_,
        [self = shared_from_this()](
            const std::optional<CallFailure>& failure, std::function<void()> releaseClaim) {
            if (self->isDone_) { // The caller disconnected, or the deadline has passed.
                if (releaseClaim)
                    releaseClaim();
                return;
            }
            self->releaseClaim_ = std::move(releaseClaim);
            if (failure)
                self->fail({ failure->outcome, failure->reason, true }, failure->detail);
            else
                self->sendNext();
        });
}

GateCall CallerCall::makeGateCall(const CallAttempt& attempt) const
{
    GateCall call;
    call.request = request_;
    call.context = call_.context;
    call.arrivals = call_.arrivals;
    call.statement = attempt.statement;
    call.hasAlternative = attempt.hasAlternative;
    if (call_.latencyObjective == absl::ZeroDuration())
        return call;
    const absl::Time now = steadyNow();
    call.latencyObjective = std::max(kMinLatencyObjective,
        std::min(
            call_.start + call_.latencyObjective - now, (state_.stopDeadline - now) * kMaxStopTimeShare));
    return call;
}

/// Ends a call whose key is no longer valid. Call it only while no attempt is in progress.
bool CallerCall::refuseIfKeyWithdrawn()
{
    if (!interface_.isKeyValid || interface_.isKeyValid(state_, call_))
        return false;
    // An earlier attempt may have run; its result is the truth then.
    fail(finalResult(call_, { Outcome::NotRun, Reason::KeyWithdrawn, false }));
    return true;
}

void CallerCall::onConfigurationApplied()
{
    const bool isQueued = pendingAttempts_.size() == 1 && pendingAttempts_.front()->gateId != 0
        && state_.gate.isWaiting(pendingAttempts_.front()->gateId);
    if (isDone_ || !isQueued || call_.key.empty() || interface_.isKeyValid(state_, call_))
        return;
    abortAttempts();
    fail(finalResult(call_, { Outcome::NotRun, Reason::KeyWithdrawn, false }));
}

void CallerCall::sendNext()
{
    if (refuseIfKeyWithdrawn())
        return;
    const auto attempt = jackdawwall::startAttempt(state_.decisions, call_, steadyNow());
    if (attempt)
        send(*attempt);
    else if (call_.leastCertainResult.outcome != Outcome::Ok)
        fail(call_.leastCertainResult);
    else
        fail({ Outcome::NotRun, Reason::NoTarget, true }, "no target of this service is known");
}

void CallerCall::send(const CallAttempt& attempt)
{
    auto pending = std::make_shared<PendingAttempt>();
    pending->attempt = attempt;
    pendingAttempts_.push_back(pending);
    if (attempt.address != state_.decisions.membership.self)
        sendToPeer(pending);
    else
        pending->gateId = state_.gate.offer(
            makeGateCall(attempt), [self = shared_from_this(), pending](GateResult result) {
                self->onResult(pending, std::move(result));
            });
    scheduleHedge(pending);
}

void CallerCall::sendToPeer(const PendingAttemptPtr& pending)
{
    ExchangeRequest exchange;
    exchange.bytes = encodeCallHead(makeGateCall(pending->attempt), call_.service, steadyNow());
    exchange.body = { request_, &request_->body() };
    exchange.isHeadRequest = request_->method() == http::verb::head;
    exchange.connectTimeout = kPeerConnectTimeout;
    exchange.maxHeadBytes = kMaxPeerHeadBytes;
    exchange.maxIdleTime = call_.context.isIdempotent ? kMaxIdleTimeIdempotent : kMaxIdleTimeNonIdempotent;
    pending->connection = state_.pool.send(parseEndpoint(pending->attempt.address), std::move(exchange),
        [self = shared_from_this(), pending](ExchangeResult result) {
            pending->connection.reset();
            self->onResult(pending, decodeResult(std::move(result)));
        });
}

/// Schedules a hedge for when the first attempt takes longer than calls of this kind usually do.
void CallerCall::scheduleHedge(const PendingAttemptPtr& pending)
{
    const absl::Duration delay = hedgeAfter(state_.decisions, call_);
    if (isDone_ || pendingAttempts_.size() != 1 || delay == absl::InfiniteDuration())
        return;
    hedgeTimer_.expires_after(absl::ToChronoMicroseconds(delay));
    hedgeTimer_.async_wait([self = shared_from_this(), pending](beast::error_code error) {
        const bool isOnlyPending
            = self->pendingAttempts_.size() == 1 && self->pendingAttempts_.front() == pending;
        if (error || self->isDone_ || !isOnlyPending)
            return;
        const auto attempt = startHedge(self->state_.decisions, self->call_, steadyNow());
        if (!attempt)
            return;
        self->state_.metrics.countHedge();
        self->send(*attempt);
    });
}

void CallerCall::onResult(const PendingAttemptPtr& pending, GateResult result)
{
    std::erase(pendingAttempts_, pending);
    if (isDone_)
        return;
    const AttemptReport report = makeReport(result);
    recordReport(state_.decisions, call_, pending->attempt, report, steadyNow());
    if (report.result.outcome == Outcome::Ok) {
        complete(std::move(result), report.result);
        return;
    }
    if (!pendingAttempts_.empty()) // The other attempt may still succeed.
        return;
    if (tryAcquireCallRetry(state_.decisions, call_, report.result, steadyNow())) {
        state_.metrics.countRetry();
        sendNext();
        return;
    }
    complete(std::move(result), report.result);
}

void CallerCall::complete(GateResult result, const AttemptResult& end)
{
    if (result.status != GateStatus::Answered) {
        fail(finalResult(call_, end));
        return;
    }
    for (const PendingAttemptPtr& other : std::exchange(pendingAttempts_, {})) {
        cancel(other);
        recordCancelledAttempt(state_.decisions, other->attempt, steadyNow());
    }
    close(end, result.response.result_int());
    if (interface_.markResponse)
        interface_.markResponse(result.response, end);
    incoming_->respond(std::move(result.response), std::move(result.reservation));
}

void CallerCall::fail(const AttemptResult& end, const std::string& detail, absl::Duration retryAfter)
{
    if (end.outcome == Outcome::NotRun && releaseClaim_)
        releaseClaim_();
    Response response = interface_.makeFailureResponse(
        { end.outcome, end.reason, detail, std::max(retryAfter, call_.retryAfter) },
        call_.callerDeadline - steadyNow());
    close(end, response.result_int());
    incoming_->respond(std::move(response));
}

void CallerCall::close(const AttemptResult& end, unsigned status)
{
    const absl::Time now = steadyNow();
    isDone_ = true;
    timer_.cancel();
    hedgeTimer_.cancel();
    if (tokenWait_ != 0)
        state_.leases->cancel(call_.context.customer, std::exchange(tokenWait_, 0));
    if (tokenPeriod_ && end.outcome == Outcome::NotRun)
        state_.leases->giveBack(call_.context.customer, *tokenPeriod_);
    tokenPeriod_.reset();
    closeCall(state_.decisions, call_, end, now);
    const CallContext& context = call_.context;
    state_.metrics.countCall({ context.priority, end.outcome, end.reason }, now - call_.start);
    state_.requestLog.record("call-ended", context.requestId, end.outcome == Outcome::Ok,
        { { "request", context.requestId }, { "route", context.kind }, { "customer", context.customer },
            { "service", call_.service }, { "class", static_cast<int>(context.priority) },
            { "nested", call_.isNested }, { "outcome", toText(end.outcome) },
            { "reason", toText(end.reason) }, { "status", status },
            { "node", call_.tried.empty() ? "" : call_.tried.back() }, { "tried", call_.tried.size() },
            { "arrivals", call_.arrivals }, { "after_ms", absl::ToInt64Milliseconds(now - call_.start) },
            { "limit_ms", absl::ToInt64Milliseconds(context.deadline - call_.start) },
            { "config", state_.configuration.version } });
}

void CallerCall::onDeadline()
{
    if (isDone_)
        return;
    const bool mayHaveRun = !pendingAttempts_.empty() || call_.leastCertainResult.outcome == Outcome::Unknown;
    abortAttempts();
    fail({ mayHaveRun ? Outcome::Unknown : Outcome::NotRun, Reason::Timeout, true });
}

void CallerCall::abandon()
{
    if (isDone_ || isSafeguardDisabled("callers-that-left"))
        return;
    const bool mayHaveRun = !pendingAttempts_.empty() || call_.leastCertainResult.outcome != Outcome::Ok;
    abortAttempts();
    if (!mayHaveRun && releaseClaim_)
        releaseClaim_();
    close({ mayHaveRun ? Outcome::Unknown : Outcome::NotRun, Reason::Cancelled, true }, 0);
}

/// Cancels the attempts in progress at other nodes or the local target.
void CallerCall::abortAttempts()
{
    for (const PendingAttemptPtr& pending : std::exchange(pendingAttempts_, {})) {
        cancel(pending);
        recordAttemptEnd(state_.decisions.routing, pending->attempt.address, {}, steadyNow());
    }
}

void CallerCall::cancel(const PendingAttemptPtr& pending)
{
    if (pending->connection)
        std::exchange(pending->connection, nullptr)->cancel();
    else if (pending->gateId != 0)
        state_.gate.cancel(pending->gateId);
}

} // namespace jackdawwall::relay
