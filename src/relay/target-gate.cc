#include "relay/target-gate.h"

#include "absl/strings/str_cat.h"

#include <array>

namespace jackdawwall::relay {
namespace {

constexpr std::array<absl::string_view, 4> kEndTexts { "answered", "refused", "rejected", "unknown" };
/// Least time left that a target can use.
constexpr absl::Duration kLeastTime = absl::Milliseconds(5);
/// Wait that every call may have at the gate.
constexpr absl::Duration kLeastPatience = absl::Milliseconds(20);
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

TargetGate::TargetGate(UpstreamPool& pool, RequestLog& log, GateOptions options)
    : pool_(pool)
    , log_(log)
    , options_(std::move(options))
    , endpoint_(parseEndpoint(options_.targetAddress))
    , admission_(makeAdmissionState(options_.admission))
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
    OfferedCall offered;
    offered.id = id;
    offered.priority = held->call.priority;
    offered.caller = stableHash(held->call.caller);
    // Only the queue refuses: a refusal by rank would waste what nodes and targets upstream have done.
    offered.rank = 0;
    offered.cost = costKey(held->call.route, held->call.request.body().size());
    offered.deadline = held->call.deadline;
    offered.patience = std::max(
        kLeastPatience, held->call.goal - expectedTime(admission_.limit, offered.cost, absl::ZeroDuration()));
    const Decision decision = offerCall(admission_, offered, now);
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
    if (now + kLeastTime > held->call.deadline) {
        finish(id, { GateEnd::Refused, Reason::Deadline, {}, 0 }, RunEnd::Lost);
        return;
    }
    if (held->call.arrivals > 0 && !takeRepeat(budget_, options_.budget, targetCount_, now)) {
        finish(id, { GateEnd::Refused, Reason::RetryLimit, {}, 0 }, RunEnd::Lost);
        return;
    }
    if (held->call.arrivals == 0)
        noteFirstArrival(budget_, options_.budget, now);
    ExchangePlan plan;
    plan.bytes = requestBytes(held->call, now);
    plan.isHead = held->call.request.method() == http::verb::head;
    plan.idHeader = options_.names.requestId;
    plan.id = held->call.requestId;
    plan.connectTime = kConnectTime;
    plan.freshFor = held->call.isRepeatable ? kReuse : options_.unsafeReuse;
    held->connection = pool_.send(
        endpoint_, std::move(plan), [this, id](ExchangeResult result) { onAnswer(id, std::move(result)); });
}

std::string TargetGate::requestBytes(const GateCall& call, absl::Time now) const
{
    Request request = call.request;
    removeHopHeaders(request);
    request.version(11);
    setHeader(request, options_.names.timeLeft, absl::StrCat(absl::ToInt64Milliseconds(call.deadline - now)));
    setHeader(request, options_.names.expectTarget, target_.lifetime.id);
    setHeader(request, options_.names.caller, call.caller);
    request.prepare_payload();
    return toBytes(request);
}

GateResult TargetGate::judge(const Held& held, ExchangeResult& result) const
{
    if (result.end == ExchangeEnd::NotSent)
        return { GateEnd::Refused, Reason::Unreachable, {}, 0 };
    if (result.end != ExchangeEnd::Complete) {
        const Reason reason = result.end == ExchangeEnd::Lost ? Reason::ConnectionLost : Reason::Truncated;
        return { GateEnd::Unknown, reason, {}, 0 };
    }
    const Response& response = result.response;
    const bool isNotRun = !headerOf(response, options_.names.notRun).empty()
        || response.result() == http::status::misdirected_request;
    if (isNotRun)
        return { GateEnd::Rejected, Reason::TargetShed, {}, 0 };
    const absl::string_view id = headerOf(response, options_.names.requestId);
    const bool isForeign = !id.empty() && id != held.call.requestId;
    const bool isEncoded = response.count(http::field::content_encoding) != 0;
    const bool isUnsealed = headerOf(response, options_.names.seal).empty();
    if (isForeign || isEncoded || isUnsealed)
        return { GateEnd::Unknown, Reason::TargetFailed, {}, 0 };
    frame(result.response, held.call.request.method() == http::verb::head);
    return { GateEnd::Answered, isSuccess(response) ? Reason::None : Reason::TargetFailed,
        std::move(result.response), 0 };
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
    log_.note("target-call", held->call.requestId, judged.end == GateEnd::Answered,
        { { "request", held->call.requestId }, { "route", held->call.route },
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
    const Release release = finishCall(admission_, id, end, absl::ZeroDuration(), steadyNow());
    result.waiting = waiting();
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
    log_.note("target-refused", held->call.requestId, reason == Reason::Leaving,
        { { "request", held->call.requestId }, { "route", held->call.route },
            { "reason", jackdawwall::toText(reason) }, { "phase", static_cast<int>(target_.phase) },
            { "running", running() }, { "waiting", waiting() },
            { "left_ms", absl::ToInt64Milliseconds(held->call.deadline - steadyNow()) } });
    held->done({ GateEnd::Refused, reason, {}, waiting() });
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
    if (withdrawCall(admission_, id))
        return;
    if (held->connection)
        held->connection->cancel();
    apply(finishCall(admission_, id, RunEnd::Lost, absl::ZeroDuration(), steadyNow()));
}

void TargetGate::targetChanged(const TargetState& target)
{
    const bool wasServing = isServing(target_);
    const bool isNew = target.lifetime != target_.lifetime;
    target_ = target;
    if (isNew && target.slots > 0) {
        AdmissionOptions options = options_.admission;
        options.limit.initial = target.slots;
        options.limit.maximum = target.slots;
        options.limit.minimum = std::max(2.0, target.slots * 0.7);
        admission_.options = options;
        admission_.limit = makeLimitState(options.limit);
        pool_.forget(endpoint_);
    }
    if (!wasServing || isServing(target_))
        return;
    std::vector<CallId> waitingIds;
    for (const auto& [id, waitingCall] : admission_.waiting)
        waitingIds.push_back(id);
    for (const CallId id : waitingIds) {
        static_cast<void>(withdrawCall(admission_, id));
        refuse(id, Reason::Leaving);
    }
}

void TargetGate::tick(absl::Time now)
{
    apply(advanceTime(admission_, now));
}

} // namespace jackdawwall::relay
