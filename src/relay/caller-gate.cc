#include "relay/caller-gate.h"

#include "relay/hop-wire.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace jackdawwall::relay {
namespace {

/// Refusals by nodes that one request may collect before its caller is told to come back.
constexpr int kMostRefusals = 4;
/// An answer that is on its way at the deadline is still passed on for this long.
constexpr absl::Duration kAnswerGrace = absl::Milliseconds(40);
constexpr absl::Duration kLongestRetryAfter = absl::Milliseconds(1000);
/// Part of the time left that a caller is asked to wait at most; callers keep up to a third.
constexpr double kRetryAfterShare = 0.3;
constexpr absl::Duration kPeerConnectTime = absl::Milliseconds(400);
/// Part of the time before the end of a stopping process that a call may wait for its turn.
constexpr double kStopPatience = 0.33;

} // namespace

/// One request of a caller on its way.
class CallerCall : public std::enable_shared_from_this<CallerCall> {
public:
    CallerCall(RelayState& state, IncomingPtr incoming, const Route& route, absl::Duration callerTime)
        : state_(state)
        , incoming_(std::move(incoming))
        , route_(route)
        , callerTime_(callerTime)
        , deadline_(incoming_->receivedAt + std::min(callerTime, route.timeout))
        , service_(chooseService(state.split, route))
        , timer_(state.loop)
    {
    }

    void start()
    {
        const auto self = shared_from_this();
        incoming_->onAbandoned = [self] { self->abandon(); };
        timer_.expires_after(absl::ToChronoMicroseconds(deadline_ + kAnswerGrace - steadyNow()));
        timer_.async_wait([self](beast::error_code error) {
            if (!error)
                self->onDeadline();
        });
        sendNext();
    }

    /// Breaks off what is under way and answers.
    void onDeadline()
    {
        if (isDone_)
            return;
        if (isSent_)
            mayHaveRun_ = true;
        breakOff();
        finish(mayHaveRun_ ? "unknown" : "not-run", Reason::Timeout,
            makeAnswer(http::status::gateway_timeout, "the time limit has passed\n"));
    }

private:
    GateCall gateCall() const
    {
        GateCall call;
        call.request = incoming_->request;
        call.requestId = std::string(headerOf(call.request, state_.settings.names.requestId));
        call.caller = state_.settings.service;
        call.route = route_.name;
        call.priority = route_.priority;
        call.isRepeatable = route_.isRepeatable;
        call.arrivals = arrivals_;
        call.deadline = deadline_;
        const absl::Time useful = incoming_->receivedAt + route_.goal;
        const absl::Time now = steadyNow();
        call.goal
            = std::max(absl::ZeroDuration(), std::min(useful - now, (state_.stopsAt - now) * kStopPatience));
        return call;
    }

    void sendNext()
    {
        const absl::Time now = steadyNow();
        const std::vector<Candidate>& candidates = candidatesFor(state_, service_);
        const int index = pickTarget(state_.routing, candidates, tried_, state_.generator, now);
        if (index < 0) {
            giveUp(lastReason_ == Reason::None ? Reason::NoTarget : lastReason_);
            return;
        }
        address_ = candidates[static_cast<std::size_t>(index)].address;
        tried_.push_back(address_);
        noteSent(state_.routing, address_);
        sentAt_ = now;
        isSent_ = true;
        const auto self = shared_from_this();
        if (address_ == state_.membership.self)
            gateId_ = state_.gate.offer(
                gateCall(), [self](GateResult result) { self->onResult(std::move(result)); });
        else
            sendToPeer();
    }

    void sendToPeer()
    {
        ExchangePlan plan;
        plan.bytes = encodeCall(gateCall(), service_, steadyNow());
        plan.isHead = incoming_->request.method() == http::verb::head;
        plan.connectTime = kPeerConnectTime;
        connection_ = state_.pool.send(
            parseEndpoint(address_), std::move(plan), [self = shared_from_this()](ExchangeResult result) {
                self->connection_.reset();
                self->onResult(decodeResult(std::move(result)));
            });
    }

    void onResult(GateResult result)
    {
        isSent_ = false;
        if (isDone_)
            return;
        noteResult(result);
        lastReason_ = result.reason;
        if (result.end == GateEnd::Answered) {
            isTargetsAnswer_ = true;
            logEnd("answered", result.response.result_int(), true);
            answer(std::move(result.response));
            return;
        }
        if (result.end != GateEnd::Refused)
            ++arrivals_;
        if (result.end == GateEnd::Unknown)
            mayHaveRun_ = true;
        if (mayTryAgain(result)) {
            state_.metrics.countRetry();
            sendNext();
        } else {
            giveUp(result.reason);
        }
    }

    void noteResult(const GateResult& result)
    {
        AttemptSeen seen;
        seen.hasAnswer = result.end == GateEnd::Answered;
        seen.isTargetAtFault = result.end != GateEnd::Answered;
        seen.latency = steadyNow() - sentAt_;
        seen.waiting = static_cast<std::uint32_t>(std::max(0, result.waiting));
        noteEnd(state_.routing, address_, seen, steadyNow());
    }

    bool mayTryAgain(const GateResult& result)
    {
        if (steadyNow() >= deadline_)
            return false;
        if (mayHaveRun_ && !route_.isRepeatable)
            return false;
        if (result.end == GateEnd::Refused)
            return ++refusals_ < kMostRefusals && result.reason != Reason::RetryLimit
                && result.reason != Reason::Deadline;
        return arrivals_ < route_.attempts;
    }

    void giveUp(Reason reason)
    {
        if (mayHaveRun_) {
            finish("failed", reason, makeAnswer(http::status::bad_gateway, "the target's answer was lost\n"));
            return;
        }
        const absl::Duration left = callerTime_ - (steadyNow() - incoming_->receivedAt);
        const absl::Duration retryAfter
            = std::max(absl::Milliseconds(1), std::min(kLongestRetryAfter, left * kRetryAfterShare));
        finish("not-run", reason,
            makeAnswer(http::status::service_unavailable, "not run; come back later\n", retryAfter));
    }

    void answer(Response response)
    {
        const bool isOk = http::to_status_class(response.result()) == http::status_class::successful;
        const Outcome failure = mayHaveRun_ ? Outcome::Unknown : Outcome::NotRun;
        const Outcome outcome = isTargetsAnswer_ ? Outcome::Failed : failure;
        state_.metrics.countCall({ route_.priority, isOk ? Outcome::Ok : outcome, lastReason_ },
            steadyNow() - incoming_->receivedAt);
        isDone_ = true;
        timer_.cancel();
        incoming_->answer(std::move(response));
    }

    void logEnd(absl::string_view outcome, unsigned status, bool isExpected)
    {
        const absl::string_view id = headerOf(incoming_->request, state_.settings.names.requestId);
        state_.requestLog.note("call-ended", id, isExpected,
            { { "request", id }, { "route", route_.name }, { "service", service_ }, { "outcome", outcome },
                { "reason", toText(lastReason_) }, { "status", status }, { "node", address_ },
                { "tried", tried_.size() }, { "arrivals", arrivals_ },
                { "after_ms", absl::ToInt64Milliseconds(steadyNow() - incoming_->receivedAt) },
                { "limit_ms", absl::ToInt64Milliseconds(deadline_ - incoming_->receivedAt) },
                { "config", state_.version() } });
    }

    void finish(absl::string_view outcome, Reason reason, Response response)
    {
        lastReason_ = reason;
        logEnd(outcome, response.result_int(), false);
        answer(std::move(response));
    }

    void abandon()
    {
        if (isDone_)
            return;
        isDone_ = true;
        timer_.cancel();
        breakOff();
    }

    /// Cancels what is under way at a node or the own target.
    void breakOff()
    {
        if (!isSent_)
            return;
        isSent_ = false;
        noteEnd(state_.routing, address_, {}, steadyNow());
        if (connection_)
            std::exchange(connection_, nullptr)->cancel();
        else if (gateId_ != 0)
            state_.gate.cancel(gateId_);
    }

    RelayState& state_;
    IncomingPtr incoming_;
    const Route route_; ///< A copy: the table may be replaced meanwhile.
    absl::Duration callerTime_;
    absl::Time deadline_;
    std::string service_;
    asio::steady_timer timer_;
    std::vector<std::string> tried_;
    std::string address_;
    std::shared_ptr<Upstream> connection_;
    CallId gateId_ = 0;
    absl::Time sentAt_;
    Reason lastReason_ = Reason::None;
    int arrivals_ = 0; ///< Targets that the request reached or may have reached.
    int refusals_ = 0;
    bool isTargetsAnswer_ = false; ///< The answer given is the target's own.
    bool isSent_ = false; ///< An attempt is under way.
    bool mayHaveRun_ = false;
    bool isDone_ = false;
};

void CallerGate::accept(const IncomingPtr& incoming)
{
    const Request& request = incoming->request;
    if (!state_.configuration.table) {
        incoming->answer(makeAnswer(
            http::status::service_unavailable, "no configuration is known yet\n", kLongestRetryAfter));
        return;
    }
    const Route* route = matchRoute(
        *state_.configuration.table, fromBeast(request[http::field::host]), fromBeast(request.target()));
    if (route == nullptr) {
        state_.requestLog.note("no-route", headerOf(request, state_.settings.names.requestId), false,
            { { "request", headerOf(request, state_.settings.names.requestId) },
                { "host", fromBeast(request[http::field::host]) }, { "target", fromBeast(request.target()) },
                { "config", state_.version() } });
        incoming->answer(makeAnswer(http::status::not_found, "no route\n"));
        return;
    }
    const absl::Duration callerTime = absl::Milliseconds(
        numberOf(request, state_.settings.names.timeLeft, absl::ToInt64Milliseconds(route->timeout)));
    const auto call = std::make_shared<CallerCall>(state_, incoming, *route, callerTime);
    const auto place = calls_.insert(calls_.end(), call);
    incoming->onSettled = [this, place] { calls_.erase(place); };
    call->start();
}

void CallerGate::endAll()
{
    const auto calls = calls_; // Each answer takes its call off the list.
    for (const auto& held : calls) {
        if (const auto call = held.lock())
            call->onDeadline();
    }
}

} // namespace jackdawwall::relay
