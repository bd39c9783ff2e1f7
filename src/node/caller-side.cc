#include "node/caller-side.h"

#include "node/attempt.h"
#include "node/call-wire.h"
#include "node/claim-store.h"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <optional>

namespace jackdawwall {
namespace {

CallFailure failureOf(const absl::Status& status)
{
    if (absl::IsCancelled(status))
        return { Outcome::NotRun, Reason::Cancelled, std::string(status.message()) };
    return { Outcome::NotRun, Reason::BadRequest, std::string(status.message()) };
}

std::optional<CallFailure> failureOf(ClaimEnd end)
{
    switch (end) {
    case ClaimEnd::Claimed:
        return std::nullopt;
    case ClaimEnd::Duplicate:
        return CallFailure { Outcome::Unknown, Reason::Duplicate, "this request id was used before" };
    case ClaimEnd::Unavailable:
        return CallFailure { Outcome::NotRun, Reason::PlatformUnavailable,
            "the platform can't tell now whether this ran before" };
    case ClaimEnd::BadId:
        return CallFailure {
            Outcome::NotRun, Reason::BadRequest,
            "Jackdaw-Request-Id of unrepeatable work must be t<unix seconds>-<unique>, not older than an hour"
        };
    }
    return std::nullopt;
}

class CallerSession : public HttpSession {
public:
    CallerSession(NodeState& node, HttpHead head)
        : node_(node)
        , head_(std::move(head))
    {
    }

    ~CallerSession() override { abandon(); }

    std::unique_ptr<HttpReply> begin() override
    {
        const absl::Time now = absl::Now();
        const absl::StatusOr<CallAsk> ask = readCallAsk(head_);
        if (!ask.ok())
            return std::make_unique<HttpReply>(failureReply(failureOf(ask.status())));
        absl::StatusOr<OutboundCall> call = open(*ask, now);
        if (!call.ok())
            return std::make_unique<HttpReply>(failureReply(failureOf(call.status())));
        call_ = *std::move(call);
        const std::optional<CallFailure> refusal = refuse(now);
        if (refusal)
            return std::make_unique<HttpReply>(fail(*refusal));
        isStreamed_ = head_.bodyBytes < 0 || head_.bodyBytes > kHeldBodyBytes;
        return isStreamed_ ? beginStream() : nullptr;
    }

    void body(absl::Span<const char> part) override
    {
        if (attempt_)
            attempt_->exchange->sendBody(part);
        else
            body_.append(part.data(), part.size());
    }

    HttpReply finish() override
    {
        if (attempt_) {
            attempt_->exchange->endBody();
            attempt_->exchange->awaitHead();
            Attempt attempt = *std::exchange(attempt_, std::nullopt);
            const AttemptEnd end = concludeAttempt(node_, *call_, attempt);
            return conclude(attempt, end);
        }
        return tryTargets();
    }

private:
    absl::StatusOr<OutboundCall> open(const CallAsk& ask, absl::Time now)
    {
        const std::shared_ptr<const Catalogue> catalogue = node_.catalogue();
        const absl::MutexLock lock(&node_.mutex);
        return openCall(node_.decisions, *catalogue, ask, now);
    }

    Reason refusalReason(absl::Time now)
    {
        const absl::MutexLock lock(&node_.mutex);
        return refuseEarly(node_.decisions, *call_, now);
    }

    std::optional<CallFailure> refuse(absl::Time now)
    {
        const Reason reason = refusalReason(now);
        if (reason != Reason::None)
            return CallFailure { Outcome::NotRun, reason, "" };
        if (call_->context.isRepeatable)
            return std::nullopt;
        const std::string holder = absl::StrCat(
            node_.peerAddress, "/", absl::ToUnixNanos(now), "/", reinterpret_cast<std::uintptr_t>(this));
        claim_ = claimRequest(node_.platform, call_->context.requestId, holder, now);
        return failureOf(claim_.end);
    }

    AttemptBody attemptBody() const { return { head_, body_, isStreamed_ }; }

    /// Sends the next attempt; empty when no target is left.
    std::optional<Attempt> sendAttempt()
    {
        std::optional<Sending> sending;
        {
            const absl::MutexLock lock(&node_.mutex);
            sending = sendNext(node_.decisions, *call_, absl::Now());
        }
        if (!sending)
            return std::nullopt;
        return startAttempt(node_, *call_, *std::move(sending), attemptBody());
    }

    bool takeRetryFor(const AttemptEnd& end)
    {
        const absl::MutexLock lock(&node_.mutex);
        const bool mayGoOn = mayRetry(node_.decisions, *call_, end, absl::Now());
        if (mayGoOn)
            node_.metrics.countRetry();
        return mayGoOn;
    }

    /// Finds a target that is ready for a large body before any of it is read.
    std::unique_ptr<HttpReply> beginStream()
    {
        while (std::optional<Attempt> attempt = sendAttempt()) {
            if (attempt->exchange->awaitContinue()) {
                attempt_ = std::move(attempt);
                return nullptr;
            }
            const AttemptEnd end = concludeAttempt(node_, *call_, *attempt);
            if (!takeRetryFor(end))
                return std::make_unique<HttpReply>(conclude(*attempt, end));
        }
        return std::make_unique<HttpReply>(failNoTarget());
    }

    HttpReply tryTargets()
    {
        while (std::optional<Attempt> sent = sendAttempt()) {
            Attempt attempt = awaitAnswer(node_, *call_, *std::move(sent), attemptBody());
            const AttemptEnd end = concludeAttempt(node_, *call_, attempt);
            if (end.outcome == Outcome::Ok || !takeRetryFor(end))
                return conclude(attempt, end);
            logEvent(LogLevel::Debug, "call-retried",
                { { "request", call_->context.requestId }, { "target", attempt.sending.address },
                    { "reason", toText(end.reason) } });
        }
        return failNoTarget();
    }

    HttpReply failNoTarget()
    {
        if (call_->worst.outcome != Outcome::Ok)
            return fail({ call_->worst.outcome, call_->worst.reason, "" });
        return fail({ Outcome::NotRun, Reason::NoTarget, "no target of this service is known" });
    }

    HttpReply fail(const CallFailure& failure)
    {
        if (failure.outcome == Outcome::NotRun)
            releaseClaim(node_.platform, claim_);
        close({ failure.outcome, failure.reason });
        return failureReply(failure);
    }

    void close(const AttemptEnd& end)
    {
        {
            const absl::MutexLock lock(&node_.mutex);
            closeCall(node_.decisions, *call_, end, absl::Now());
        }
        const absl::Duration time = absl::Now() - call_->start;
        node_.metrics.countCall({ call_->context.priority, end.outcome, end.reason }, time);
        if (end.outcome != Outcome::Ok)
            logEvent(LogLevel::Debug, "call-failed",
                { { "request", call_->context.requestId }, { "caller", call_->context.caller },
                    { "kind", call_->context.kind }, { "outcome", toText(end.outcome) },
                    { "reason", toText(end.reason) } });
        call_.reset();
    }

    HttpReply conclude(Attempt& attempt, const AttemptEnd& end)
    {
        const bool isFromTarget = end.outcome == Outcome::Ok || end.outcome == Outcome::Failed;
        if (!isAnswered(*attempt.exchange) || !isFromTarget) {
            const AttemptEnd final = finalEnd(*call_, end);
            return fail({ final.outcome, final.reason, "" });
        }
        close(end);
        return passOn(attempt, end);
    }

    HttpReply passOn(Attempt& attempt, const AttemptEnd& end)
    {
        HttpReply reply;
        reply.status = attempt.exchange->status();
        reply.headers = forwardedHeaders(attempt.exchange->headers());
        reply.headers.push_back({ kOutcomeHeader, std::string(toText(end.outcome)) });
        if (end.reason != Reason::None)
            reply.headers.push_back({ kReasonHeader, std::string(toText(end.reason)) });
        if (attempt.exchange->end() == ExchangeEnd::Complete) {
            reply.body = std::move(attempt.exchange->buffered());
            node_.pool.giveBack(attempt.sending.address, std::move(attempt.exchange));
            return reply;
        }
        reply.streamBytes = attempt.exchange->answerBytes();
        std::shared_ptr<Exchange> exchange = std::move(attempt.exchange);
        reply.stream = [exchange](absl::Span<char> part) -> std::ptrdiff_t {
            const std::size_t bytes = exchange->read(part);
            if (bytes > 0)
                return static_cast<std::ptrdiff_t>(bytes);
            return exchange->end() == ExchangeEnd::Complete ? 0 : -1;
        };
        return reply;
    }

    /// The caller went away before the answer.
    void abandon()
    {
        if (!call_)
            return;
        AttemptEnd end { Outcome::NotRun, Reason::Cancelled };
        if (attempt_) {
            attempt_->exchange->cancel(ExchangeEnd::Cancelled);
            end = concludeAttempt(node_, *call_, *attempt_);
        }
        close(end);
    }

    NodeState& node_;
    HttpHead head_;
    std::optional<OutboundCall> call_;
    Claim claim_;
    bool isStreamed_ = false;
    std::string body_;
    std::optional<Attempt> attempt_;
};

} // namespace

HttpServer::Opener callerSide(NodeState& node)
{
    return [&node](HttpHead head) { return std::make_unique<CallerSession>(node, std::move(head)); };
}

} // namespace jackdawwall
