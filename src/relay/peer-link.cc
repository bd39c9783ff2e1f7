#include "relay/peer-link.h"

#include "adapter/json-reader.h"
#include "adapter/log.h"
#include "relay/peer-message.h"

#include "absl/strings/str_cat.h"

namespace jackdawwall::relay {
namespace {

constexpr std::size_t kSuccessors = 2;
/// Members told in one message.
constexpr std::size_t kNewsLimit = 200;
constexpr absl::Duration kConnectTime = absl::Milliseconds(500);
constexpr absl::Duration kReplyTime = absl::Milliseconds(1500);

} // namespace

PeerLink::PeerLink(RelayState& state, PeerLinkEvents events)
    : state_(state)
    , events_(std::move(events))
    , timer_(state.loop)
    , run_(absl::StrCat(absl::Hex(state.decisions.generator())))
{
}

void PeerLink::start()
{
    round();
}

void PeerLink::round()
{
    const absl::Time now = steadyNow();
    for (const Member& changed : advanceMembership(state_.decisions.membership, now)) {
        logEvent(LogLevel::Info, "member-changed",
            { { "member", changed.peerAddress }, { "status", toText(changed.status) },
                { "incarnation", changed.incarnation } });
        membersChanged(state_);
    }
    announce();
    timer_.expires_after(absl::ToChronoMicroseconds(state_.settings.gossipInterval));
    timer_.async_wait([this](beast::error_code error) {
        if (!error)
            round();
    });
}

void PeerLink::announce(std::function<void()> told)
{
    if (told)
        waitingForNews_.emplace_back(state_.decisions.membership.lastChange, std::move(told));
    for (const Member& member : chooseNeighbours(state_.decisions.membership, kSuccessors)) {
        if (member.peerAddress != state_.decisions.membership.self)
            send(member.peerAddress);
    }
}

void PeerLink::send(const std::string& address)
{
    Neighbour& neighbour = neighbours_[address];
    if (neighbour.isAsked)
        return;
    neighbour.isAsked = true;
    std::uint64_t upTo = 0;
    Request request { http::verb::post, "/", 11 };
    setHeader(request, kMembershipUpdateHeader, "1");
    request.body() = message(address, false, upTo);
    request.prepare_payload();
    ExchangeRequest exchange;
    exchange.bytes = serializeRequest(request);
    state_.metrics.countControlBytes(exchange.bytes.size());
    exchange.connectTimeout = kConnectTime;
    state_.pool.sendWithTimeout(parseEndpoint(address), std::move(exchange), kReplyTime,
        [this, address, upTo](const ExchangeResult& result) { onReply(address, upTo, result); });
}

void PeerLink::onReply(const std::string& address, std::uint64_t upTo, const ExchangeResult& result)
{
    neighbours_[address].isAsked = false;
    std::string from;
    if (result.status != ExchangeStatus::Complete || !takeIn(result.response.body(), from)) {
        if (noteMissedHeartbeat(state_.decisions.membership, address, steadyNow())) {
            logEvent(LogLevel::Info, "member-changed", { { "member", address }, { "status", "suspect" } });
            membersChanged(state_);
        }
        return;
    }
    noteHeartbeat(state_.decisions.membership, address, upTo, steadyNow());
    std::vector<std::function<void()>> told;
    std::erase_if(waitingForNews_, [&](const auto& waiting) {
        if (waiting.first > upTo)
            return false;
        told.push_back(waiting.second);
        return true;
    });
    for (const auto& callback : told)
        callback();
    if (state_.decisions.membership.lastChange > upTo)
        send(address);
}

std::string PeerLink::message(const std::string& address, bool isReply, std::uint64_t& upTo)
{
    PeerMessage message;
    const Neighbour& neighbour = neighbours_[address];
    message.run = run_;
    message.from = selfOf(state_);
    message.members = updatesFor(state_.decisions.membership, address, kNewsLimit, upTo);
    const auto held = state_.decisions.membership.members.find(address);
    if (held != state_.decisions.membership.members.end())
        message.members.push_back(held->second.member);
    message.upTo = upTo;
    message.heardUpTo = neighbour.heardUpTo;
    message.version = state_.configuration.version;
    const bool isBehind
        = neighbour.version < state_.configuration.version && (isReply || neighbour.version > 0);
    if (isBehind)
        message.configuration = state_.configuration.document;
    return encodePeerMessage(message);
}

void PeerLink::noteRun(const std::string& address, const std::string& run)
{
    Neighbour& neighbour = neighbours_[address];
    if (neighbour.run == run)
        return;
    neighbour.run = run;
    neighbour.heardUpTo = 0;
    neighbour.version = 0;
    state_.decisions.membership.neighbours[address].acknowledged = 0;
}

bool PeerLink::takeIn(const std::string& body, std::string& from)
{
    const absl::StatusOr<PeerMessage> message = decodePeerMessage(body);
    if (!message.ok()) {
        logEvent(LogLevel::Warning, "peer-message-unreadable", { { "error", message.status().message() } });
        return false;
    }
    from = message->from.peerAddress;
    noteRun(from, message->run);
    Neighbour& neighbour = neighbours_[from];
    neighbour.version = message->version;
    neighbour.heardUpTo = message->upTo;
    NeighbourState& known = state_.decisions.membership.neighbours[from];
    known.acknowledged = std::max(known.acknowledged, message->heardUpTo);
    std::vector<Member> told = message->members;
    told.push_back(message->from);
    std::optional<Lifetime> left;
    for (const Member& member : told) {
        if (member.peerAddress == state_.decisions.membership.self && !member.leftTarget.empty())
            left = Lifetime { member.leftTarget, member.leftStartedAt };
    }
    events_.onPast(left);
    merge(told);
    if (!message->configuration.empty())
        events_.onConfiguration(message->configuration);
    return true;
}

void PeerLink::merge(const std::vector<Member>& told)
{
    const std::vector<Member> changed = mergeMembers(state_.decisions.membership, told, steadyNow());
    if (changed.empty())
        return;
    for (const Member& member : changed) {
        logEvent(LogLevel::Info, "member-changed",
            { { "member", member.peerAddress }, { "service", member.service },
                { "status", toText(member.status) }, { "incarnation", member.incarnation } });
    }
    membersChanged(state_);
}

void PeerLink::introduce(const std::vector<Member>& members)
{
    merge(members);
    announce();
}

void PeerLink::accept(const IncomingPtr& incoming)
{
    std::string from;
    if (!takeIn(incoming->request.body(), from)) {
        incoming->answer(makeTextResponse(http::status::bad_request, "unreadable\n"));
        return;
    }
    std::uint64_t upTo = 0;
    std::string reply = message(from, true, upTo);
    state_.metrics.countControlBytes(reply.size());
    incoming->answer(makeJsonResponse(http::status::ok, std::move(reply)));
}

} // namespace jackdawwall::relay
