#include "relay/relay-node.h"

#include "adapter/log.h"
#include "relay/hop-wire.h"

#include "absl/strings/str_cat.h"

namespace jackdawwall::relay {
namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(20);
/// From the stop until callers have been sent elsewhere and idle connections are closed.
constexpr absl::Duration kCallerDrainTime = absl::Milliseconds(2600);
constexpr absl::Duration kStopRetryAfter = absl::Milliseconds(500);
/// Time for callers to close their connections once all work is done.
constexpr absl::Duration kCloseTime = absl::Milliseconds(400);
/// Before the end of the process; what is still open then is answered.
constexpr absl::Duration kAnswerTime = absl::Milliseconds(150);
/// Kept of the stop time for the end of the process itself.
constexpr absl::Duration kStopReserve = absl::Milliseconds(400);

} // namespace

RelayNode::RelayNode(asio::io_context& loop, RelaySettings settings, PlatformPort port)
    : loop_(loop)
    , state_(loop, std::move(settings))
    , port_(std::move(port))
    , callerGate_(state_)
    , link_(state_,
          { [this](const std::string& document) { onConfiguration(document); },
              [this](const std::optional<Lifetime>& left) { onPast(left); } })
    , store_(state_, port_,
          { [this](const std::string& document) { onConfiguration(document); },
              [this](const std::vector<Member>& members) { link_.introduce(members); },
              [this](const std::optional<Lifetime>& left) { onPast(left); },
              [this](StoreRevision revision) { onRegistered(revision); } })
    , callers_(loop, state_.settings.callerAddress,
          [this](const IncomingPtr& incoming) { onCallerRequest(incoming); })
    , peers_(
          loop, state_.settings.peerAddress, [this](const IncomingPtr& incoming) { onPeerRequest(incoming); })
    , ready_(loop, state_.settings.readyAddress,
          [this](const IncomingPtr& incoming) { onReadyRequest(incoming); })
    , heartbeats_(loop, state_.settings.heartbeatAddress,
          [this](const IncomingPtr& incoming) { onTargetRequest(incoming); })
    , metrics_(loop, state_.settings.metricsAddress,
          [this](const IncomingPtr& incoming) { onMetricsRequest(incoming); })
    , tickTimer_(loop)
{
    ListenerLimits peerLimits;
    peerLimits.headerBytes = 64U << 10;
    peerLimits.idleTime = absl::Minutes(5);
    peers_.setLimits(peerLimits);
    heartbeats_.setLimits(peerLimits);
    ready_.setLimits(peerLimits);
    store_.start();
    link_.start();
    tick();
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
    if (state_.isStopping && steadyNow() - stoppingSince_ >= kCallerDrainTime) {
        incoming->answer(
            makeAnswer(http::status::service_unavailable, "not run; stopping\n", kStopRetryAfter));
        return;
    }
    callerGate_.accept(incoming);
}

void RelayNode::onPeerRequest(const IncomingPtr& incoming)
{
    if (!headerOf(incoming->request, kNewsHeader).empty()) {
        link_.accept(incoming);
        return;
    }
    auto hop = decodeCall(std::move(incoming->request), state_.settings.names, steadyNow());
    incoming->request = {};
    incoming->request.version(11);
    if (!hop) {
        incoming->answer(makeAnswer(http::status::bad_request, "not a call between nodes\n"));
        return;
    }
    if (hop->call.request.method() == http::verb::head)
        incoming->request.method(http::verb::head);
    if (hop->service != state_.settings.service || state_.isStopping) {
        const Reason reason = state_.isStopping ? Reason::Leaving : Reason::NoTarget;
        incoming->answer(encodeResult({ GateEnd::Refused, reason, {}, 0 }));
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
    const bool isReady = state_.configuration.table && !state_.isStopping;
    incoming->answer(isReady ? makeAnswer(http::status::ok, "ready\n")
                             : makeAnswer(http::status::service_unavailable, "not ready\n"));
}

void RelayNode::onMetricsRequest(const IncomingPtr& incoming) const
{
    const auto gauge = [](absl::string_view name, auto value) {
        return absl::StrCat("# TYPE ", name, " gauge\n", name, " ", value, "\n");
    };
    const std::string gauges = absl::StrCat(gauge("jackdaw_configuration_version", state_.version()),
        gauge("jackdaw_target_running", state_.gate.running()),
        gauge("jackdaw_target_waiting", state_.gate.waiting()),
        gauge("jackdaw_target_serving", isServing(state_.target) ? 1 : 0),
        gauge("jackdaw_members", state_.membership.members.size()),
        gauge("jackdaw_caller_connections", callers_.sessionCount()),
        gauge("jackdaw_connections_opened", state_.pool.opened()),
        gauge("jackdaw_log_lines_dropped", droppedLogEvents()));
    incoming->answer(makeAnswer(http::status::ok, state_.metrics.expose(gauges)));
}

void RelayNode::onTargetRequest(const IncomingPtr& incoming)
{
    const TargetMessage message = port_.decodeTargetMessage(incoming->request);
    const bool isForeign = !message.service.empty() && message.service != state_.settings.service;
    if (message.kind == TargetMessage::Kind::Unreadable || isForeign) {
        logEvent(LogLevel::Warning, "heartbeat-refused",
            { { "service", message.service }, { "target", message.heartbeat.lifetime.id } });
        incoming->answer(makeAnswer(http::status::bad_request, "unreadable, or of another service\n"));
        return;
    }
    TargetChange change;
    if (message.kind == TargetMessage::Kind::Leave)
        change = noteLeave(state_.target, message.heartbeat.lifetime);
    else
        change = noteHeartbeat(state_.target, message.heartbeat, steadyNow());
    const bool wasServing = state_.membership.members.at(state_.membership.self).member.isServing;
    if (change.hasPhaseChanged || change.isNewLifetime || wasServing != isServing(state_.target)) {
        logEvent(LogLevel::Info, "target-changed",
            { { "target", state_.target.lifetime.id }, { "started_at", state_.target.lifetime.startedAt },
                { "phase", static_cast<int>(state_.target.phase) }, { "sequence", state_.target.sequence },
                { "slots", state_.target.slots } });
        targetChanged();
    }
    const bool isLeaving
        = message.kind == TargetMessage::Kind::Leave || message.heartbeat.phase == TargetPhase::Leaving;
    if (isLeaving)
        onLeave(change, incoming);
    else
        incoming->answer(makeJsonAnswer(http::status::ok, "{}"));
}

/// Acknowledges a leave once the store or another node would tell it to a restarted node.
void RelayNode::onLeave(const TargetChange& change, const IncomingPtr& incoming)
{
    if (!change.isAccepted) {
        incoming->answer(makeJsonAnswer(http::status::ok, "{}"));
        return;
    }
    const auto acknowledge = [incoming] { incoming->answer(makeJsonAnswer(http::status::ok, "{}")); };
    store_.recordLeave(acknowledge);
    link_.announce(acknowledge);
}

void RelayNode::targetChanged()
{
    state_.gate.targetChanged(state_.target);
    updateSelf(0);
    link_.announce();
}

void RelayNode::updateSelf(std::uint64_t leastIncarnation)
{
    OwnRecord record;
    record.status = state_.isStopping ? MemberStatus::Leaving : MemberStatus::Alive;
    record.isServing = isServing(state_.target) && !state_.isStopping;
    record.left = state_.target.lastLeft;
    record.leastIncarnation = leastIncarnation;
    setOwnRecord(state_.membership, record, steadyNow());
    membersChanged(state_);
}

void RelayNode::onPast(const std::optional<Lifetime>& left)
{
    const bool isNews = !state_.target.knowsPast || (left && left != state_.target.lastLeft);
    if (!isNews)
        return;
    state_.target.knowsPast = true;
    if (left)
        recallLeave(state_.target, *left);
    targetChanged();
}

void RelayNode::onRegistered(StoreRevision revision)
{
    logEvent(LogLevel::Info, "registered", { { "revision", revision } });
    updateSelf(revision);
    link_.announce();
}

void RelayNode::onConfiguration(const std::string& document)
{
    absl::StatusOr<RouteTable> table = port_.decodeConfiguration(document);
    if (!table.ok()) {
        logEvent(LogLevel::Warning, "configuration-refused", { { "error", table.status().message() } });
        return;
    }
    if (table->version <= state_.version())
        return;
    logEvent(LogLevel::Info, "configuration-applied",
        { { "version", table->version }, { "before", state_.version() }, { "hosts", table->byHost.size() } });
    ListenerLimits limits;
    limits.headerBytes = table->limits.headerBytes;
    limits.bodyBytes = table->limits.bodyBytes;
    limits.headerTime = table->limits.headerTime;
    limits.idleTime = table->limits.idleTime;
    callers_.setLimits(limits);
    state_.configuration = { std::make_shared<const RouteTable>(*std::move(table)), document };
    link_.announce();
}

void RelayNode::stop()
{
    if (std::exchange(state_.isStopping, true))
        return;
    stoppingSince_ = steadyNow();
    state_.stopsAt = stoppingSince_ + state_.settings.stopTime - kStopReserve;
    logEvent(LogLevel::Info, "stopping", { { "open", callers_.openRequests() + peers_.openRequests() } });
    callers_.startClosing();
    updateSelf(0);
    link_.announce();
}

void RelayNode::checkStopped()
{
    const absl::Duration since = steadyNow() - stoppingSince_;
    const std::size_t open = callers_.openRequests() + peers_.openRequests();
    if (since >= kCallerDrainTime)
        callers_.closeIdle();
    const bool isClosed = callers_.sessionCount() == 0 || since >= kCallerDrainTime + kCloseTime;
    const bool isQuiet = since >= kCallerDrainTime && open == 0 && isClosed;
    const absl::Time now = steadyNow();
    if (now >= state_.stopsAt - kAnswerTime)
        callerGate_.endAll();
    if (!isQuiet && now < state_.stopsAt)
        return;
    logEvent(LogLevel::Info, "stopped", { { "open", open } });
    loop_.stop();
}

} // namespace jackdawwall::relay
