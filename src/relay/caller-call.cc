#include "relay/caller-call.h"

#include "relay/breakage.h"
#include "relay/hop-wire.h"

#include <algorithm>
#include <utility>

namespace jackdawwall::relay {
namespace {

/// An answer that is on its way at the deadline is still passed on for this long.
constexpr absl::Duration kAnswerGrace = absl::Milliseconds(40);
constexpr absl::Duration kPeerConnectTime = absl::Milliseconds(400);
/// Part of the time before the end of a stopping process that a call may wait for its turn.
constexpr double kStopPatience = 0.33;
/// Least of a latency objective that is told: none left still means that there is one.
constexpr absl::Duration kLeastGoal = absl::Milliseconds(1);
/// Unrepeatable work goes to another node only on a connection that was in use this recently: one that went
/// silent while it was idle would leave open whether the work ran.
constexpr absl::Duration kTrustedIdle = absl::Seconds(3);
constexpr absl::Duration kTrustedIdleRepeatable = absl::Seconds(30);
/// Statuses of 500 and 501 are the application's verdict; another target would say the same.
constexpr unsigned kInternalError = 500;
constexpr unsigned kNotImplemented = 501;
/// For the deliberate breakage only.
constexpr int kUnboundedAttempts = 9;

/// What a result says of the call.
AttemptReport reportOf(const GateResult& result)
{
    AttemptReport report;
    report.isAnswered = result.isHeard;
    report.hasArrived = result.end != GateEnd::Refused;
    if (result.isHeard)
        report.feedback = result.feedback;
    const unsigned status = result.response.result_int();
    switch (result.end) {
    case GateEnd::Answered:
        report.end.outcome = status < kInternalError ? Outcome::Ok : Outcome::Failed;
        report.end.reason = status < kInternalError ? Reason::None : Reason::TargetFailed;
        report.end.nextHopFailed
            = status != kInternalError && status != kNotImplemented && !result.feedback.hasFailedDeeper;
        break;
    case GateEnd::Refused:
    case GateEnd::Rejected:
        report.end = { Outcome::NotRun, result.reason, true };
        break;
    case GateEnd::Unknown:
        report.end = { Outcome::Unknown, result.reason, !result.feedback.hasFailedDeeper };
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
        call_.context.isRepeatable = true;
    if (isSafeguardDisabled("attempts"))
        call_.attempts = kUnboundedAttempts;
}

void CallerCall::start()
{
    const auto self = shared_from_this();
    incoming_->onAbandoned = [self] { self->abandon(); };
    timer_.expires_after(absl::ToChronoMicroseconds(call_.context.deadline + kAnswerGrace - steadyNow()));
    timer_.async_wait([self](beast::error_code error) {
        if (!error)
            self->onDeadline();
    });
    if (interface_.claim && !call_.context.isRepeatable)
        claim();
    else
        sendNext();
}

void CallerCall::claim()
{
    interface_.claim(call_,
        [self = shared_from_this()](
            const std::optional<CallFailure>& failure, std::function<void()> releaseClaim) {
            if (self->isDone_) { // The caller left, or its time is over.
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

GateCall CallerCall::gateCall() const
{
    GateCall call;
    call.request = request_;
    call.context = call_.context;
    call.arrivals = call_.arrivals;
    if (call_.goal == absl::ZeroDuration())
        return call;
    const absl::Time now = steadyNow();
    call.goal = std::max(
        kLeastGoal, std::min(call_.start + call_.goal - now, (state_.stopDeadline - now) * kStopPatience));
    return call;
}

void CallerCall::sendNext()
{
    const auto sending = jackdawwall::sendNext(state_.decisions, call_, steadyNow());
    if (sending)
        send(*sending);
    else if (call_.worst.outcome != Outcome::Ok)
        fail(call_.worst);
    else
        fail({ Outcome::NotRun, Reason::NoTarget, true }, "no target of this service is known");
}

void CallerCall::send(const Sending& sending)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->sending = sending;
    attempts_.push_back(attempt);
    if (sending.address != state_.decisions.membership.self)
        sendToPeer(attempt);
    else
        attempt->gateId
            = state_.gate.offer(gateCall(), [self = shared_from_this(), attempt](GateResult result) {
                  self->onResult(attempt, std::move(result));
              });
    awaitHedge(attempt);
}

void CallerCall::sendToPeer(const AttemptPtr& attempt)
{
    ExchangePlan plan;
    plan.bytes = encodeCallHead(gateCall(), call_.service, steadyNow());
    plan.body = { request_, &request_->body() };
    plan.isHead = request_->method() == http::verb::head;
    plan.connectTime = kPeerConnectTime;
    plan.freshFor = call_.context.isRepeatable ? kTrustedIdleRepeatable : kTrustedIdle;
    attempt->connection = state_.pool.send(parseEndpoint(attempt->sending.address), std::move(plan),
        [self = shared_from_this(), attempt](ExchangeResult result) {
            attempt->connection.reset();
            self->onResult(attempt, decodeResult(std::move(result)));
        });
}

/// Sends a second copy when the first takes longer than its kind usually does.
void CallerCall::awaitHedge(const AttemptPtr& attempt)
{
    const absl::Duration delay = hedgeAfter(state_.decisions, call_);
    if (isDone_ || attempts_.size() != 1 || delay == absl::InfiniteDuration())
        return;
    hedgeTimer_.expires_after(absl::ToChronoMicroseconds(delay));
    hedgeTimer_.async_wait([self = shared_from_this(), attempt](beast::error_code error) {
        const bool isWaiting = self->attempts_.size() == 1 && self->attempts_.front() == attempt;
        if (error || self->isDone_ || !isWaiting)
            return;
        const auto sending = sendHedge(self->state_.decisions, self->call_, steadyNow());
        if (!sending)
            return;
        self->state_.metrics.countHedge();
        self->send(*sending);
    });
}

void CallerCall::onResult(const AttemptPtr& attempt, GateResult result)
{
    std::erase(attempts_, attempt);
    if (isDone_)
        return;
    const AttemptReport report = reportOf(result);
    noteReport(state_.decisions, call_, attempt->sending, report, steadyNow());
    if (report.end.outcome == Outcome::Ok) {
        conclude(std::move(result), report.end);
        return;
    }
    if (!attempts_.empty()) // The other copy may still be answered.
        return;
    if (mayRetry(state_.decisions, call_, report.end, steadyNow())) {
        state_.metrics.countRetry();
        sendNext();
        return;
    }
    conclude(std::move(result), report.end);
}

void CallerCall::conclude(GateResult result, const AttemptEnd& end)
{
    if (result.end != GateEnd::Answered) {
        fail(finalEnd(call_, end));
        return;
    }
    for (const AttemptPtr& loser : std::exchange(attempts_, {})) {
        cancel(loser);
        noteLoser(state_.decisions, loser->sending, steadyNow());
    }
    close(end, result.response.result_int());
    if (interface_.mark)
        interface_.mark(result.response, end);
    incoming_->respond(std::move(result.response));
}

void CallerCall::fail(const AttemptEnd& end, const std::string& detail)
{
    if (end.outcome == Outcome::NotRun && releaseClaim_)
        releaseClaim_();
    Response response
        = interface_.failure({ end.outcome, end.reason, detail }, call_.callerDeadline - steadyNow());
    close(end, response.result_int());
    incoming_->respond(std::move(response));
}

void CallerCall::close(const AttemptEnd& end, unsigned status)
{
    const absl::Time now = steadyNow();
    isDone_ = true;
    timer_.cancel();
    hedgeTimer_.cancel();
    closeCall(state_.decisions, call_, end, now);
    const CallContext& context = call_.context;
    state_.metrics.countCall({ context.priority, end.outcome, end.reason }, now - call_.start);
    state_.requestLog.record("call-ended", context.requestId, end.outcome == Outcome::Ok,
        { { "request", context.requestId }, { "route", context.kind }, { "service", call_.service },
            { "outcome", toText(end.outcome) }, { "reason", toText(end.reason) }, { "status", status },
            { "node", call_.tried.empty() ? "" : call_.tried.back() }, { "tried", call_.tried.size() },
            { "arrivals", call_.arrivals }, { "after_ms", absl::ToInt64Milliseconds(now - call_.start) },
            { "limit_ms", absl::ToInt64Milliseconds(context.deadline - call_.start) },
            { "config", state_.configuration.version } });
}

void CallerCall::onDeadline()
{
    if (isDone_)
        return;
    const bool mayHaveRun = !attempts_.empty() || call_.worst.outcome == Outcome::Unknown;
    breakOff();
    fail({ mayHaveRun ? Outcome::Unknown : Outcome::NotRun, Reason::Timeout, true });
}

void CallerCall::abandon()
{
    if (isDone_ || isSafeguardDisabled("callers-that-left"))
        return;
    const bool mayHaveRun = !attempts_.empty() || call_.worst.outcome != Outcome::Ok;
    breakOff();
    if (!mayHaveRun && releaseClaim_)
        releaseClaim_();
    close({ mayHaveRun ? Outcome::Unknown : Outcome::NotRun, Reason::Cancelled, true }, 0);
}

/// Cancels what is under way at nodes or the own target.
void CallerCall::breakOff()
{
    for (const AttemptPtr& attempt : std::exchange(attempts_, {})) {
        cancel(attempt);
        noteEnd(state_.decisions.routing, attempt->sending.address, {}, steadyNow());
    }
}

void CallerCall::cancel(const AttemptPtr& attempt)
{
    if (attempt->connection)
        std::exchange(attempt->connection, nullptr)->cancel();
    else if (attempt->gateId != 0)
        state_.gate.cancel(attempt->gateId);
}

} // namespace jackdawwall::relay
