#include "relay/target-gate.h"

#include "adapter/log.h"
#include "relay/breakage.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace jackdawwall::relay {
namespace {

constexpr std::array<absl::string_view, 4> kGateStatusNames { "answered", "refused", "rejected", "unknown" };
/// Calls with less remaining time are refused, because it is too short for a target to use.
constexpr absl::Duration kMinRemainingTime = absl::Milliseconds(5);
/// Time that every call may spend in the queue, also when its latency objective is used up.
constexpr absl::Duration kMinQueueTime = absl::Milliseconds(20);
/// Lower bound of the concurrency limit, as a share of the slots that the target declares.
constexpr double kMinLimitShare = 0.7;
constexpr unsigned kInternalServerError = 500;
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(500);
constexpr absl::Duration kMaxIdleTimeIdempotent = absl::Seconds(30);
/// Value of the header by which a target says that it leaves.
constexpr absl::string_view kIsLeaving = "1";
/// Part of a value that can't be read that is logged.
constexpr std::size_t kMaxLoggedText = 64;

bool isSuccess(const Response& response)
{
    return http::to_status_class(response.result()) == http::status_class::successful;
}

/// Why an exchange that was sent ended without a complete response.
Reason reasonFor(ExchangeStatus status)
{
    if (status == ExchangeStatus::TooLarge)
        return Reason::ResponseTooLarge;
    return status == ExchangeStatus::Lost ? Reason::ConnectionLost : Reason::Truncated;
}

/// Removes the hop-by-hop headers of a completely read response. Sets Content-Length if it has a body.
void setFraming(Response& response, bool isHeadRequest)
{
    removeHopByHopHeaders(response);
    const bool hasNoBody = isHeadRequest || response.result() == http::status::no_content
        || response.result() == http::status::not_modified;
    if (!hasNoBody)
        response.content_length(response.body().size());
}

} // namespace

absl::string_view toText(GateStatus status)
{
    return kGateStatusNames.at(static_cast<std::size_t>(status));
}

GateStatus gateStatusFromText(absl::string_view text)
{
    for (std::size_t index = 0; index < kGateStatusNames.size(); ++index) {
        if (kGateStatusNames.at(index) == text)
            return static_cast<GateStatus>(index);
    }
    return GateStatus::Unknown;
}

TargetGate::TargetGate(
    NodeDecisions& decisions, UpstreamPool& pool, RequestLog& log, Metrics& metrics, GateOptions options)
    : decisions_(decisions)
    , pool_(pool)
    , log_(log)
    , metrics_(metrics)
    , options_(std::move(options))
    , endpoint_(parseEndpoint(options_.targetAddress))
{
}

CallId TargetGate::offer(GateCall call, GateCallback done)
{
    const absl::Time now = steadyNow();
    const CallId id = ++lastId_;
    auto pending = std::make_shared<PendingCall>();
    pending->call = std::move(call);
    pending->done = std::move(done);
    pending->offeredAt = now;
    calls_.emplace(id, pending);
    if (pending->call.statement)
        applyStatement(*pending->call.statement);
    if (!isServing(target_)) {
        refuse(id, target_.phase == TargetPhase::Leaving ? Reason::Leaving : Reason::NoTarget);
        return id;
    }
    AdmissionState& admission = decisions_.admission;
    OfferedCall offered = makeOfferedCall(pending->call.context, id, pending->call.request->body().size());
    offered.hasAlternative = pending->call.hasAlternative;
    if (pending->call.latencyObjective > absl::ZeroDuration())
        offered.maximumWait = std::max(kMinQueueTime,
            pending->call.latencyObjective
                - expectedTime(admission.limit, offered.cost, absl::ZeroDuration()));
    const Decision decision = offerCall(admission, offered, now);
    if (decision.verdict == Verdict::Start)
        run(id);
    else if (decision.verdict == Verdict::Refuse)
        refuse(id, decision.reason);
    apply({ {}, decision.refused });
    return id;
}

void TargetGate::run(CallId id)
{
    const absl::Time now = steadyNow();
    const std::shared_ptr<PendingCall> pending = calls_.at(id);
    const CallContext& context = pending->call.context;
    if (now + kMinRemainingTime > context.deadline) {
        countOffer(*pending, Outcome::NotRun, Reason::Deadline);
        finish(id, { GateStatus::Refused, Reason::Deadline, {}, {} }, RunResult::Aborted);
        return;
    }
    if (options_.arrivalBudget && pending->call.arrivals > 0
        && !tryAcquireRetryArrival(arrivalBudget_, *options_.arrivalBudget, targetCount_, now)) {
        countOffer(*pending, Outcome::NotRun, Reason::RetryLimit);
        finish(id, { GateStatus::Refused, Reason::RetryLimit, {}, {} }, RunResult::Aborted);
        return;
    }
    if (options_.arrivalBudget && pending->call.arrivals == 0)
        recordFirstArrival(arrivalBudget_, *options_.arrivalBudget, now);
    if (!options_.names.parent.empty())
        pending->token = openInbound(decisions_, context);
    countOffer(*pending, Outcome::Ok, Reason::None);
    pending->sentAt = now;
    pending->sentTo = target_.lifetime;
    ExchangeRequest exchange;
    exchange.bytes = serializeRequestHead(*pending, now);
    exchange.body = { pending->call.request, &pending->call.request->body() };
    exchange.isHeadRequest = pending->call.request->method() == http::verb::head;
    exchange.idHeader = isSafeguardDisabled("answer-ids") ? "" : options_.names.requestId;
    exchange.id = context.requestId;
    exchange.requiresId = !options_.names.seal.empty() && !exchange.idHeader.empty();
    exchange.connectTimeout = kConnectTimeout;
    exchange.maxIdleTime = context.isIdempotent ? kMaxIdleTimeIdempotent : options_.maxIdleTimeNonIdempotent;
    exchange.allowsUnframedResponse = !options_.names.seal.empty();
    pending->connection = pool_.send(endpoint_, std::move(exchange),
        [this, id](ExchangeResult result) { onResponse(id, std::move(result)); });
}

std::string TargetGate::serializeRequestHead(PendingCall& pending, absl::Time now)
{
    const CallContext& context = pending.call.context;
    const HeaderNames& names = options_.names;
    Request head = copyHead(*pending.call.request);
    const auto set = [&](const std::string& name, absl::string_view value) {
        if (!name.empty())
            setHeader(head, name, value);
    };
    if (names.parent.empty())
        pending.runLimit = addRun(runs_, context.deadline, { context.priority, context.customer }, now);
    const std::int64_t remaining
        = absl::ToInt64Milliseconds(pending.runLimit.value_or(context.deadline) - now);
    set(names.remainingTime, absl::StrCat(std::max<std::int64_t>(1, remaining)));
    set(names.expectTarget, target_.lifetime.id);
    set(names.caller, context.caller);
    if (!context.customer.empty() && !context.isCustomerOfRun)
        set(names.customer, context.customer);
    set(names.kind, context.kind);
    set(names.parent, absl::StrCat(absl::Hex(pending.token, absl::kZeroPad16)));
    set(names.node, options_.nodeAddress);
    return serializeHead(head);
}

void TargetGate::applyResponse(const PendingCall& pending, const Response& response)
{
    // A response to a call for another lifetime, as after a change of the target at this address.
    if (pending.sentTo != target_.lifetime || response.result() == http::status::misdirected_request)
        return;
    if (!options_.names.limit.empty())
        applyNamedRate(pending, response);
    if (headerValue(response, options_.names.leaving) == kIsLeaving && onLeave_)
        onLeave_(pending.sentTo);
}

void TargetGate::applyNamedRate(const PendingCall& pending, const Response& response)
{
    const std::string& name = options_.names.limit;
    const std::size_t count = response.count(toBeast(name));
    const absl::string_view text = headerValue(response, name);
    const std::optional<double> named = count == 1 ? parseTargetRate(text) : std::nullopt;
    if (count > 0 && !named) {
        log_.record("target-limit-unreadable", pending.call.context.requestId, false,
            { { "request", pending.call.context.requestId }, { "target", target_.lifetime.id },
                { "values", count }, { "limit", text.substr(0, kMaxLoggedText) } });
        return;
    }
    TargetRate& rate = decisions_.admission.rate;
    const std::optional<double> before = rate.callsPerSecond;
    logRateChange(recordNamedRate(rate, named, pending.sentAt, steadyNow()), before);
}

void TargetGate::applyStatement(const TargetStatement& statement)
{
    if (statement.isLeaving && onLeave_)
        onLeave_(statement.lifetime);
    if (!statement.callsPerSecond || statement.lifetime != target_.lifetime)
        return;
    TargetRate& rate = decisions_.admission.rate;
    const std::optional<double> before = rate.callsPerSecond;
    logRateChange(adoptNamedRate(rate, *statement.callsPerSecond, statement.observedAt, steadyNow()), before);
}

void TargetGate::logRateChange(RateChange change, std::optional<double> before) const
{
    if (change == RateChange::None)
        return;
    const absl::string_view event = change == RateChange::Started ? "target-limit-started"
        : change == RateChange::Changed                           ? "target-limit-changed"
                                                                  : "target-limit-ended";
    logEvent(LogLevel::Info, event,
        { { "target", target_.lifetime.id },
            { "limit_per_s", decisions_.admission.rate.callsPerSecond.value_or(0) },
            { "before", before.value_or(0) }, { "running", running() }, { "waiting", waiting() } });
}

std::optional<TargetStatement> TargetGate::statement() const
{
    const bool isLeaving = target_.phase == TargetPhase::Leaving;
    if (!isLeaving && !decisions_.admission.rate.callsPerSecond)
        return std::nullopt;
    return TargetStatement { target_.lifetime, decisions_.admission.rate.callsPerSecond, isLeaving,
        steadyNow() };
}

/// Feedback that the response passes back up the call chain.
CallFeedback TargetGate::feedback(const PendingCall& pending)
{
    CallFeedback result;
    if (options_.names.parent.empty())
        result.waiting = static_cast<std::uint32_t>(waiting());
    else
        result = feedbackFor(decisions_, pending.call.context, pending.token);
    result.statement = statement();
    return result;
}

/// Ends the run. Returns the time that the target spent waiting for its own calls.
absl::Duration TargetGate::endRun(const PendingCall& pending)
{
    if (pending.runLimit)
        removeRun(runs_, *pending.runLimit);
    return pending.token == 0 ? absl::ZeroDuration() : closeInbound(decisions_, pending.token, steadyNow());
}

GateResult TargetGate::classifyResponse(const PendingCall& pending, ExchangeResult& result) const
{
    if (result.status == ExchangeStatus::NotSent)
        return { GateStatus::Refused, Reason::Unreachable, {}, {} };
    if (result.status != ExchangeStatus::Complete) {
        return { GateStatus::Unknown, reasonFor(result.status), {}, {} };
    }
    const HeaderNames& names = options_.names;
    const Response& response = result.response;
    const absl::string_view notRun = headerValue(response, names.notRun);
    const bool isNotRun = (!notRun.empty() && (names.notRunValue.empty() || notRun == names.notRunValue))
        || (!names.expectTarget.empty() && response.result() == http::status::misdirected_request);
    if (isNotRun)
        return { GateStatus::Rejected, Reason::TargetShed, {}, {} };
    const absl::string_view id = headerValue(response, names.requestId);
    const bool isForOtherRequest
        = !isSafeguardDisabled("answer-ids") && !id.empty() && id != pending.call.context.requestId;
    // The seal covers the body as the target made it, so an encoded response is rejected.
    const bool isCorrupt = !names.seal.empty()
        && (headerValue(response, names.seal).empty() || response.count(http::field::content_encoding) != 0);
    if (isForOtherRequest || isCorrupt)
        return { GateStatus::Unknown, Reason::TargetFailed, {}, {} };
    setFraming(result.response, pending.call.request->method() == http::verb::head);
    return { GateStatus::Answered, isSuccess(response) ? Reason::None : Reason::TargetFailed,
        std::move(result.response), {}, true, std::move(result.reservation) };
}

void TargetGate::onResponse(CallId id, ExchangeResult result)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    const std::shared_ptr<PendingCall> pending = found->second;
    const unsigned httpStatus = result.response.result_int();
    const bool isComplete = result.status == ExchangeStatus::Complete;
    GateResult classified = classifyResponse(*pending, result);
    if (isComplete && classified.status != GateStatus::Unknown)
        applyResponse(
            *pending, classified.status == GateStatus::Answered ? classified.response : result.response);
    RunResult runResult = RunResult::Aborted;
    if (classified.status == GateStatus::Answered)
        runResult = httpStatus < kInternalServerError ? RunResult::Completed : RunResult::Failed;
    if (classified.status == GateStatus::Rejected) {
        runResult = RunResult::RefusedByTarget;
        // A late copy of this refusal must not answer another request, or the same one when it is sent again.
        // The id excludes the former; the latter is harmless for idempotent work.
        const bool hasId = !headerValue(result.response, options_.names.requestId).empty();
        if (pending->connection && !(pending->call.context.isIdempotent && hasId))
            pending->connection->cancel();
    }
    log_.record("target-call", pending->call.context.requestId, classified.status == GateStatus::Answered,
        { { "request", pending->call.context.requestId }, { "route", pending->call.context.kind },
            { "customer", pending->call.context.customer }, { "target", target_.lifetime.id },
            { "end", toText(classified.status) }, { "reason", jackdawwall::toText(classified.reason) },
            { "status", httpStatus }, { "arrivals_before", pending->call.arrivals }, { "running", running() },
            { "waiting", waiting() },
            { "after_ms", absl::ToInt64Milliseconds(steadyNow() - pending->offeredAt) } });
    finish(id, std::move(classified), runResult);
}

void TargetGate::finish(CallId id, GateResult result, RunResult runResult)
{
    const std::shared_ptr<PendingCall> pending = calls_.at(id);
    calls_.erase(id);
    result.feedback = feedback(*pending);
    const QueueUpdate update = finishCall(decisions_.admission, id, runResult, endRun(*pending), steadyNow());
    result.feedback.waiting = static_cast<std::uint32_t>(waiting());
    result.feedback.load = gateLoad(decisions_, steadyNow() - pending->offeredAt);
    pending->done(std::move(result));
    apply(update);
}

void TargetGate::refuse(CallId id, Reason reason)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    const std::shared_ptr<PendingCall> pending = found->second;
    calls_.erase(found);
    countOffer(*pending, Outcome::NotRun, reason);
    log_.record("target-refused", pending->call.context.requestId, reason == Reason::Leaving,
        { { "request", pending->call.context.requestId }, { "route", pending->call.context.kind },
            { "reason", jackdawwall::toText(reason) }, { "phase", static_cast<int>(target_.phase) },
            { "running", running() }, { "waiting", waiting() },
            { "customer", pending->call.context.customer },
            { "customer_waiting_ms",
                absl::ToInt64Milliseconds(waitingWork(decisions_.admission, pending->call.context.priority,
                    fairnessKey(pending->call.context))) },
            { "left_ms", absl::ToInt64Milliseconds(pending->call.context.deadline - steadyNow()) } });
    GateResult result { GateStatus::Refused, reason, {}, feedback(*pending) };
    if (reason == Reason::TargetLimit)
        result.feedback.retryAfter = timeUntilStart(decisions_.admission, pending->call.context.priority);
    result.feedback.load = gateLoad(decisions_, steadyNow() - pending->offeredAt);
    pending->done(std::move(result));
}

/// Counts the gate's decision on an offered call. The caller's node counts the outcome at the target.
void TargetGate::countOffer(const PendingCall& pending, Outcome outcome, Reason reason)
{
    metrics_.countOffer({ pending.call.context.priority, outcome, reason });
    if (!pending.call.context.customer.empty())
        metrics_.countCustomerOffer(pending.call.context.customer, outcome == Outcome::NotRun);
}

void TargetGate::apply(const QueueUpdate& update)
{
    for (const RefusedCall& refused : update.refused)
        refuse(refused.id, refused.reason);
    for (const CallId id : update.started) {
        if (calls_.contains(id))
            run(id);
    }
}

void TargetGate::cancel(CallId id)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    const std::shared_ptr<PendingCall> pending = found->second;
    calls_.erase(found);
    if (cancelWaitingCall(decisions_.admission, id))
        return;
    if (pending->connection)
        pending->connection->cancel();
    apply(finishCall(decisions_.admission, id, RunResult::Aborted, endRun(*pending), steadyNow()));
}

void TargetGate::updateTarget(const TargetState& target)
{
    const bool wasServing = isServing(target_);
    const bool isNew = target.lifetime != target_.lifetime;
    AdmissionState& admission = decisions_.admission;
    if (isNew) {
        const std::optional<double> before = std::exchange(admission.rate, {}).callsPerSecond;
        logRateChange(before ? RateChange::Ended : RateChange::None, before);
    }
    target_ = target;
    if (isNew && target.slots > 0) {
        LimitOptions& limit = admission.options.limit;
        limit.initial = target.slots;
        limit.maximum = target.slots;
        limit.minimum = std::max(2.0, target.slots * kMinLimitShare);
        admission.limit = makeLimitState(limit);
        pool_.closeIdle(endpoint_);
    }
    if (!wasServing || isServing(target_))
        return;
    std::vector<CallId> waitingIds;
    for (const auto& [id, waitingCall] : admission.waiting)
        waitingIds.push_back(id);
    for (const CallId id : waitingIds) {
        static_cast<void>(cancelWaitingCall(admission, id));
        refuse(id, Reason::Leaving);
    }
}

void TargetGate::tick(absl::Time now)
{
    const DownstreamLimit& downstream = decisions_.admission.downstream;
    const bool wasLimited = std::isfinite(downstream.limit);
    apply(advanceTime(decisions_.admission, now));
    if (wasLimited == std::isfinite(downstream.limit))
        return;
    logEvent(LogLevel::Info, wasLimited ? "downstream-limit-ended" : "downstream-limit-started",
        { { "target", target_.lifetime.id }, { "limit", wasLimited ? 0 : downstream.limit },
            { "kinds", downstream.dependentUntil.size() }, { "running", running() },
            { "waiting", waiting() } });
}

} // namespace jackdawwall::relay
