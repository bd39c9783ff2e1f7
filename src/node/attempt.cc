#include "node/attempt.h"

#include "node/call-wire.h"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace jackdawwall {
namespace {

/// An unrepeatable call goes only on a connection that was in use this recently: a connection can go silent
/// while it is idle, and then nobody could tell whether the work ran.
constexpr absl::Duration kTrustedIdle = absl::Milliseconds(100);

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
AttemptEnd endOfAnswer(const Exchange& exchange, bool hasFailedDeeper)
{
    const auto outcome = outcomeFromText(findHeader(exchange.headers(), kOutcomeHeader));
    if (!outcome)
        return { Outcome::Unknown, Reason::ConnectionLost };
    const auto reason = reasonFromText(findHeader(exchange.headers(), kReasonHeader));
    const bool isRetriedStatus = exchange.status() != 500 && exchange.status() != 501;
    return { *outcome, reason.value_or(Reason::None), isRetriedStatus && !hasFailedDeeper };
}

bool isGoodSoFar(const Attempt& attempt)
{
    return attempt.exchange->hasHead() && attempt.exchange->status() < 500;
}

void dropLoser(NodeState& node, Attempt& loser)
{
    loser.exchange->cancel(ExchangeEnd::Cancelled);
    const absl::MutexLock lock(&node.mutex);
    noteLoser(node.decisions, loser.sending, absl::Now());
}

/// Waits for the better of two copies and ends the other.
Attempt chooseCopy(NodeState& node, const OutboundCall& call, Attempt first, Attempt second)
{
    first.exchange->awaitEither(second.exchange.get(), call.context.deadline);
    if (isGoodSoFar(first) || !isGoodSoFar(second)) {
        const bool isSecondLeft = !isGoodSoFar(first) && second.exchange->end() == ExchangeEnd::Running;
        Attempt& kept = isSecondLeft ? second : first;
        dropLoser(node, isSecondLeft ? first : second);
        kept.exchange->awaitHead();
        return std::move(kept);
    }
    dropLoser(node, first);
    return second;
}

std::optional<Sending> takeHedgeSending(NodeState& node, OutboundCall& call)
{
    const absl::MutexLock lock(&node.mutex);
    return sendHedge(node.decisions, call, absl::Now());
}

absl::Duration delayBeforeHedge(NodeState& node, const OutboundCall& call, const AttemptBody& body)
{
    if (body.isStreamed)
        return absl::InfiniteDuration();
    const absl::MutexLock lock(&node.mutex);
    return hedgeAfter(node.decisions, call);
}

} // namespace

bool isAnswered(const Exchange& exchange)
{
    return exchange.hasHead()
        && (exchange.end() == ExchangeEnd::Running || exchange.end() == ExchangeEnd::Complete);
}

Attempt startAttempt(NodeState& node, const OutboundCall& call, Sending sending, const AttemptBody& body)
{
    Attempt attempt { std::move(sending), nullptr };
    attempt.exchange = node.pool.borrow(attempt.sending.address);
    ExchangeRequest request;
    request.method = body.head.method;
    request.url = absl::StrCat("http://", attempt.sending.address, body.head.target);
    request.headers = forwardedHeaders(body.head.headers);
    request.headers.push_back({ kContextHeader, encodeContext(call.context, attempt.sending.at) });
    request.body = body.body;
    request.isStreamed = body.isStreamed;
    request.streamBytes = body.head.bodyBytes;
    request.waitsForContinue = body.isStreamed;
    request.deadline = call.context.deadline;
    request.needsFreshConnection
        = !call.context.isRepeatable && attempt.sending.at - attempt.exchange->lastUsed() > kTrustedIdle;
    request.watchedSocket = body.head.socket;
    attempt.exchange->start(request);
    return attempt;
}

Attempt awaitAnswer(NodeState& node, OutboundCall& call, Attempt attempt, const AttemptBody& body)
{
    const absl::Duration delay = delayBeforeHedge(node, call, body);
    if (delay == absl::InfiniteDuration()) {
        attempt.exchange->awaitHead();
        return attempt;
    }
    attempt.exchange->awaitEither(nullptr, attempt.sending.at + delay);
    const bool isSettled = attempt.exchange->hasHead() || attempt.exchange->end() != ExchangeEnd::Running;
    std::optional<Sending> hedge = isSettled ? std::nullopt : takeHedgeSending(node, call);
    if (!hedge) {
        attempt.exchange->awaitHead();
        return attempt;
    }
    node.metrics.countHedge();
    Attempt second = startAttempt(node, call, *std::move(hedge), body);
    return chooseCopy(node, call, std::move(attempt), std::move(second));
}

AttemptEnd concludeAttempt(NodeState& node, OutboundCall& call, Attempt& attempt)
{
    Exchange& exchange = *attempt.exchange;
    if (exchange.hasHead() && exchange.answerBytes() >= 0 && exchange.answerBytes() <= kSmallAnswerBytes)
        exchange.awaitWhole();
    AttemptReport report;
    report.isAnswered = isAnswered(exchange);
    if (report.isAnswered)
        report.feedback = decodeFeedback(findHeader(exchange.headers(), kFeedbackHeader));
    const bool hasFailedDeeper = report.feedback && report.feedback->hasFailedDeeper;
    report.end
        = report.isAnswered ? endOfAnswer(exchange, hasFailedDeeper) : endWithoutAnswer(exchange.end());
    if (report.end.reason == Reason::ConnectionLost)
        node.pool.dropIdle(attempt.sending.address);
    const absl::MutexLock lock(&node.mutex);
    noteReport(node.decisions, call, attempt.sending, report, absl::Now());
    return report.end;
}

} // namespace jackdawwall
