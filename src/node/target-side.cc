#include "node/target-side.h"

#include "node/call-wire.h"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace jackdawwall {
namespace {

constexpr int kWaitPollMs = 1000;

/// A call in the own target; gives its place to the next one when it ends.
class RunningCallGuard {
public:
    RunningCallGuard(NodeState& node, CallId id, CallToken token)
        : node_(node)
        , id_(id)
        , token_(token)
    {
    }
    ~RunningCallGuard()
    {
        const absl::MutexLock lock(&node_.mutex);
        const absl::Time now = absl::Now();
        const absl::Duration elsewhere = closeInbound(node_.decisions, token_, now);
        wakeReleased(node_.waiters, finishCall(node_.decisions.admission, id_, end_, elsewhere, now));
    }
    RunningCallGuard(const RunningCallGuard&) = delete;
    RunningCallGuard& operator=(const RunningCallGuard&) = delete;

    void setEnd(RunEnd end) { end_ = end; }
    CallToken token() const { return token_; }

private:
    NodeState& node_;
    CallId id_;
    CallToken token_;
    RunEnd end_ = RunEnd::Lost;
};

bool isSocketClosed(int socket)
{
    char byte = 0;
    return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/// Waits until the call is decided or its caller goes away; true when decided.
bool awaitDecision(const Waiter& waiter, int callerSocket)
{
    std::array<pollfd, 2> watched { { { waiter.eventFd, POLLIN, 0 }, { callerSocket, POLLRDHUP, 0 } } };
    while (true) {
        const int ready = poll(watched.data(), watched.size(), kWaitPollMs);
        if (ready > 0 && watched[0].revents != 0)
            return true;
        if (ready > 0 && (watched[1].revents != 0 || isSocketClosed(callerSocket)))
            return false;
    }
}

class TargetSession : public HttpSession {
public:
    TargetSession(NodeState& node, HttpHead head)
        : node_(node)
        , head_(std::move(head))
    {
    }

    std::unique_ptr<HttpReply> begin() override
    {
        std::optional<CallContext> context
            = decodeContext(findHeader(head_.headers, kContextHeader), absl::Now());
        if (!context)
            return std::make_unique<HttpReply>(
                failureReply({ Outcome::NotRun, Reason::BadRequest, "no Jackdaw-Context" }));
        context_ = *std::move(context);
        isStreamed_ = head_.bodyBytes < 0 || head_.bodyBytes > kHeldBodyBytes;
        if (!isStreamed_)
            return nullptr;
        std::unique_ptr<HttpReply> refusal = admit();
        if (refusal)
            return refusal;
        exchange_ = node_.pool.borrow(node_.settings.targetAddress);
        exchange_->start(targetRequest());
        return nullptr;
    }

    void body(absl::Span<const char> part) override
    {
        if (isStreamed_)
            exchange_->sendBody(part);
        else
            body_.append(part.data(), part.size());
    }

    HttpReply finish() override
    {
        if (isStreamed_) {
            exchange_->endBody();
            return answer();
        }
        std::unique_ptr<HttpReply> refusal = admit();
        if (refusal)
            return std::move(*refusal);
        exchange_ = node_.pool.borrow(node_.settings.targetAddress);
        exchange_->start(targetRequest());
        return answer();
    }

private:
    std::uint64_t bodyBytes() const
    {
        return static_cast<std::uint64_t>(head_.bodyBytes < 0 ? kHeldBodyBytes + 1 : head_.bodyBytes);
    }

    /// Offers the call; waits if need be. Null when the call may run.
    std::unique_ptr<HttpReply> admit()
    {
        CallId id = 0;
        const Reason reason = offerAndWait(id);
        const Outcome outcome = reason == Reason::None ? Outcome::Ok : Outcome::NotRun;
        node_.metrics.countOffer({ context_.priority, outcome, reason });
        if (reason != Reason::None) {
            logEvent(LogLevel::Debug, "offer-refused",
                { { "request", context_.requestId }, { "reason", toText(reason) } });
            return std::make_unique<HttpReply>(withFeedback(failureReply({ outcome, reason, "" })));
        }
        start(id);
        return nullptr;
    }

    Reason offerAndWait(CallId& id)
    {
        auto waiter = std::make_shared<Waiter>();
        {
            const absl::MutexLock lock(&node_.mutex);
            AdmissionState& admission = node_.decisions.admission;
            id = ++node_.lastCallId;
            const Decision decision = offerCall(admission, toOffer(context_, id, bodyBytes()), absl::Now());
            if (decision.verdict != Verdict::Wait)
                return decision.reason;
            waiter->eventFd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
            if (waiter->eventFd < 0) {
                withdrawCall(admission, id);
                return Reason::Overload;
            }
            node_.waiters.emplace(id, waiter);
        }
        const bool isDecided = awaitDecision(*waiter, head_.socket);
        const absl::MutexLock lock(&node_.mutex);
        node_.waiters.erase(id);
        close(waiter->eventFd);
        if (!isDecided && withdrawCall(node_.decisions.admission, id))
            return Reason::Cancelled;
        return waiter->reason;
    }

    void start(CallId id)
    {
        const absl::MutexLock lock(&node_.mutex);
        const CallToken token = openInbound(node_.decisions, context_);
        running_ = std::make_shared<RunningCallGuard>(node_, id, token);
    }

    ExchangeRequest targetRequest() const
    {
        ExchangeRequest request;
        request.method = head_.method;
        request.url = absl::StrCat("http://", node_.settings.targetAddress, head_.target);
        request.headers = forwardedHeaders(head_.headers);
        const std::int64_t left = absl::ToInt64Milliseconds(context_.deadline - absl::Now());
        request.headers.push_back({ kRequestIdHeader, context_.requestId });
        request.headers.push_back({ kCallerHeader, context_.caller });
        request.headers.push_back({ kKindHeader, context_.kind });
        request.headers.push_back({ kDeadlineHeader, absl::StrCat(std::max<std::int64_t>(1, left)) });
        request.headers.push_back({ kParentHeader, encodeToken(running_->token()) });
        request.headers.push_back({ kNodeHeader, node_.callerAddress });
        request.body = body_;
        request.isStreamed = isStreamed_;
        request.streamBytes = head_.bodyBytes;
        request.deadline = context_.deadline;
        request.watchedSocket = head_.socket;
        return request;
    }

    HttpReply answer()
    {
        const bool hasHead = exchange_->awaitHead();
        const bool isSmall = exchange_->answerBytes() <= static_cast<std::int64_t>(kAnswerBufferBytes);
        if (hasHead && exchange_->answerBytes() >= 0 && isSmall)
            exchange_->awaitWhole();
        const ExchangeEnd end = exchange_->end();
        if (!hasHead || (end != ExchangeEnd::Running && end != ExchangeEnd::Complete))
            return lostAnswer(end);
        return passOn();
    }

    HttpReply lostAnswer(ExchangeEnd end)
    {
        if (end == ExchangeEnd::Lost)
            node_.pool.dropIdle(node_.settings.targetAddress);
        CallFailure failure { Outcome::Unknown, Reason::ConnectionLost, "" };
        if (end == ExchangeEnd::NotSent)
            failure = { Outcome::NotRun, Reason::Unreachable, "the target can't be reached" };
        if (end == ExchangeEnd::TimedOut)
            failure.reason = Reason::Timeout;
        if (end == ExchangeEnd::Cancelled)
            failure.reason = Reason::Cancelled;
        if (end == ExchangeEnd::Truncated)
            failure = { Outcome::Unknown, Reason::Truncated, "the target's answer broke off" };
        logEvent(LogLevel::Warning, "target-answer-lost",
            { { "request", context_.requestId }, { "reason", toText(failure.reason) } });
        HttpReply reply = withFeedback(failureReply(failure));
        running_.reset();
        return reply;
    }

    /// Outcome that the target's answer stands for.
    CallFailure meaning() const
    {
        const int status = exchange_->status();
        const auto stated = outcomeFromText(findHeader(exchange_->headers(), kOutcomeHeader));
        if (stated == Outcome::NotRun)
            return { Outcome::NotRun, Reason::TargetShed, "" };
        if (status >= 500)
            return { Outcome::Failed, Reason::TargetFailed, "" };
        return { Outcome::Ok, Reason::None, "" };
    }

    HttpReply passOn()
    {
        const CallFailure result = meaning();
        running_->setEnd(result.reason == Reason::TargetShed ? RunEnd::RefusedByTarget : RunEnd::Completed);
        HttpReply reply;
        reply.status = exchange_->status();
        reply.headers = forwardedHeaders(exchange_->headers());
        reply.headers.push_back({ kOutcomeHeader, std::string(toText(result.outcome)) });
        if (result.reason != Reason::None)
            reply.headers.push_back({ kReasonHeader, std::string(toText(result.reason)) });
        reply = withFeedback(std::move(reply));
        if (exchange_->end() == ExchangeEnd::Complete)
            passOnWhole(reply);
        else
            passOnStream(reply);
        return reply;
    }

    void passOnWhole(HttpReply& reply)
    {
        reply.body = std::move(exchange_->buffered());
        node_.pool.giveBack(node_.settings.targetAddress, std::move(exchange_));
        running_.reset();
    }

    void passOnStream(HttpReply& reply)
    {
        reply.streamBytes = exchange_->answerBytes();
        std::shared_ptr<Exchange> exchange = std::move(exchange_);
        std::shared_ptr<RunningCallGuard> running = std::move(running_);
        reply.stream = [exchange, running](absl::Span<char> part) -> std::ptrdiff_t {
            const std::size_t bytes = exchange->read(part);
            if (bytes > 0)
                return static_cast<std::ptrdiff_t>(bytes);
            const bool isWhole = exchange->end() == ExchangeEnd::Complete;
            if (!isWhole)
                running->setEnd(RunEnd::Lost);
            return isWhole ? 0 : -1;
        };
    }

    HttpReply withFeedback(HttpReply reply)
    {
        const absl::MutexLock lock(&node_.mutex);
        const CallToken token = running_ ? running_->token() : 0;
        reply.headers.push_back(
            { kFeedbackHeader, encodeFeedback(feedbackFor(node_.decisions, context_, token)) });
        return reply;
    }

    NodeState& node_;
    HttpHead head_;
    CallContext context_;
    bool isStreamed_ = false;
    std::string body_;
    std::unique_ptr<Exchange> exchange_;
    std::shared_ptr<RunningCallGuard> running_;
};

} // namespace

HttpServer::Opener targetSide(NodeState& node)
{
    return [&node](HttpHead head) { return std::make_unique<TargetSession>(node, std::move(head)); };
}

} // namespace jackdawwall
