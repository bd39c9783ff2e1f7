#include "node/outgoing-call.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "absl/time/clock.h"

#include <algorithm>

namespace jackdawwall {
namespace {

/// An unrepeatable call goes only on a connection that was in use this recently: a connection can go silent
/// while it is idle, and then nobody could tell whether the work ran.
constexpr absl::Duration kTrustedIdle = absl::Milliseconds(100);

std::uint64_t hedgeKey(const OutgoingCall& call) { return mixBits(call.path.service ^ call.path.kind); }

void applyWork(OutgoingCall& call, const CallerRequest& request, const WorkEntry& work, absl::Time now)
{
    call.service = request.service.empty() ? work.service : request.service;
    call.kind = work.name;
    call.priority = work.priority;
    call.isRepeatable = work.isRepeatable && !request.asksOnce;
    call.allowance.remaining = work.attempts;
    const absl::Duration asked = request.deadline.value_or(work.deadline);
    call.deadline = now + std::min(asked, work.deadline);
}

void applyCaller(OutgoingCall& call, const CallerEntry& caller)
{
    call.caller = caller.name;
    call.weight = static_cast<std::uint32_t>(std::max(1.0, caller.weight));
    call.callsPerSecond = caller.callsPerSecond;
}

/// A call made by the own target belongs to the request that the target is working on.
absl::Status applyParent(DecisionState& decisions, OutgoingCall& call)
{
    const auto found = decisions.inbound.find(call.parent);
    if (found == decisions.inbound.end())
        return absl::CancelledError("the request that this call belongs to has ended");
    InboundCall& parent = found->second;
    call.caller = parent.caller;
    call.priority = parent.priority;
    call.rank = parent.rank;
    call.weight = parent.weight;
    call.depth = parent.depth + 1;
    call.callsPerSecond = 0;
    call.deadline = std::min(call.deadline, parent.deadline);
    call.allowance.remaining = lendAllowance(parent.allowance);
    if (call.requestId.empty())
        call.requestId = absl::StrCat(parent.requestId, "/", ++parent.childCount);
    return absl::OkStatus();
}

void nameRequest(DecisionState& decisions, OutgoingCall& call, absl::Time now)
{
    if (call.requestId.empty())
        call.requestId = makeRequestId(now, decisions.generator());
}

std::string contextHeader(const OutgoingCall& call, std::uint32_t lent)
{
    wire::CallContext context;
    context.set_caller(call.caller);
    context.set_kind(call.kind);
    context.set_request_id(call.requestId);
    context.set_priority(static_cast<std::uint32_t>(call.priority));
    context.set_rank(call.rank);
    context.set_weight(call.weight);
    context.set_allowance(lent);
    const std::int64_t left = absl::ToInt64Milliseconds(call.deadline - absl::Now());
    context.set_deadline_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(1, left)));
    context.set_repeatable(call.isRepeatable);
    context.set_depth(call.depth);
    return encodeHeader(context);
}

AttemptEnd endWithoutAnswer(ExchangeEnd end)
{
    switch (end) {
    case ExchangeEnd::NotSent:
        return { Outcome::NotRun, Reason::Unreachable };
    case ExchangeEnd::TimedOut:
        return { Outcome::Unknown, Reason::Timeout };
    case ExchangeEnd::Cancelled:
        return { Outcome::Unknown, Reason::Cancelled };
    case ExchangeEnd::Truncated:
        return { Outcome::Unknown, Reason::Truncated };
    default:
        return { Outcome::Unknown, Reason::ConnectionLost };
    }
}

/// Reads what the target's node says; an answer without an outcome comes from something else.
AttemptEnd endOfAnswer(const Exchange& exchange, const wire::Feedback& feedback)
{
    const auto outcome = outcomeFromText(findHeader(exchange.headers(), kOutcomeHeader));
    if (!outcome)
        return { Outcome::Unknown, Reason::ConnectionLost };
    const auto reason = reasonFromText(findHeader(exchange.headers(), kReasonHeader));
    const bool isRetriedStatus = exchange.status() != 500 && exchange.status() != 501;
    return { *outcome, reason.value_or(Reason::None), isRetriedStatus && !feedback.failed_deeper() };
}

bool isTargetAtFault(const AttemptEnd& end)
{
    return end.reason == Reason::Unreachable || end.reason == Reason::ConnectionLost
        || end.reason == Reason::Leaving || end.reason == Reason::TargetShed;
}

void learnFromFeedback(
    DecisionState& decisions, OutgoingCall& call, const Attempt& attempt, const wire::Feedback& feedback)
{
    returnAllowance(call.allowance, attempt.lent, feedback.unspent());
    notePathLevel(decisions.routing, call.path, feedback.admit_fraction(), absl::Now());
    const auto parent = decisions.inbound.find(call.parent);
    if (parent != decisions.inbound.end())
        parent->second.pathFraction = std::min(parent->second.pathFraction, feedback.admit_fraction());
}

bool isGoodSoFar(const Attempt& attempt)
{
    return attempt.exchange->hasHead() && attempt.exchange->status() < 500;
}

/// Ends the copy that lost. Its allowance is gone, since it may still be spending it.
void dropLoser(NodeState& node, Attempt& loser)
{
    loser.exchange->cancel(ExchangeEnd::Cancelled);
    const absl::Time now = absl::Now();
    const absl::MutexLock lock(&node.mutex);
    // It was at least this slow.
    noteEnd(node.decisions.routing, loser.address, { true, false, now - loser.startedAt, 0 }, now);
}

absl::Duration delayBeforeHedge(NodeState& node, const OutgoingCall& call, const AttemptBody& body)
{
    if (!call.isRepeatable || body.isStreamed)
        return absl::InfiniteDuration();
    const absl::MutexLock lock(&node.mutex);
    return hedgeDelay(node.decisions.hedging, hedgeKey(call));
}

bool takeHedgeFor(NodeState& node, OutgoingCall& call)
{
    const absl::MutexLock lock(&node.mutex);
    return takeHedge(node.decisions.hedging, call.allowance);
}

/// Waits for the better of two copies and ends the other.
Attempt chooseCopy(NodeState& node, const OutgoingCall& call, Attempt first, Attempt second)
{
    first.exchange->awaitEither(second.exchange.get(), call.deadline);
    const bool takesFirst = isGoodSoFar(first) || !isGoodSoFar(second);
    if (takesFirst && !isGoodSoFar(first) && second.exchange->end() == ExchangeEnd::Running) {
        // The first failed: the second is what is left.
        dropLoser(node, first);
        second.exchange->awaitHead();
        return second;
    }
    dropLoser(node, takesFirst ? second : first);
    return takesFirst ? std::move(first) : std::move(second);
}

} // namespace

absl::StatusOr<OutgoingCall> resolveCall(NodeState& node, const CallerRequest& request, absl::Time now)
{
    const std::shared_ptr<const Catalogue> catalogue = node.catalogue();
    OutgoingCall call;
    call.start = now;
    call.requestId = request.requestId;
    call.parent = request.parent;
    const absl::string_view kind = request.kind.empty() ? kDefaultName : absl::string_view(request.kind);
    applyWork(call, request, findWork(*catalogue, kind), now);
    const absl::string_view caller = request.caller.empty() ? kDefaultName : absl::string_view(request.caller);
    applyCaller(call, findCaller(*catalogue, caller));
    if (call.service.empty())
        return absl::InvalidArgumentError("no service is given and the kind of work names none");
    const absl::MutexLock lock(&node.mutex);
    if (!call.parent.empty()) {
        const absl::Status status = applyParent(node.decisions, call);
        if (!status.ok())
            return status;
    }
    nameRequest(node.decisions, call, now);
    if (call.parent.empty())
        call.rank = requestRank(call.requestId);
    call.path = { stableHash(call.service), stableHash(call.kind), stableHash(call.caller) };
    return call;
}

Reason refuseEarly(NodeState& node, const OutgoingCall& call, absl::Time now)
{
    const absl::MutexLock lock(&node.mutex);
    if (!takeCall(node.decisions.callerLimits, call.path.caller, call.callsPerSecond, now))
        return Reason::CallerLimit;
    if (call.rank >= pathLevel(node.decisions.routing, call.path, now))
        return Reason::Overload;
    noteFirstAttempt(node.decisions.retries, {});
    return Reason::None;
}

std::string pickAddress(NodeState& node, const OutgoingCall& call, const std::vector<std::string>& tried)
{
    const absl::MutexLock lock(&node.mutex);
    DecisionState& decisions = node.decisions;
    const std::vector<Candidate>& candidates = candidatesFor(decisions, node.settings, call.service);
    const int index = pickTarget(decisions.routing, candidates, tried, decisions.generator, absl::Now());
    return index < 0 ? "" : candidates[static_cast<std::size_t>(index)].address;
}

Attempt startAttempt(
    NodeState& node, OutgoingCall& call, const std::string& address, const AttemptBody& body)
{
    Attempt attempt;
    attempt.address = address;
    attempt.startedAt = absl::Now();
    {
        const absl::MutexLock lock(&node.mutex);
        attempt.lent = lendAllowance(call.allowance);
        noteSent(node.decisions.routing, address);
    }
    attempt.exchange = node.pool.borrow(address);
    ExchangeRequest request;
    request.method = body.head.method;
    request.url = absl::StrCat("http://", address, body.head.target);
    request.headers = forwardedHeaders(body.head.headers);
    request.headers.push_back({ kContextHeader, contextHeader(call, attempt.lent) });
    request.body = body.body;
    request.isStreamed = body.isStreamed;
    request.streamBytes = body.head.bodyBytes;
    request.waitsForContinue = body.isStreamed;
    request.deadline = call.deadline;
    request.needsFreshConnection
        = !call.isRepeatable && attempt.startedAt - attempt.exchange->lastUsed() > kTrustedIdle;
    request.watchedSocket = body.head.socket;
    attempt.exchange->start(request);
    return attempt;
}

Attempt awaitAttempt(NodeState& node, OutgoingCall& call, Attempt attempt, const AttemptBody& body,
    std::vector<std::string>& tried)
{
    const absl::Duration delay = delayBeforeHedge(node, call, body);
    if (delay == absl::InfiniteDuration()) {
        attempt.exchange->awaitHead();
        return attempt;
    }
    attempt.exchange->awaitEither(nullptr, attempt.startedAt + delay);
    if (attempt.exchange->hasHead() || attempt.exchange->end() != ExchangeEnd::Running)
        return attempt;
    const std::string address = pickAddress(node, call, tried);
    if (address.empty() || !takeHedgeFor(node, call)) {
        attempt.exchange->awaitHead();
        return attempt;
    }
    node.metrics.countHedge();
    tried.push_back(address);
    Attempt hedge = startAttempt(node, call, address, body);
    return chooseCopy(node, call, std::move(attempt), std::move(hedge));
}

AttemptEnd concludeAttempt(NodeState& node, OutgoingCall& call, Attempt& attempt)
{
    Exchange& exchange = *attempt.exchange;
    const bool isSmall = exchange.answerBytes() <= static_cast<std::int64_t>(kAnswerBufferBytes);
    if (exchange.hasHead() && exchange.answerBytes() >= 0 && isSmall)
        exchange.awaitWhole();
    const bool isAnswered
        = exchange.hasHead() && (exchange.end() == ExchangeEnd::Running || exchange.end() == ExchangeEnd::Complete);
    wire::Feedback feedback;
    const bool hasFeedback
        = isAnswered && decodeHeader(findHeader(exchange.headers(), kFeedbackHeader), feedback);
    const AttemptEnd end = isAnswered ? endOfAnswer(exchange, feedback) : endWithoutAnswer(exchange.end());
    if (end.reason == Reason::ConnectionLost)
        node.pool.dropIdle(attempt.address);
    const absl::Time now = absl::Now();
    const absl::MutexLock lock(&node.mutex);
    const bool isRun = isAnswered && end.outcome != Outcome::NotRun;
    const AttemptSeen seen { isRun, isTargetAtFault(end), now - attempt.startedAt, feedback.waiting() };
    noteEnd(node.decisions.routing, attempt.address, seen, now);
    if (hasFeedback)
        learnFromFeedback(node.decisions, call, attempt, feedback);
    if (end.outcome == Outcome::Ok)
        noteAnswer(node.decisions.hedging, hedgeKey(call), now - attempt.startedAt);
    return end;
}

bool takeAnotherAttempt(NodeState& node, OutgoingCall& call, const AttemptEnd& end, absl::Time now)
{
    if (!isRetryUseful(end, call.isRepeatable) || now >= call.deadline)
        return false;
    const absl::MutexLock lock(&node.mutex);
    if (call.allowance.remaining == 0 || !takeRetry(node.decisions.retries))
        return false;
    node.metrics.countRetry();
    return spendAttempt(call.allowance);
}

void closeCall(NodeState& node, const OutgoingCall& call, const AttemptEnd& end)
{
    if (call.parent.empty())
        return;
    const absl::MutexLock lock(&node.mutex);
    const auto parent = node.decisions.inbound.find(call.parent);
    if (parent == node.decisions.inbound.end())
        return;
    parent->second.allowance.remaining += call.allowance.remaining;
    parent->second.hasChildFailed = parent->second.hasChildFailed || end.outcome != Outcome::Ok;
}

} // namespace jackdawwall
