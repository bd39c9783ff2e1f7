#include "relay/relay-node.h"

#include "adapter/log.h"
#include "relay/breakage.h"
#include "relay/hop-wire.h"
#include "relay/operator-port.h"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace jackdawwall::relay {
namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(20);
constexpr absl::Duration kStopRetryAfter = absl::Milliseconds(500);
/// Ticks during which callers that come late are told so, also when the process stood still meanwhile.
constexpr int kRefusingTicks = 5;
/// Time for callers to close their connections once all work is done.
constexpr absl::Duration kCloseTime = absl::Milliseconds(400);
/// Before the end of the process; what is still open then is answered.
constexpr absl::Duration kAnswerTime = absl::Milliseconds(150);
/// Kept of the stop time for the end of the process itself.
constexpr absl::Duration kStopReserve = absl::Milliseconds(400);

/// Of ports that callers don't use.
ListenerLimits internalLimits()
{
    ListenerLimits limits;
    limits.headerBytes = 64U << 10;
    limits.idleTime = absl::Minutes(5);
    return limits;
}

} // namespace

RelayNode::Ports::Ports(asio::io_context& loop, RelaySettings& settings)
    : callers(openAcceptor(loop, settings.callerAddress))
    , peers(openAcceptor(loop, settings.peerAddress))
{
    settings.callerAddress = addressOf(callers);
    settings.peerAddress = addressOf(peers);
    if (!settings.readyAddress.empty())
        settings.readyAddress = addressOf(ready.emplace(openAcceptor(loop, settings.readyAddress)));
    if (!settings.heartbeatAddress.empty())
        settings.heartbeatAddress
            = addressOf(heartbeats.emplace(openAcceptor(loop, settings.heartbeatAddress)));
    if (!settings.operatorAddress.empty())
        settings.operatorAddress = addressOf(operators.emplace(openAcceptor(loop, settings.operatorAddress)));
}

RelayNode::RelayNode(
    asio::io_context& loop, RelaySettings settings, PlatformPort port, CallInterface interface)
    : RelayNode(loop, settings, Ports(loop, settings), std::move(port), std::move(interface))
{
}

RelayNode::RelayNode(
    asio::io_context& loop, RelaySettings settings, Ports ports, PlatformPort port, CallInterface interface)
    : loop_(loop)
    , state_(loop, std::move(settings))
    , port_(std::move(port))
    , callerGate_(state_, std::move(interface))
    , link_(state_,
          { [this](const std::string& document) { onConfiguration(document); },
              [this](const std::optional<Lifetime>& left) { onPast(left); } })
    , store_(state_, port_,
          { [this](const std::string& document) { onConfiguration(document); },
              [this](const std::vector<Member>& members) { link_.introduce(members); },
              [this](const std::optional<Lifetime>& left) { onPast(left); },
              [this](StoreRevision revision) { onRegistered(revision); } })
    , callers_(
          loop, std::move(ports.callers), [this](const IncomingPtr& incoming) { onCallerRequest(incoming); },
          &state_.heldBodies)
    , peers_(
          loop, std::move(ports.peers), [this](const IncomingPtr& incoming) { onPeerRequest(incoming); },
          &state_.heldBodies)
    , tickTimer_(loop)
{
    const auto open = [&](std::optional<HttpListener>& listener, std::optional<Tcp::acceptor>& acceptor,
                          RequestHandler handler) {
        if (acceptor)
            listener.emplace(loop, *std::move(acceptor), std::move(handler)).setLimits(internalLimits());
    };
    open(ready_, ports.ready, [this](const IncomingPtr& incoming) { onReadyRequest(incoming); });
    open(heartbeats_, ports.heartbeats, [this](const IncomingPtr& incoming) { onTargetRequest(incoming); });
    open(operators_, ports.operators, [this](const IncomingPtr& incoming) { onOperatorRequest(incoming); });
    ListenerLimits callerLimits;
    callerLimits.headerTime = state_.settings.headerTime;
    callerLimits.sessions = callerSessions();
    callers_.setLimits(callerLimits);
    peers_.setLimits(internalLimits());
    if (!heartbeats_)
        assumeReady();
    for (const std::string& address : state_.settings.seedAddresses)
        introduce(address);
    store_.start();
    link_.start();
    tick();
}

std::size_t RelayNode::callerSessions() const
{
    return static_cast<std::size_t>(
        static_cast<double>(state_.settings.descriptors) * kCallerDescriptorShare);
}

void RelayNode::reload(const RelaySettings& fresh)
{
    applySettings(state_, fresh);
    logEvent(LogLevel::Info, "settings-applied",
        { { "memory_bytes", fresh.memoryBytes }, { "descriptors", fresh.descriptors },
            { "stop_ms", absl::ToInt64Milliseconds(fresh.stopTime) },
            { "repeat_ratio", fresh.repeats ? fresh.repeats->retryRatio : 0 } });
}

std::size_t RelayNode::servingMembers() const
{
    std::size_t count = 0;
    for (const auto& [address, record] : state_.decisions.membership.members)
        count += record.member.isServing && record.member.status == MemberStatus::Alive ? 1 : 0;
    return count;
}

void RelayNode::introduce(const std::string& peerAddress)
{
    Member member;
    member.peerAddress = peerAddress;
    member.isServing = false; // Until it says itself what it is.
    link_.introduce({ member });
}

void RelayNode::assumeReady()
{
    state_.target.phase = TargetPhase::Ready;
    state_.target.isHistoryKnown = true;
    state_.target.readyHeartbeats = kHeartbeatsWithoutHistory;
    targetChanged();
}

void RelayNode::tick()
{
    state_.gate.tick(steadyNow());
    state_.requestLog.tick(steadyNow());
    if (state_.isStopping)
        checkStopped();
    tickTimer_.expires_after(kTickInterval);
    tickTimer_.async_wait([this](beast::error_code error) {
        if (!error)
            tick();
    });
}

void RelayNode::onCallerRequest(const IncomingPtr& incoming)
{
    if (state_.isStopping && steadyNow() - stoppingSince_ >= state_.settings.callerDrainTime) {
        incoming->answer(
            makeTextResponse(http::status::service_unavailable, "not run; stopping\n", kStopRetryAfter));
        return;
    }
    callerGate_.accept(incoming);
}

void RelayNode::onPeerRequest(const IncomingPtr& incoming)
{
    if (!headerValue(incoming->request, kMembershipUpdateHeader).empty()) {
        link_.accept(incoming);
        return;
    }
    auto hop = decodeCall(std::move(incoming->request), state_.settings.names, steadyNow());
    incoming->request = {};
    incoming->request.version(11);
    if (!hop) {
        incoming->answer(makeTextResponse(http::status::bad_request, "not a call between nodes\n"));
        return;
    }
    if (hop->call.request->method() == http::verb::head)
        incoming->request.method(http::verb::head);
    const bool isLeaving = state_.isStopping && steadyNow() - stoppingSince_ >= state_.settings.peerDrainTime;
    if (hop->service != state_.settings.service || isLeaving) {
        const Reason reason = isLeaving ? Reason::Leaving : Reason::NoTarget;
        GateResult refusal;
        refusal.status = GateStatus::Refused;
        refusal.reason = reason;
        refusal.feedback.unusedAllowance = hop->call.context.allowance;
        incoming->answer(encodeResult(std::move(refusal)));
        return;
    }
    auto id = std::make_shared<CallId>(0);
    auto isDone = std::make_shared<bool>(false);
    incoming->onAbandoned = [this, id, isDone] {
        if (!*isDone)
            state_.gate.cancel(*id);
    };
    *id = state_.gate.offer(std::move(hop->call), [incoming, isDone](GateResult result) {
        *isDone = true;
        incoming->answer(encodeResult(std::move(result)));
    });
}

void RelayNode::onReadyRequest(const IncomingPtr& incoming) const
{
    const bool isReady = state_.configuration.version > 0 && !state_.isStopping;
    incoming->answer(isReady ? makeTextResponse(http::status::ok, "ready\n")
                             : makeTextResponse(http::status::service_unavailable, "not ready\n"));
}

void RelayNode::onOperatorRequest(const IncomingPtr& incoming)
{
    if (incoming->request.method() != http::verb::post) {
        incoming->answer(answerOperator(state_, callers_.sessionCount(), incoming->request));
        return;
    }
    const absl::StatusOr<std::string> document = port_.decodeHandover
        ? port_.decodeHandover(incoming->request)
        : absl::StatusOr<std::string>(absl::NotFoundError("only GET is answered here"));
    if (!document.ok()) {
        incoming->answer(
            makeTextResponse(http::status::bad_request, absl::StrCat(document.status().message(), "\n")));
        return;
    }
    const bool isHeld = onConfiguration(*document);
    incoming->answer(makeTextResponse(isHeld ? http::status::ok : http::status::unprocessable_entity,
        absl::StrCat(state_.configuration.version, "\n")));
}

void RelayNode::onTargetRequest(const IncomingPtr& incoming)
{
    const TargetMessage message = port_.decodeTargetMessage(incoming->request);
    const bool isForeign = !message.service.empty() && message.service != state_.settings.service;
    if (message.kind == TargetMessage::Kind::Unreadable || isForeign) {
        logEvent(LogLevel::Warning, "heartbeat-refused",
            { { "service", message.service }, { "target", message.heartbeat.lifetime.id } });
        incoming->answer(makeTextResponse(http::status::bad_request, "unreadable, or of another service\n"));
        return;
    }
    const bool isLeaving
        = message.kind == TargetMessage::Kind::Leave || message.heartbeat.phase == TargetPhase::Leaving;
    if (isLeaving && isBroken("leaves")) {
        incoming->answer(makeJsonResponse(http::status::ok, "{}"));
        return;
    }
    TargetChange change;
    if (message.kind == TargetMessage::Kind::Leave)
        change = noteLeave(state_.target, message.heartbeat.lifetime);
    else
        change = noteHeartbeat(state_.target, message.heartbeat, steadyNow());
    const bool wasServing = selfOf(state_).isServing;
    if (change.hasPhaseChanged || change.isNewLifetime || wasServing != isServing(state_.target)) {
        logEvent(LogLevel::Info, "target-changed",
            { { "target", state_.target.lifetime.id }, { "started_at", state_.target.lifetime.startedAt },
                { "phase", static_cast<int>(state_.target.phase) }, { "sequence", state_.target.sequence },
                { "slots", state_.target.slots } });
        targetChanged();
    }
    if (isLeaving)
        onLeave(change, incoming);
    else
        incoming->answer(makeJsonResponse(http::status::ok, "{}"));
}

/// Acknowledges a leave once the store or another node would tell it to a restarted node.
void RelayNode::onLeave(const TargetChange& change, const IncomingPtr& incoming)
{
    if (!change.isAccepted) {
        incoming->answer(makeJsonResponse(http::status::ok, "{}"));
        return;
    }
    const auto acknowledge = [incoming] { incoming->answer(makeJsonResponse(http::status::ok, "{}")); };
    store_.recordLeave(acknowledge);
    link_.announce(acknowledge);
}

void RelayNode::targetChanged()
{
    state_.gate.updateTarget(state_.target);
    updateSelf(0);
    link_.announce();
}

void RelayNode::updateSelf(std::uint64_t leastIncarnation)
{
    LocalRecord record;
    record.status = state_.isStopping ? MemberStatus::Leaving : MemberStatus::Alive;
    record.isServing = isServing(state_.target) && !state_.isStopping;
    record.lastLeft = state_.target.lastLeft;
    record.minimumIncarnation = leastIncarnation;
    setLocalRecord(state_.decisions.membership, record, steadyNow());
    membersChanged(state_);
}

void RelayNode::onPast(const std::optional<Lifetime>& left)
{
    const bool isNews = !state_.target.isHistoryKnown || (left && left != state_.target.lastLeft);
    if (!isNews)
        return;
    state_.target.isHistoryKnown = true;
    if (left)
        restoreLeave(state_.target, *left);
    targetChanged();
}

void RelayNode::onRegistered(StoreRevision revision)
{
    logEvent(LogLevel::Info, "registered", { { "revision", revision } });
    updateSelf(revision + 1); // Above what others read in the record.
    link_.announce();
}

bool RelayNode::onConfiguration(const std::string& document)
{
    absl::StatusOr<Configuration> told = port_.decodeConfiguration(document);
    if (!told.ok()) {
        logEvent(LogLevel::Warning, "configuration-refused", { { "error", told.status().message() } });
        return false;
    }
    if (isBroken("configurations") && state_.configuration.version > 0)
        return true;
    if (told->version <= state_.configuration.version)
        return true;
    logEvent(LogLevel::Info, "configuration-applied",
        { { "version", told->version }, { "before", state_.configuration.version },
            { "bytes", document.size() } });
    if (told->limits) {
        ListenerLimits limits;
        limits.headerBytes = told->limits->headerBytes;
        limits.bodyBytes = told->limits->bodyBytes;
        limits.headerTime = told->limits->headerTime;
        limits.idleTime = told->limits->idleTime;
        limits.sessions = callerSessions();
        callers_.setLimits(limits);
    }
    state_.configuration = *std::move(told);
    state_.configuration.document = document;
    state_.configuration.since = absl::Now();
    link_.announce();
    return true;
}

void RelayNode::stop()
{
    if (std::exchange(state_.isStopping, true))
        return;
    stoppingSince_ = steadyNow();
    state_.stopsAt = stoppingSince_ + state_.settings.stopTime - kStopReserve;
    logEvent(LogLevel::Info, "stopping", { { "open", callers_.openRequests() + peers_.openRequests() } });
    if (isBroken("planned-stops"))
        loop_.stop();
    callers_.startClosing();
    updateSelf(0);
    link_.announce();
}

void RelayNode::checkStopped()
{
    const absl::Duration since = steadyNow() - stoppingSince_;
    const std::size_t open = callers_.openRequests() + peers_.openRequests();
    if (since >= state_.settings.callerDrainTime) {
        callers_.closeIdle();
        ++refusingTicks_;
    }
    const bool isClosed
        = callers_.sessionCount() == 0 || since >= state_.settings.callerDrainTime + kCloseTime;
    const bool isQuiet = refusingTicks_ >= kRefusingTicks && open == 0 && isClosed;
    const absl::Time now = steadyNow();
    if (now >= state_.stopsAt - kAnswerTime)
        callerGate_.failPendingCalls();
    if (!isQuiet && now < state_.stopsAt)
        return;
    logEvent(LogLevel::Info, "stopped", { { "open", open } });
    loop_.stop();
}

} // namespace jackdawwall::relay
