#include "relay/target-gate.h"

#include "relay/breakage.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <array>

namespace jackdawwall::relay {
namespace {

constexpr std::array<absl::string_view, 4> kEndTexts { "answered", "refused", "rejected", "unknown" };
/// Least time left that a target can use.
constexpr absl::Duration kLeastTime = absl::Milliseconds(5);
/// Wait that every call may have at the gate.
constexpr absl::Duration kLeastPatience = absl::Milliseconds(20);
/// Part of the slots that a target declares which the limit never goes below.
constexpr double kLeastLimitShare = 0.7;
constexpr absl::Duration kConnectTime = absl::Milliseconds(500);
constexpr absl::Duration kReuse = absl::Seconds(30);

bool isSuccess(const Response& response)
{
    return http::to_status_class(response.result()) == http::status_class::successful;
}

/// Gives an answer that was read whole a length in place of the way in which it came.
void frame(Response& response, bool isHead)
{
    removeHopHeaders(response);
    const bool hasNoBody = isHead || response.result() == http::status::no_content
        || response.result() == http::status::not_modified;
    if (!hasNoBody)
        response.content_length(response.body().size());
}

} // namespace

absl::string_view toText(GateEnd end)
{
    return kEndTexts.at(static_cast<std::size_t>(end));
}

GateEnd gateEndFromText(absl::string_view text)
{
    for (std::size_t index = 0; index < kEndTexts.size(); ++index) {
        if (kEndTexts.at(index) == text)
            return static_cast<GateEnd>(index);
    }
    return GateEnd::Unknown;
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

CallId TargetGate::offer(GateCall call, GateDone done)
{
    const absl::Time now = steadyNow();
    const CallId id = ++lastId_;
    auto held = std::make_shared<Held>();
    held->call = std::move(call);
    held->done = std::move(done);
    held->since = now;
    calls_.emplace(id, held);
    if (!isServing(target_)) {
        refuse(id, target_.phase == TargetPhase::Leaving ? Reason::Leaving : Reason::NoTarget);
        return id;
    }
    AdmissionState& admission = decisions_.admission;
    OfferedCall offered = toOffer(held->call.context, id, held->call.request->body().size());
    if (held->call.goal > absl::ZeroDuration())
        offered.patience = std::max(kLeastPatience,
            held->call.goal - expectedTime(admission.limit, offered.cost, absl::ZeroDuration()));
    const Decision decision = offerCall(admission, offered, now);
    if (decision.verdict == Verdict::Start)
        run(id);
    else if (decision.verdict == Verdict::Refuse)
        refuse(id, decision.reason);
    return id;
}

void TargetGate::run(CallId id)
{
    const absl::Time now = steadyNow();
    const std::shared_ptr<Held> held = calls_.at(id);
    const CallContext& context = held->call.context;
    if (now + kLeastTime > context.deadline) {
        countOffer(*held, Outcome::NotRun, Reason::Deadline);
        finish(id, { GateEnd::Refused, Reason::Deadline, {}, {} }, RunEnd::Lost);
        return;
    }
    if (options_.budget && held->call.arrivals > 0
        && !takeRepeat(budget_, *options_.budget, targetCount_, now)) {
        countOffer(*held, Outcome::NotRun, Reason::RetryLimit);
        finish(id, { GateEnd::Refused, Reason::RetryLimit, {}, {} }, RunEnd::Lost);
        return;
    }
    if (options_.budget && held->call.arrivals == 0)
        noteFirstArrival(budget_, *options_.budget, now);
    if (!options_.names.parent.empty())
        held->token = openInbound(decisions_, context);
    countOffer(*held, Outcome::Ok, Reason::None);
    ExchangePlan plan;
    plan.bytes = requestHead(*held, now);
    plan.body = { held->call.request, &held->call.request->body() };
    plan.isHead = held->call.request->method() == http::verb::head;
    plan.idHeader = isSafeguardDisabled("answer-ids") ? "" : options_.names.requestId;
    plan.id = context.requestId;
    plan.connectTime = kConnectTime;
    plan.freshFor = context.isRepeatable ? kReuse : options_.unsafeReuse;
    plan.takesUnframed = !options_.names.seal.empty();
    held->connection = pool_.send(
        endpoint_, std::move(plan), [this, id](ExchangeResult result) { onAnswer(id, std::move(result)); });
}

std::string TargetGate::requestHead(const Held& held, absl::Time now) const
{
    const CallContext& context = held.call.context;
    const HeaderNames& names = options_.names;
    Request head = copyHead(*held.call.request);
    const auto set = [&](const std::string& name, absl::string_view value) {
        if (!name.empty())
            setHeader(head, name, value);
    };
    const std::int64_t left = absl::ToInt64Milliseconds(context.deadline - now);
    set(names.timeLeft, absl::StrCat(std::max<std::int64_t>(1, left)));
    set(names.expectTarget, target_.lifetime.id);
    set(names.caller, context.caller);
    set(names.kind, context.kind);
    set(names.parent, absl::StrCat(absl::Hex(held.token, absl::kZeroPad16)));
    set(names.node, options_.nodeAddress);
    return headBytes(head);
}

/// What the answer hands back up the chain.
CallFeedback TargetGate::feedback(const Held& held)
{
    if (options_.names.parent.empty()) {
        CallFeedback seen;
        seen.waiting = static_cast<std::uint32_t>(waiting());
        return seen;
    }
    return feedbackFor(decisions_, held.call.context, held.token);
}

/// Time that the target spent waiting for calls of its own.
absl::Duration TargetGate::endInbound(const Held& held)
{
    return held.token == 0 ? absl::ZeroDuration() : closeInbound(decisions_, held.token, steadyNow());
}

GateResult TargetGate::judge(const Held& held, ExchangeResult& result) const
{
    if (result.end == ExchangeEnd::NotSent)
        return { GateEnd::Refused, Reason::Unreachable, {}, {} };
    if (result.end != ExchangeEnd::Complete) {
        const Reason reason = result.end == ExchangeEnd::Lost ? Reason::ConnectionLost : Reason::Truncated;
        return { GateEnd::Unknown, reason, {}, {} };
    }
    const HeaderNames& names = options_.names;
    const Response& response = result.response;
    const absl::string_view notRun = headerOf(response, names.notRun);
    const bool isNotRun = (!notRun.empty() && (names.notRunText.empty() || notRun == names.notRunText))
        || (!names.expectTarget.empty() && response.result() == http::status::misdirected_request);
    if (isNotRun)
        return { GateEnd::Rejected, Reason::TargetShed, {}, {} };
    const absl::string_view id = headerOf(response, names.requestId);
    const bool isForeign
        = !isSafeguardDisabled("answer-ids") && !id.empty() && id != held.call.context.requestId;
    // A seal covers the body as the target made it, which is never encoded.
    const bool isSpoilt = !names.seal.empty()
        && (headerOf(response, names.seal).empty() || response.count(http::field::content_encoding) != 0);
    if (isForeign || isSpoilt)
        return { GateEnd::Unknown, Reason::TargetFailed, {}, {} };
    frame(result.response, held.call.request->method() == http::verb::head);
    return { GateEnd::Answered, isSuccess(response) ? Reason::None : Reason::TargetFailed,
        std::move(result.response), {} };
}

void TargetGate::onAnswer(CallId id, ExchangeResult result)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    const std::shared_ptr<Held> held = found->second;
    const unsigned status = result.response.result_int();
    GateResult judged = judge(*held, result);
    RunEnd end = RunEnd::Lost;
    if (judged.end == GateEnd::Answered)
        end = RunEnd::Completed;
    if (judged.end == GateEnd::Rejected)
        end = RunEnd::RefusedByTarget;
    log_.record("target-call", held->call.context.requestId, judged.end == GateEnd::Answered,
        { { "request", held->call.context.requestId }, { "route", held->call.context.kind },
            { "target", target_.lifetime.id }, { "end", toText(judged.end) },
            { "reason", jackdawwall::toText(judged.reason) }, { "status", status },
            { "arrivals_before", held->call.arrivals }, { "running", running() }, { "waiting", waiting() },
            { "after_ms", absl::ToInt64Milliseconds(steadyNow() - held->since) } });
    finish(id, std::move(judged), end);
}

void TargetGate::finish(CallId id, GateResult result, RunEnd end)
{
    const std::shared_ptr<Held> held = calls_.at(id);
    calls_.erase(id);
    result.feedback = feedback(*held);
    const Release release = finishCall(decisions_.admission, id, end, endInbound(*held), steadyNow());
    result.feedback.waiting = static_cast<std::uint32_t>(waiting());
    held->done(std::move(result));
    apply(release);
}

void TargetGate::refuse(CallId id, Reason reason)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    const std::shared_ptr<Held> held = found->second;
    calls_.erase(found);
    countOffer(*held, Outcome::NotRun, reason);
    log_.record("target-refused", held->call.context.requestId, reason == Reason::Leaving,
        { { "request", held->call.context.requestId }, { "route", held->call.context.kind },
            { "reason", jackdawwall::toText(reason) }, { "phase", static_cast<int>(target_.phase) },
            { "running", running() }, { "waiting", waiting() },
            { "left_ms", absl::ToInt64Milliseconds(held->call.context.deadline - steadyNow()) } });
    held->done({ GateEnd::Refused, reason, {}, feedback(*held) });
}

/// Counts what became of an offer at the gate; what the target makes of it is the caller's to count.
void TargetGate::countOffer(const Held& held, Outcome outcome, Reason reason)
{
    metrics_.countOffer({ held.call.context.priority, outcome, reason });
}

void TargetGate::apply(const Release& release)
{
    for (const RefusedCall& refused : release.refused)
        refuse(refused.id, refused.reason);
    for (const CallId id : release.started) {
        if (calls_.contains(id))
            run(id);
    }
}

void TargetGate::cancel(CallId id)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    const std::shared_ptr<Held> held = found->second;
    calls_.erase(found);
    if (withdrawCall(decisions_.admission, id))
        return;
    if (held->connection)
        held->connection->cancel();
    apply(finishCall(decisions_.admission, id, RunEnd::Lost, endInbound(*held), steadyNow()));
}

void TargetGate::targetChanged(const TargetState& target)
{
    const bool wasServing = isServing(target_);
    const bool isNew = target.lifetime != target_.lifetime;
    target_ = target;
    AdmissionState& admission = decisions_.admission;
    if (isNew && target.slots > 0) {
        LimitOptions& limit = admission.options.limit;
        limit.initial = target.slots;
        limit.maximum = target.slots;
        limit.minimum = std::max(2.0, target.slots * kLeastLimitShare);
        admission.limit = makeLimitState(limit);
        pool_.forget(endpoint_);
    }
    if (!wasServing || isServing(target_))
        return;
    std::vector<CallId> waitingIds;
    for (const auto& [id, waitingCall] : admission.waiting)
        waitingIds.push_back(id);
    for (const CallId id : waitingIds) {
        static_cast<void>(withdrawCall(admission, id));
        refuse(id, Reason::Leaving);
    }
}

void TargetGate::tick(absl::Time now)
{
    apply(advanceTime(decisions_.admission, now));
}

} // namespace jackdawwall::relay
