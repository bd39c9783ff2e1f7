#include "node/caller-side.h"

#include "node/call-wire.h"
#include "node/claim-store.h"
#include "node/outgoing-call.h"

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
        return CallFailure { Outcome::NotRun, Reason::BadRequest,
            "Jackdaw-Request-Id of unrepeatable work must be t<unix seconds>-<unique>, not older than an hour" };
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
        absl::StatusOr<CallerRequest> request = readCallerRequest(head_);
        if (!request.ok())
            return std::make_unique<HttpReply>(failureReply(failureOf(request.status())));
        absl::StatusOr<OutgoingCall> call = resolveCall(node_, *request, now);
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
    std::optional<CallFailure> refuse(absl::Time now)
    {
        const Reason reason = refuseEarly(node_, *call_, now);
        if (reason != Reason::None)
            return CallFailure { Outcome::NotRun, reason, "" };
        if (call_->isRepeatable)
            return std::nullopt;
        const std::string holder = absl::StrCat(node_.peerAddress, "/", absl::ToUnixNanos(now), "/",
            reinterpret_cast<std::uintptr_t>(this));
        claim_ = claimRequest(node_.platform, call_->requestId, holder, now);
        return failureOf(claim_.end);
    }

    AttemptBody attemptBody() const { return { head_, body_, isStreamed_ }; }

    /// Finds a target that is ready for a large body before any of it is read.
    std::unique_ptr<HttpReply> beginStream()
    {
        while (true) {
            const std::string address = pickAddress(node_, *call_, tried_);
            if (address.empty())
                return std::make_unique<HttpReply>(failNoTarget());
            tried_.push_back(address);
            Attempt attempt = startAttempt(node_, *call_, address, attemptBody());
            if (attempt.exchange->awaitContinue()) {
                attempt_ = std::move(attempt);
                return nullptr;
            }
            const AttemptEnd end = concludeAttempt(node_, *call_, attempt);
            worst_ = worse(worst_, end);
            if (!takeAnotherAttempt(node_, *call_, end, absl::Now()))
                return std::make_unique<HttpReply>(conclude(attempt, end));
        }
    }

    HttpReply tryTargets()
    {
        while (true) {
            const std::string address = pickAddress(node_, *call_, tried_);
            if (address.empty())
                return failNoTarget();
            tried_.push_back(address);
            Attempt attempt = startAttempt(node_, *call_, address, attemptBody());
            attempt = awaitAttempt(node_, *call_, std::move(attempt), attemptBody(), tried_);
            const AttemptEnd end = concludeAttempt(node_, *call_, attempt);
            if (end.outcome == Outcome::Ok || !takeAnotherAttempt(node_, *call_, end, absl::Now()))
                return conclude(attempt, end);
            worst_ = worse(worst_, end);
            logEvent(LogLevel::Debug, "call-retried",
                { { "request", call_->requestId }, { "target", address }, { "reason", toText(end.reason) } });
        }
    }

    /// The stronger doubt of two attempts: once one may have run, the call may have run.
    static AttemptEnd worse(const AttemptEnd& left, const AttemptEnd& right)
    {
        return static_cast<int>(right.outcome) >= static_cast<int>(left.outcome) ? right : left;
    }

    HttpReply failNoTarget()
    {
        if (worst_.outcome != Outcome::Ok)
            return fail({ worst_.outcome, worst_.reason, "" });
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
        closeCall(node_, *call_, end);
        const absl::Duration time = absl::Now() - call_->start;
        node_.metrics.countCall({ call_->priority, end.outcome, end.reason }, time);
        if (end.outcome != Outcome::Ok)
            logEvent(LogLevel::Debug, "call-failed",
                { { "request", call_->requestId }, { "caller", call_->caller }, { "kind", call_->kind },
                    { "outcome", toText(end.outcome) }, { "reason", toText(end.reason) } });
        call_.reset();
    }

    HttpReply conclude(Attempt& attempt, const AttemptEnd& end)
    {
        const Exchange& exchange = *attempt.exchange;
        const bool isAnswered = exchange.hasHead()
            && (exchange.end() == ExchangeEnd::Running || exchange.end() == ExchangeEnd::Complete);
        const bool isFromTarget = end.outcome == Outcome::Ok || end.outcome == Outcome::Failed;
        if (!isAnswered || !isFromTarget) {
            const AttemptEnd final = worse(worst_, end);
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
            node_.pool.giveBack(attempt.address, std::move(attempt.exchange));
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
    std::optional<OutgoingCall> call_;
    Claim claim_;
    bool isStreamed_ = false;
    std::string body_;
    std::vector<std::string> tried_;
    std::optional<Attempt> attempt_;
    AttemptEnd worst_;
};

} // namespace

HttpServer::Opener callerSide(NodeState& node)
{
    return [&node](HttpHead head) { return std::make_unique<CallerSession>(node, std::move(head)); };
}

} // namespace jackdawwall
