#include "relay/peer-link.h"

#include "adapter/json-reader.h"
#include "adapter/log.h"
#include "relay/peer-message.h"

#include "absl/strings/str_cat.h"

namespace jackdawwall::relay {
namespace {

constexpr std::size_t kSuccessors = 2;
/// Neighbours that lack nothing and are no successors get a message only every this many rounds. Two
/// successors are enough to detect a failed node, and the number of the others grows with the fleet.
constexpr unsigned kIdleRounds = 4;
/// Limit on the members in one message.
constexpr std::size_t kMaxMembersPerMessage = 200;
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(500);
constexpr absl::Duration kReplyTimeout = absl::Milliseconds(1500);
/// Time without a reply after which an update on a reused connection is repeated on a new one.
constexpr absl::Duration kSilenceTimeout = absl::Milliseconds(500);

/// Why an update counts as not answered.
absl::string_view missCause(const ExchangeResult& result)
{
    if (result.isTimedOut)
        return "timeout";
    return result.status == ExchangeStatus::Complete ? "unreadable" : "disconnected";
}

} // namespace

PeerLink::PeerLink(RelayState& state, PeerLinkEvents events)
    : state_(state)
    , events_(std::move(events))
    , timer_(state.loop)
    , runId_(absl::StrCat(absl::Hex(state.decisions.generator())))
{
}

void PeerLink::start()
{
    runRound();
}

void PeerLink::runRound()
{
    const absl::Time now = steadyNow();
    for (const Member& changed : advanceMembership(state_.decisions.membership, now)) {
        logEvent(LogLevel::Info, "member-changed",
            { { "member", changed.peerAddress }, { "status", toText(changed.status) },
                { "incarnation", changed.incarnation } });
        membersChanged(state_);
    }
    completeAnnouncements();
    sendRound();
    timer_.expires_after(absl::ToChronoMicroseconds(state_.settings.gossipInterval));
    timer_.async_wait(guard_.wrap([this](beast::error_code error) {
        if (!error)
            runRound();
    }));
}

void PeerLink::sendRound()
{
    const bool isFullRound = round_++ % kIdleRounds == 0;
    std::size_t position = 0;
    for (const Member& member : chooseNeighbours(state_.decisions.membership, kSuccessors)) {
        const bool isSuccessor = position++ < kSuccessors;
        if (member.peerAddress != state_.decisions.membership.self
            && (isSuccessor || isFullRound || isBehind(member.peerAddress)))
            sendUpdate(member.peerAddress);
    }
}

bool PeerLink::isBehind(const std::string& address)
{
    const MembershipState& membership = state_.decisions.membership;
    const auto known = membership.neighbours.find(address);
    if (known == membership.neighbours.end() || known->second.acknowledged < membership.lastChange)
        return true;
    return neighbours_[address].configurationVersion < state_.configuration.version;
}

void PeerLink::announce(std::function<void()> onAcknowledged)
{
    if (onAcknowledged)
        pendingAnnouncements_.emplace_back(state_.decisions.membership.lastChange, std::move(onAcknowledged));
    for (const Member& member : chooseNeighbours(state_.decisions.membership, kSuccessors)) {
        if (member.peerAddress != state_.decisions.membership.self)
            sendUpdate(member.peerAddress);
    }
}

void PeerLink::sendUpdate(const std::string& address)
{
    Neighbour& neighbour = neighbours_[address];
    if (neighbour.isRequestPending)
        return;
    neighbour.isRequestPending = true;
    std::uint64_t upTo = 0;
    Request request { http::verb::post, "/", 11 };
    setHeader(request, kMembershipUpdateHeader, "1");
    request.body() = encodeUpdate(address, false, upTo);
    request.prepare_payload();
    ExchangeRequest exchange;
    exchange.bytes = serializeRequest(request);
    state_.metrics.countControlBytes(exchange.bytes.size());
    exchange.connectTimeout = kConnectTimeout;
    exchange.silenceTimeout = kSilenceTimeout;
    state_.pool.sendWithTimeout(parseEndpoint(address), std::move(exchange), kReplyTimeout,
        [this, address, sent = SentUpdate { upTo, state_.configuration.version }](
            const ExchangeResult& result) { onReply(address, sent, result); });
}

void PeerLink::onReply(const std::string& address, const SentUpdate& sent, const ExchangeResult& result)
{
    neighbours_[address].isRequestPending = false;
    std::string sender;
    if (result.status != ExchangeStatus::Complete || !applyMessage(result.response.body(), sender)) {
        if (recordMissedHeartbeat(state_.decisions.membership, address, steadyNow())) {
            logEvent(LogLevel::Info, "member-changed",
                { { "member", address }, { "status", "suspect" }, { "cause", missCause(result) },
                    { "reused_connection", result.isReusedConnection } });
            membersChanged(state_);
        }
        return;
    }
    recordHeartbeat(state_.decisions.membership, address, sent.upTo, steadyNow());
    completeAnnouncements();
    // A change that came while the reply was awaited, and that no other message to this neighbour announced.
    if (state_.decisions.membership.lastChange > sent.upTo
        || state_.configuration.version > std::max(sent.version, neighbours_[address].configurationVersion))
        sendUpdate(address);
}

bool PeerLink::hasReachedNeighbours(std::uint64_t change) const
{
    const MembershipState& membership = state_.decisions.membership;
    bool hasReachedAny = false;
    for (const Member& member : chooseNeighbours(membership, kSuccessors)) {
        if (member.peerAddress == membership.self || member.status != MemberStatus::Alive)
            continue;
        const auto known = membership.neighbours.find(member.peerAddress);
        if (known == membership.neighbours.end() || known->second.acknowledged < change)
            return false;
        hasReachedAny = true;
    }
    return hasReachedAny;
}

void PeerLink::completeAnnouncements()
{
    std::vector<std::function<void()>> acknowledged;
    std::erase_if(pendingAnnouncements_, [&](const auto& waiting) {
        if (!hasReachedNeighbours(waiting.first))
            return false;
        acknowledged.push_back(waiting.second);
        return true;
    });
    for (const auto& callback : acknowledged)
        callback();
}

absl::Duration PeerLink::uptime() const
{
    return steadyNow() - startedAt_;
}

std::string PeerLink::encodeUpdate(const std::string& address, bool isReply, std::uint64_t& upTo)
{
    PeerMessage message;
    const Neighbour& neighbour = neighbours_[address];
    message.runId = runId_;
    message.uptime = uptime();
    message.sender = localMember(state_);
    message.members = updatesFor(state_.decisions.membership, address, kMaxMembersPerMessage, upTo);
    const auto receiver = state_.decisions.membership.members.find(address);
    if (receiver != state_.decisions.membership.members.end())
        message.members.push_back(receiver->second.member);
    message.upTo = upTo;
    message.acknowledgedUpTo = neighbour.appliedUpTo;
    message.version = state_.configuration.version;
    message.storeEra = state_.storeEra;
    const bool isBehind = neighbour.configurationVersion < state_.configuration.version
        && (isReply || neighbour.configurationVersion > 0);
    if (isBehind)
        message.configuration = state_.configuration.document;
    return encodePeerMessage(message);
}

void PeerLink::resetIfRestarted(const std::string& address, const std::string& runId)
{
    Neighbour& neighbour = neighbours_[address];
    if (neighbour.runId == runId)
        return;
    neighbour.runId = runId;
    neighbour.appliedUpTo = 0;
    neighbour.configurationVersion = 0;
    state_.decisions.membership.neighbours[address].acknowledged = 0;
}

bool PeerLink::applyMessage(const std::string& body, std::string& sender)
{
    const absl::StatusOr<PeerMessage> message = decodePeerMessage(body);
    if (!message.ok()) {
        logEvent(LogLevel::Warning, "peer-message-unreadable", { { "error", message.status().message() } });
        return false;
    }
    sender = message->sender.peerAddress;
    resetIfRestarted(sender, message->runId);
    Neighbour& neighbour = neighbours_[sender];
    neighbour.configurationVersion = message->version;
    neighbour.appliedUpTo = message->upTo;
    NeighbourState& neighbourState = state_.decisions.membership.neighbours[sender];
    neighbourState.acknowledged = std::max(neighbourState.acknowledged, message->acknowledgedUpTo);
    std::vector<Member> reported = message->members;
    reported.push_back(message->sender);
    std::optional<Lifetime> left;
    bool knowsEarlierProcess = false;
    for (const Member& member : reported) {
        if (member.peerAddress != state_.decisions.membership.self)
            continue;
        // A record that this process did not make comes from an earlier process of this node.
        knowsEarlierProcess = knowsEarlierProcess || member.incarnation > localMember(state_).incarnation;
        if (!member.leftTarget.empty())
            left = Lifetime { member.leftTarget, member.leftStartedAt };
    }
    // A leave that it missed was acknowledged before its start. Heartbeats sent before that leave came too
    // early to reach this process.
    const bool isComplete = message->uptime >= uptime() + state_.settings.maxHeartbeatDelay;
    if (left || knowsEarlierProcess || isComplete)
        events_.onPreviousLeave(left, isComplete);
    merge(reported);
    if (message->storeEra > state_.storeEra)
        events_.onStoreEra(message->storeEra);
    if (!message->configuration.empty())
        events_.onConfiguration(message->configuration, sender);
    return true;
}

void PeerLink::merge(const std::vector<Member>& reported)
{
    const std::vector<Member> changed = mergeMembers(state_.decisions.membership, reported, steadyNow());
    if (changed.empty())
        return;
    for (const Member& member : changed) {
        logEvent(LogLevel::Info, "member-changed",
            { { "member", member.peerAddress }, { "service", member.service },
                { "status", toText(member.status) }, { "incarnation", member.incarnation } });
    }
    membersChanged(state_);
}

void PeerLink::addMembers(const std::vector<Member>& members)
{
    merge(members);
    announce();
}

void PeerLink::accept(const IncomingRequestPtr& incoming)
{
    std::string sender;
    if (!applyMessage(incoming->request.body(), sender)) {
        incoming->respond(makeTextResponse(http::status::bad_request, "unreadable\n"));
        return;
    }
    std::uint64_t upTo = 0;
    std::string reply = encodeUpdate(sender, true, upTo);
    state_.metrics.countControlBytes(reply.size());
    incoming->respond(makeJsonResponse(http::status::ok, std::move(reply)));
}

} // namespace jackdawwall::relay
