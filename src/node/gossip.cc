#include "node/gossip.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "absl/time/clock.h"

#include <algorithm>

namespace jackdawwall {
namespace {

constexpr std::size_t kSuccessors = 2;
constexpr std::size_t kMostNewsPerMessage = 200;
constexpr auto kAnswerTimeout = std::chrono::milliseconds(400);
constexpr absl::Duration kLeastRoundGap = absl::Milliseconds(20);
constexpr int kMismatchesToCompare = 10;
constexpr std::uint64_t kProbeEveryRounds = 10;
constexpr std::uint64_t kFarHeartbeatRounds = 4;
constexpr int kServerThreads = 8;

grpc::ChannelArguments channelArguments()
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
    return arguments;
}

std::vector<Member> allFromWire(const google::protobuf::RepeatedPtrField<wire::Member>& list)
{
    std::vector<Member> members;
    members.reserve(static_cast<std::size_t>(list.size()));
    for (const wire::Member& member : list)
        members.push_back(fromWire(member));
    return members;
}

/// Merges what was told and drops what was derived from the older view.
void mergeTold(NodeDecisions& decisions, const std::vector<Member>& told)
{
    if (!mergeMembers(decisions.membership, told, absl::Now()).empty())
        membersChanged(decisions);
}

void logMember(absl::string_view event, const Member& member)
{
    logEvent(LogLevel::Info, event,
        { { "member", member.peerAddress }, { "service", member.service },
            { "status", toText(member.status) }, { "incarnation", member.incarnation } });
}

} // namespace

wire::Member toWire(const Member& member)
{
    wire::Member message;
    message.set_peer_address(member.peerAddress);
    message.set_incarnation(member.incarnation);
    message.set_status(static_cast<wire::MemberStatus>(member.status));
    message.set_service(member.service);
    message.set_data_centre(member.dataCentre);
    message.set_control_address(member.controlAddress);
    message.set_operator_address(member.operatorAddress);
    return message;
}

Member fromWire(const wire::Member& message)
{
    Member member;
    member.peerAddress = message.peer_address();
    member.incarnation = message.incarnation();
    member.status = static_cast<MemberStatus>(std::clamp<int>(message.status(), 0, 3));
    member.service = message.service();
    member.dataCentre = message.data_centre();
    member.controlAddress = message.control_address();
    member.operatorAddress = message.operator_address();
    return member;
}

/// One heartbeat under way.
struct Gossip::Message {
    Member receiver;
    std::uint64_t upTo = 0;
    wire::ExchangeRequest request;
    wire::ExchangeReply reply;
    grpc::ClientContext context;
    grpc::Status status;
    std::shared_ptr<wire::Control::Stub> stub;
    std::unique_ptr<grpc::ClientAsyncResponseReader<wire::ExchangeReply>> reader;
};

/// Answers the other nodes.
class Gossip::Service : public wire::Control::Service {
public:
    explicit Service(Gossip& gossip)
        : gossip_(gossip)
    {
    }

    grpc::Status Exchange(grpc::ServerContext* /*context*/, const wire::ExchangeRequest* request,
        wire::ExchangeReply* reply) override
    {
        NodeState& node = gossip_.node_;
        const CatalogueVersion held = node.catalogue()->version;
        reply->set_catalogue_version(held);
        if (isNewer(request->catalogue_version(), held))
            gossip_.hints_.push({ request->sender().control_address() });
        bool hasNews = false;
        {
            const absl::MutexLock lock(&node.mutex);
            hasNews = mergeRequest(node.decisions, *request, *reply);
        }
        node.metrics.countControlBytes(reply->ByteSizeLong());
        if (hasNews)
            gossip_.kick();
        return grpc::Status::OK;
    }

    grpc::Status FetchCatalogue(grpc::ServerContext* /*context*/, const wire::CatalogueRequest* request,
        wire::CatalogueReply* reply) override
    {
        const StoredObject document = gossip_.node_.catalogueDocument();
        if (isNewer(document.version, request->since_version())) {
            reply->set_version(document.version);
            reply->set_document(document.value);
        }
        gossip_.node_.metrics.countControlBytes(reply->ByteSizeLong());
        return grpc::Status::OK;
    }

private:
    static bool mergeRequest(
        NodeDecisions& decisions, const wire::ExchangeRequest& request, wire::ExchangeReply& reply)
    {
        MembershipState& membership = decisions.membership;
        const std::uint64_t before = membership.lastChange;
        std::vector<Member> told = allFromWire(request.updates());
        const Member sender = fromWire(request.sender());
        told.push_back(sender);
        mergeTold(decisions, told);
        if (request.want_all_members()) {
            membership.neighbours.erase(sender.peerAddress);
            for (const Member& member : allMembers(membership))
                *reply.add_updates() = toWire(member);
        } else if (const auto held = membership.members.find(sender.peerAddress);
                   held != membership.members.end() && held->second.member != sender) {
            // The sender must hear what is said of it, to refute it.
            *reply.add_updates() = toWire(held->second.member);
        }
        reply.set_member_digest(memberDigest(membership));
        return membership.lastChange != before;
    }

    Gossip& gossip_;
};

Gossip::Gossip(NodeState& node, BoundedRing<CatalogueHint>& hints)
    : node_(node)
    , hints_(hints)
    , service_(std::make_unique<Service>(*this))
{
}

absl::StatusOr<std::unique_ptr<Gossip>> Gossip::start(NodeState& node, BoundedRing<CatalogueHint>& hints)
{
    std::unique_ptr<Gossip> gossip(new Gossip(node, hints));
    const std::string& wanted = node.settings.controlAddress;
    int port = 0;
    grpc::ServerBuilder builder;
    grpc::ResourceQuota quota;
    quota.SetMaxThreads(kServerThreads);
    builder.SetResourceQuota(quota);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetSyncServerOption(grpc::ServerBuilder::NUM_CQS, 1);
    builder.SetSyncServerOption(grpc::ServerBuilder::MAX_POLLERS, 2);
    builder.AddListeningPort(wanted, grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(gossip->service_.get());
    gossip->server_ = builder.BuildAndStart();
    if (!gossip->server_ || port == 0)
        return absl::UnavailableError(absl::StrCat("can't listen on ", wanted));
    gossip->address_ = absl::StrCat(wanted.substr(0, wanted.rfind(':')), ":", port);
    return gossip;
}

Gossip::~Gossip()
{
    stop();
}

void Gossip::run()
{
    thread_ = std::thread([this] { loop(); });
}

void Gossip::kick()
{
    const absl::MutexLock lock(&mutex_);
    isKicked_ = true;
}

void Gossip::stop()
{
    {
        const absl::MutexLock lock(&mutex_);
        isStopping_ = true;
        isKicked_ = true;
    }
    if (thread_.joinable())
        thread_.join();
    if (server_)
        server_->Shutdown(std::chrono::system_clock::now() + kAnswerTimeout);
    server_.reset();
}

void Gossip::loop()
{
    while (true) {
        absl::SleepFor(kLeastRoundGap);
        {
            const absl::MutexLock lock(&mutex_);
            mutex_.AwaitWithTimeout(absl::Condition(&isKicked_), node_.settings.heartbeatInterval);
            isKicked_ = false;
            if (isStopping_)
                return;
        }
        runRound();
    }
}

std::shared_ptr<wire::Control::Stub> Gossip::stubFor(const std::string& controlAddress)
{
    const absl::MutexLock lock(&mutex_);
    std::shared_ptr<wire::Control::Stub>& stub = stubs_[controlAddress];
    if (!stub) {
        const auto channel = grpc::CreateCustomChannel(
            controlAddress, grpc::InsecureChannelCredentials(), channelArguments());
        stub = wire::Control::NewStub(channel);
    }
    return stub;
}

std::unique_ptr<Gossip::Message> Gossip::prepareMessage(const Member& receiver, bool wantsAll)
{
    auto message = std::make_unique<Message>();
    message->receiver = receiver;
    const MembershipState& membership = node_.decisions.membership;
    for (const Member& member : newsFor(membership, receiver.peerAddress, kMostNewsPerMessage, message->upTo))
        *message->request.add_updates() = toWire(member);
    *message->request.mutable_sender() = toWire(membership.members.at(membership.self).member);
    message->request.set_catalogue_version(node_.catalogue()->version);
    message->request.set_want_all_members(wantsAll);
    return message;
}

bool Gossip::hasNewsFor(const Member& neighbour) const
{
    const auto told = toldCatalogue_.find(neighbour.peerAddress);
    if (told == toldCatalogue_.end() || told->second != node_.catalogue()->version)
        return true;
    const MembershipState& membership = node_.decisions.membership;
    const auto known = membership.neighbours.find(neighbour.peerAddress);
    return known == membership.neighbours.end() || known->second.acknowledged < membership.lastChange;
}

std::vector<std::unique_ptr<Gossip::Message>> Gossip::prepareRound()
{
    ++roundCount_;
    const bool wantsAll = mismatches_ >= kMismatchesToCompare;
    mismatches_ = wantsAll ? 0 : mismatches_;
    const absl::MutexLock lock(&node_.mutex);
    NodeDecisions& decisions = node_.decisions;
    for (const Member& member : advanceMembership(decisions.membership, absl::Now())) {
        logMember("member-dead", member);
        membersChanged(decisions);
    }
    std::vector<std::unique_ptr<Message>> messages;
    const std::vector<Member> neighbours = chooseNeighbours(decisions.membership, kSuccessors);
    for (std::size_t index = 0; index < neighbours.size(); ++index) {
        // The successors on the ring are watched; the others hear news at once and a heartbeat now and then.
        const bool isDue = index < kSuccessors || roundCount_ % kFarHeartbeatRounds == 0;
        if (isDue || hasNewsFor(neighbours[index]))
            messages.push_back(prepareMessage(neighbours[index], wantsAll && messages.empty()));
    }
    if (roundCount_ % kProbeEveryRounds != 0)
        return messages;
    // One of the dead, in case that it is back or that a partition has ended.
    std::vector<Member> gone;
    for (const auto& [address, record] : decisions.membership.members) {
        if (record.member.status == MemberStatus::Dead || record.member.status == MemberStatus::Suspect)
            gone.push_back(record.member);
    }
    if (!gone.empty())
        messages.push_back(prepareMessage(gone[decisions.generator() % gone.size()], false));
    return messages;
}

void Gossip::sendAll(std::vector<std::unique_ptr<Message>>& messages)
{
    grpc::CompletionQueue queue;
    for (std::unique_ptr<Message>& message : messages) {
        message->stub = stubFor(message->receiver.controlAddress);
        message->context.set_deadline(std::chrono::system_clock::now() + kAnswerTimeout);
        message->reader = message->stub->AsyncExchange(&message->context, message->request, &queue);
        message->reader->Finish(&message->reply, &message->status, message.get());
        node_.metrics.countControlBytes(message->request.ByteSizeLong());
    }
    void* tag = nullptr;
    bool isOk = false;
    for (std::size_t left = messages.size(); left > 0 && queue.Next(&tag, &isOk); --left)
        learn(*static_cast<Message*>(tag));
    queue.Shutdown();
    while (queue.Next(&tag, &isOk)) { }
}

void Gossip::learn(const Message& message)
{
    const std::string& neighbour = message.receiver.peerAddress;
    const absl::Time now = absl::Now();
    {
        const absl::MutexLock lock(&node_.mutex);
        NodeDecisions& decisions = node_.decisions;
        if (!message.status.ok()) {
            if (noteMissedHeartbeat(decisions.membership, neighbour, now)) {
                membersChanged(decisions);
                logMember("member-suspect", message.receiver);
            }
            return;
        }
        if (message.receiver.status != MemberStatus::Alive)
            membersChanged(decisions);
        mergeTold(decisions, allFromWire(message.reply.updates()));
        noteHeartbeat(decisions.membership, neighbour, message.upTo, now);
        toldCatalogue_[neighbour] = message.request.catalogue_version();
        const bool differs = message.reply.member_digest() != memberDigest(decisions.membership);
        mismatches_ = differs ? mismatches_ + 1 : 0;
    }
    if (isNewer(message.reply.catalogue_version(), node_.catalogue()->version))
        hints_.push({ message.receiver.controlAddress });
}

void Gossip::keepOnlyChannelsTo(const std::vector<std::unique_ptr<Message>>& messages)
{
    const absl::MutexLock lock(&mutex_);
    absl::erase_if(stubs_, [&](const auto& item) {
        return std::none_of(messages.begin(), messages.end(),
            [&](const auto& message) { return message->receiver.controlAddress == item.first; });
    });
}

void Gossip::runRound()
{
    std::vector<std::unique_ptr<Message>> messages = prepareRound();
    sendAll(messages);
    if (roundCount_ % kFarHeartbeatRounds == 0)
        keepOnlyChannelsTo(messages);
}

bool Gossip::join(const std::string& controlAddress)
{
    if (controlAddress == address_)
        return false;
    Member receiver;
    receiver.controlAddress = controlAddress;
    std::vector<std::unique_ptr<Message>> messages;
    {
        const absl::MutexLock lock(&node_.mutex);
        messages.push_back(prepareMessage(receiver, true));
    }
    Message& message = *messages.front();
    message.stub = stubFor(controlAddress);
    message.context.set_deadline(std::chrono::system_clock::now() + 2 * kAnswerTimeout);
    message.status = message.stub->Exchange(&message.context, message.request, &message.reply);
    if (!message.status.ok())
        return false;
    {
        const absl::MutexLock lock(&node_.mutex);
        mergeTold(node_.decisions, allFromWire(message.reply.updates()));
    }
    if (isNewer(message.reply.catalogue_version(), node_.catalogue()->version))
        hints_.push({ controlAddress });
    kick();
    return true;
}

absl::StatusOr<StoredObject> Gossip::fetchCatalogue(const std::string& controlAddress, CatalogueVersion since)
{
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + 2 * kAnswerTimeout);
    wire::CatalogueRequest request;
    request.set_since_version(since);
    wire::CatalogueReply reply;
    const grpc::Status status = stubFor(controlAddress)->FetchCatalogue(&context, request, &reply);
    if (!status.ok())
        return absl::UnavailableError(status.error_message());
    if (!isNewer(reply.version(), since))
        return absl::NotFoundError("nothing newer");
    return StoredObject { "catalogue", reply.document(), reply.version() };
}

} // namespace jackdawwall
