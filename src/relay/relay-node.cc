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
/// Minimum number of ticks in which late callers are rejected. Not a duration: a suspension of the process
/// would use it up.
constexpr int kMinRefusingTicks = 5;
/// How long a stop without pending requests waits after callerDrainTime for callers to close their
/// connections.
constexpr absl::Duration kConnectionCloseTimeout = absl::Milliseconds(400);
/// Time before the forced stop at which all pending requests get a response.
constexpr absl::Duration kFinalResponseTime = absl::Milliseconds(150);
/// How long an acknowledgement of a leave waits for the store before another node is enough. The target waits
/// for a second.
constexpr absl::Duration kStoreAcknowledgeTime = absl::Milliseconds(500);
/// Part of the stop time reserved for the exit of the process.
constexpr absl::Duration kExitReserve = absl::Milliseconds(400);

/// Largest body of a heartbeat or of a readiness check.
constexpr std::uint64_t kMaxReportBytes = 64U << 10;

/// Other nodes send work that may not run twice only on connections with a shorter idle time (see
/// caller-call.cc), and repeat other work.
constexpr absl::Duration kPeerReuseTime = absl::Seconds(4);
/// Share of the idle time during which callers reuse connections.
constexpr double kCallerReuseShare = 0.8;
constexpr std::size_t kMinReportSessions = 8;

/// Limits of the ports that callers don't use.
ListenerLimits internalPortLimits()
{
    ListenerLimits limits;
    limits.headerBytes = 64U << 10;
    limits.idleTimeout = absl::Minutes(5);
    limits.reusedFor = kPeerReuseTime;
    limits.failsUnacknowledged = true;
    return limits;
}

/// Limits of the ports for the local target's reports and for readiness checks.
ListenerLimits reportPortLimits()
{
    ListenerLimits limits = internalPortLimits();
    limits.bodyBytes = kMaxReportBytes;
    return limits;
}

} // namespace

RelayNode::Ports::Ports(asio::io_context& loop, RelaySettings nodeSettings)
    : settings(std::move(nodeSettings))
    , callers(openAcceptor(loop, settings.callerAddress))
    , peers(openAcceptor(loop, settings.peerAddress))
{
    settings.callerAddress = localAddress(callers);
    settings.peerAddress = localAddress(peers);
    if (!settings.readyAddress.empty())
        settings.readyAddress = localAddress(ready.emplace(openAcceptor(loop, settings.readyAddress)));
    if (!settings.heartbeatAddress.empty())
        settings.heartbeatAddress
            = localAddress(heartbeats.emplace(openAcceptor(loop, settings.heartbeatAddress)));
    if (!settings.operatorAddress.empty())
        settings.operatorAddress
            = localAddress(operators.emplace(openAcceptor(loop, settings.operatorAddress)));
}

RelayNode::RelayNode(
    asio::io_context& loop, RelaySettings settings, PlatformPort port, CallInterface interface)
    : RelayNode(loop, Ports(loop, std::move(settings)), std::move(port), std::move(interface))
{
}

RelayNode::RelayNode(asio::io_context& loop, Ports ports, PlatformPort port, CallInterface interface)
    : loop_(loop)
    , state_(loop, std::move(ports.settings))
    , port_(std::move(port))
    , leaseLink_(state_)
    , callerGate_(state_, std::move(interface))
    , peerLink_(state_,
          { [this](const std::string& document, const std::string& sender) {
               onConfiguration(document, sender);
           },
              [this](const std::optional<Lifetime>& left, bool isComplete) {
                  onPreviousLeave(left, isComplete);
              },
              [this](StoreEra era) { storeSync_.applyEra(era); } })
    , storeSync_(state_, port_,
          { [this](const std::string& document) { onConfiguration(document, "store"); },
              [this](const std::vector<Member>& members) { peerLink_.addMembers(members); },
              [this](const std::optional<Lifetime>& left) { onPreviousLeave(left, false); },
              [this] { onOutdatedRecord(); }, [this](StoreRevision revision) { onRegistered(revision); },
              [this] { onStoreReachabilityChanged(); }, [this] { peerLink_.announce(); } })
    , callerListener_(
          loop, std::move(ports.callers),
          [this](const IncomingRequestPtr& incoming) { onCallerRequest(incoming); }, &state_.heldForCallers)
    , peerListener_(
          loop, std::move(ports.peers),
          [this](const IncomingRequestPtr& incoming) { onPeerRequest(incoming); }, &state_.held)
    , portLimits_(state_)
    , tickTimer_(loop)
{
    const auto openListener = [&](std::optional<HttpListener>& listener,
                                  std::optional<Tcp::acceptor>& acceptor, const ListenerLimits& limits,
                                  RequestHandler handler) {
        if (acceptor)
            listener.emplace(loop, *std::move(acceptor), std::move(handler), &state_.held).setLimits(limits);
    };
    state_.leases = &leaseLink_;
    state_.gate.setLeaveCallback([this](const Lifetime& lifetime) { onTargetLeaves(lifetime); });
    openListener(readyListener_, ports.ready, reportPortLimits(),
        [this](const IncomingRequestPtr& incoming) { onReadyRequest(incoming); });
    openListener(heartbeatListener_, ports.heartbeats, reportPortLimits(),
        [this](const IncomingRequestPtr& incoming) { onTargetRequest(incoming); });
    openListener(operatorListener_, ports.operators, internalPortLimits(),
        [this](const IncomingRequestPtr& incoming) { onOperatorRequest(incoming); });
    ListenerLimits callerLimits;
    callerLimits.headerTimeout = state_.settings.headerTimeout;
    callerListener_.setLimits(callerLimits);
    peerListener_.setLimits(internalPortLimits());
    configureAllocator(state_.settings.memoryBytes);
    portLimits_.add(callerListener_, "caller", kCallerDescriptorShare);
    portLimits_.add(peerListener_, "peer", kPeerDescriptorShare);
    const auto addReportPort = [this](std::optional<HttpListener>& listener, const char* name) {
        if (listener)
            portLimits_.add(*listener, name, kReportDescriptorShare, kMinReportSessions);
    };
    addReportPort(readyListener_, "ready");
    addReportPort(heartbeatListener_, "heartbeat");
    addReportPort(operatorListener_, "operator");
    portLimits_.setCallerPort(callerListener_);
    portLimits_.update();
    startRun(
        state_.target, steadyNow(), absl::Now(), state_.settings.maxHeartbeatDelay, kStoreAcknowledgeTime);
    if (!heartbeatListener_)
        assumeTargetReady();
    for (const std::string& address : state_.settings.seedAddresses)
        addPeer(address);
    storeSync_.start();
    peerLink_.start();
    tick();
}

void RelayNode::reload(const RelaySettings& newSettings)
{
    applySettings(state_, newSettings);
    portLimits_.update();
    logEvent(LogLevel::Info, "settings-applied",
        { { "memory_bytes", newSettings.memoryBytes }, { "descriptors", newSettings.descriptors },
            { "stop_ms", absl::ToInt64Milliseconds(newSettings.stopTime) },
            { "repeat_ratio", newSettings.arrivalBudget ? newSettings.arrivalBudget->retryRatio : 0 } });
}

std::size_t RelayNode::servingMemberCount() const
{
    std::size_t count = 0;
    for (const auto& [address, record] : state_.decisions.membership.members)
        count += record.member.isServing && record.member.status == MemberStatus::Alive ? 1 : 0;
    return count;
}

void RelayNode::addPeer(const std::string& peerAddress)
{
    Member member;
    member.peerAddress = peerAddress;
    member.isServing = false; // Until its first message reports its state.
    peerLink_.addMembers({ member });
}

void RelayNode::assumeTargetReady()
{
    state_.target.phase = TargetPhase::Ready;
    state_.target.isHistoryComplete = true;
    onTargetChanged();
}

void RelayNode::tick()
{
    if (advanceTarget(state_.target, steadyNow(), state_.settings.confirmationTime)) {
        logEvent(LogLevel::Warning, "target-unconfirmed", { { "target", state_.target.lifetime.id } });
        onTargetChanged();
    }
    state_.gate.tick(steadyNow());
    leaseLink_.tick();
    state_.requestLog.tick(steadyNow());
    memoryTrimmer_.tick(state_.held.reserved(), steadyNow());
    if (state_.isStopping)
        checkStopProgress();
    tickTimer_.expires_after(kTickInterval);
    tickTimer_.async_wait(guard_.wrap([this](beast::error_code error) {
        if (!error)
            tick();
    }));
}

void RelayNode::onCallerRequest(const IncomingRequestPtr& incoming)
{
    if (state_.isStopping && steadyNow() - stopStartedAt_ >= state_.settings.callerDrainTime) {
        incoming->respond(
            makeTextResponse(http::status::service_unavailable, "not run; stopping\n", kStopRetryAfter));
        return;
    }
    callerGate_.accept(incoming);
}

void RelayNode::onPeerRequest(const IncomingRequestPtr& incoming)
{
    if (!headerValue(incoming->request, kMembershipUpdateHeader).empty()) {
        peerLink_.accept(incoming);
        return;
    }
    if (!headerValue(incoming->request, kLeaseHeader).empty()) {
        leaseLink_.accept(incoming);
        return;
    }
    auto hop = decodeCall(std::move(incoming->request), state_.settings.names, steadyNow());
    incoming->request = {};
    incoming->request.version(11);
    if (!hop) {
        incoming->respond(makeTextResponse(http::status::bad_request, "not a call between nodes\n"));
        return;
    }
    if (hop->call.request->method() == http::verb::head)
        incoming->request.method(http::verb::head);
    const bool isLeaving = state_.isStopping && steadyNow() - stopStartedAt_ >= state_.settings.peerDrainTime;
    if (hop->service != state_.settings.service || isLeaving) {
        const Reason reason = isLeaving ? Reason::Leaving : Reason::NoTarget;
        GateResult refusal;
        refusal.status = GateStatus::Refused;
        refusal.reason = reason;
        refusal.feedback.unusedAllowance = hop->call.context.allowance;
        incoming->respond(encodeResult(std::move(refusal)));
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
        ByteReservation reservation = std::move(result.reservation);
        incoming->respond(encodeResult(std::move(result)), std::move(reservation));
    });
}

void RelayNode::onReadyRequest(const IncomingRequestPtr& incoming) const
{
    const bool isReady = state_.configuration.version > 0 && !state_.isStopping;
    incoming->respond(isReady ? makeTextResponse(http::status::ok, "ready\n")
                              : makeTextResponse(http::status::service_unavailable, "not ready\n"));
}

void RelayNode::onOperatorRequest(const IncomingRequestPtr& incoming)
{
    if (incoming->request.method() != http::verb::post) {
        incoming->respond(respondToOperator(state_, callerListener_.sessionCount(), incoming->request));
        return;
    }
    const absl::StatusOr<std::string> document = port_.decodeSubmittedConfiguration
        ? port_.decodeSubmittedConfiguration(incoming->request)
        : absl::StatusOr<std::string>(absl::NotFoundError("only GET is answered here"));
    if (!document.ok()) {
        incoming->respond(
            makeTextResponse(http::status::bad_request, absl::StrCat(document.status().message(), "\n")));
        return;
    }
    const bool isAccepted = onConfiguration(*document, "operator");
    incoming->respond(makeTextResponse(isAccepted ? http::status::ok : http::status::unprocessable_entity,
        absl::StrCat(state_.configuration.version, "\n")));
}

void RelayNode::onTargetRequest(const IncomingRequestPtr& incoming)
{
    const TargetMessage message = port_.decodeTargetMessage(incoming->request);
    const bool isOtherService = !message.service.empty() && message.service != state_.settings.service;
    if (message.kind == TargetMessage::Kind::Unreadable || isOtherService) {
        logEvent(LogLevel::Warning, "heartbeat-refused",
            { { "service", message.service }, { "target", message.heartbeat.lifetime.id } });
        incoming->respond(makeTextResponse(http::status::bad_request, "unreadable, or of another service\n"));
        return;
    }
    const bool isLeaving
        = message.kind == TargetMessage::Kind::Leave || message.heartbeat.phase == TargetPhase::Leaving;
    if (isLeaving && isSafeguardDisabled("leaves")) {
        incoming->respond(makeJsonResponse(http::status::ok, "{}"));
        return;
    }
    TargetChange change;
    if (message.kind == TargetMessage::Kind::Leave)
        change = recordLeave(state_.target, message.heartbeat.lifetime, absl::Now());
    else
        change = recordHeartbeat(state_.target, message.heartbeat, steadyNow());
    const bool wasServing = localMember(state_).isServing;
    if (change.hasPhaseChanged || change.isNewLifetime || wasServing != isServing(state_.target)) {
        logTarget();
        onTargetChanged();
    }
    if (isLeaving)
        onLeave(incoming);
    else
        incoming->respond(makeJsonResponse(http::status::ok, "{}"));
}

void RelayNode::logTarget() const
{
    logEvent(LogLevel::Info, "target-changed",
        { { "target", state_.target.lifetime.id }, { "started_at", state_.target.lifetime.startedAt },
            { "phase", static_cast<int>(state_.target.phase) }, { "sequence", state_.target.sequence },
            { "slots", state_.target.slots }, { "proven", isProven(state_.target) },
            { "serving", isServing(state_.target) } });
}

void RelayNode::onTargetLeaves(const Lifetime& lifetime)
{
    const std::optional<Lifetime> before = state_.target.lastLeft;
    const TargetChange change = jackdawwall::recordLeave(state_.target, lifetime, absl::Now());
    if (!change.hasPhaseChanged && state_.target.lastLeft == before)
        return;
    logTarget();
    onTargetChanged();
    if (state_.target.lastLeft)
        storeSync_.recordLeave(*state_.target.lastLeft, [] {});
}

/// Acknowledges a leave once the store can report it to this node after a restart. If the store does not
/// respond in time, neighbours that know it are enough: the leave is stored when the store responds again. A
/// node that starts after all of them have ended serves its target as isServing describes.
void RelayNode::onLeave(const IncomingRequestPtr& incoming)
{
    const auto acknowledge = [incoming] { incoming->respond(makeJsonResponse(http::status::ok, "{}")); };
    if (!state_.target.lastLeft) { // Of an earlier lifetime, when a later one is known.
        acknowledge();
        return;
    }
    updateLocalMember(0); // The leave may concern a lifetime that sent no heartbeat to this process.
    storeSync_.recordLeave(*state_.target.lastLeft, acknowledge);
    auto storeTimer
        = std::make_shared<asio::steady_timer>(loop_, absl::ToChronoMicroseconds(kStoreAcknowledgeTime));
    peerLink_.announce([acknowledge, storeTimer] {
        storeTimer->async_wait([acknowledge, storeTimer](beast::error_code) { acknowledge(); });
    });
}

void RelayNode::onTargetChanged()
{
    state_.gate.updateTarget(state_.target);
    updateLocalMember(0);
    peerLink_.announce();
}

void RelayNode::updateLocalMember(std::uint64_t minimumIncarnation)
{
    LocalRecord record;
    record.status = state_.isStopping ? MemberStatus::Leaving : MemberStatus::Alive;
    record.isServing = isServing(state_.target) && !state_.isStopping;
    record.canReachStore = state_.canReachStore;
    record.lastLeft = state_.target.lastLeft;
    record.minimumIncarnation = minimumIncarnation;
    setLocalRecord(state_.decisions.membership, record, steadyNow());
    membersChanged(state_);
}

void RelayNode::onPreviousLeave(const std::optional<Lifetime>& left, bool isComplete)
{
    TargetState& target = state_.target;
    const bool isHistory = isComplete || !isRecordOutdated_;
    const bool isNew = (isHistory && !target.isRecordRead) || (isComplete && !target.isHistoryComplete);
    if (!isNew && (!left || left == target.lastLeft))
        return;
    target.isRecordRead = target.isRecordRead || isHistory;
    target.isHistoryComplete = target.isHistoryComplete || isComplete;
    logEvent(LogLevel::Info, "target-history",
        { { "complete", target.isHistoryComplete }, { "left", left ? left->id : "" } });
    if (left)
        restoreLeave(target, *left);
    onTargetChanged();
    if (target.lastLeft) // Known to another node, but perhaps not to the store.
        storeSync_.recordLeave(*target.lastLeft, [] {});
}

/// The record may lack leaves, and so may what other nodes have read from the store.
void RelayNode::onOutdatedRecord()
{
    isRecordOutdated_ = true;
    state_.target.isRecordRead = false;
    logEvent(LogLevel::Info, "node-record-outdated", { { "era", state_.storeEra } });
    onTargetChanged();
}

void RelayNode::onRegistered(StoreRevision revision)
{
    logEvent(LogLevel::Info, "registered", { { "revision", revision } });
    updateLocalMember(revision + 1); // Higher than the incarnation that others read from the record.
    peerLink_.announce();
}

void RelayNode::onStoreReachabilityChanged()
{
    updateLocalMember(0);
    peerLink_.announce();
}

bool RelayNode::onConfiguration(const std::string& document, absl::string_view source)
{
    absl::StatusOr<Configuration> decoded = port_.decodeConfiguration(document);
    if (!decoded.ok()) {
        logEvent(LogLevel::Warning, "configuration-refused",
            { { "source", source }, { "error", decoded.status().message() } });
        return false;
    }
    if (isSafeguardDisabled("configurations") && state_.configuration.version > 0)
        return true;
    if (decoded->version <= state_.configuration.version)
        return true;
    logEvent(LogLevel::Info, "configuration-applied",
        { { "version", decoded->version }, { "before", state_.configuration.version }, { "source", source },
            { "bytes", document.size() } });
    if (decoded->limits) {
        ListenerLimits limits;
        limits.headerBytes = decoded->limits->headerBytes;
        limits.bodyBytes = decoded->limits->bodyBytes;
        limits.headerTimeout = decoded->limits->headerTime;
        limits.idleTimeout = decoded->limits->idleTime;
        limits.reusedFor = limits.idleTimeout * kCallerReuseShare;
        callerListener_.setLimits(limits);
        portLimits_.update();
    }
    state_.configuration = *std::move(decoded);
    if (state_.configuration.document.empty())
        state_.configuration.document = document;
    state_.configuration.appliedAt = absl::Now();
    callerGate_.onConfigurationApplied();
    peerLink_.announce();
    return true;
}

void RelayNode::stop()
{
    if (std::exchange(state_.isStopping, true))
        return;
    stopStartedAt_ = steadyNow();
    state_.stopDeadline = stopStartedAt_ + state_.settings.stopTime - kExitReserve;
    logEvent(LogLevel::Info, "stopping",
        { { "open", callerListener_.pendingRequests() + peerListener_.pendingRequests() } });
    if (isSafeguardDisabled("planned-stops"))
        loop_.stop();
    callerListener_.startClosing();
    updateLocalMember(0);
    peerLink_.announce();
}

void RelayNode::checkStopProgress()
{
    const absl::Duration elapsed = steadyNow() - stopStartedAt_;
    const std::size_t pending = callerListener_.pendingRequests() + peerListener_.pendingRequests();
    if (elapsed >= state_.settings.callerDrainTime) {
        callerListener_.closeIdleSessions();
        ++ticksRefusingCallers_;
    }
    const bool isClosed = callerListener_.sessionCount() == 0
        || elapsed >= state_.settings.callerDrainTime + kConnectionCloseTimeout;
    const bool isComplete = ticksRefusingCallers_ >= kMinRefusingTicks && pending == 0 && isClosed;
    const absl::Time now = steadyNow();
    if (now >= state_.stopDeadline - kFinalResponseTime)
        callerGate_.failPendingCalls();
    if (!isComplete && now < state_.stopDeadline)
        return;
    logEvent(LogLevel::Info, "stopped", { { "open", pending } });
    loop_.stop();
}

} // namespace jackdawwall::relay
