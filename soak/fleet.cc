#include "fleet.h"

#include "adapter/json-reader.h"
#include "wire-names.h"

#include "absl/strings/str_cat.h"

#include <csignal>
#include <fstream>

namespace jackdawwall::soak {
namespace {

constexpr std::array<const char*, 2> kServices { "ledger", "photos" };
constexpr std::array<const char*, 2> kDataCentres { "north", "south" };
/// Values of node settings and routes that are not in Limits.
constexpr double kStopSeconds = 5;
constexpr int kNodeCount = 6;
constexpr int kMaxMemoryMegabytes = 128;
constexpr int kMaxDescriptors = 1200;
constexpr int kTimeoutMs = 1500;
constexpr int kLatencyObjectiveMs = 600;
/// A process that still runs this long after its time limit for stopping violates a guarantee.
constexpr absl::Duration kStopSlack = absl::Milliseconds(700);

const Limits kLimits;

relay::Tcp::acceptor ephemeralAcceptor(relay::asio::io_context& loop)
{
    return relay::openAcceptor(loop, "127.0.0.1:0");
}

Json::Value route(const std::string& prefix, const char* service, const char* kind, int priority)
{
    Json::Value value;
    value["name"] = absl::StrCat("route", prefix);
    value["host"] = "soak.example";
    value["prefix"] = prefix;
    value["service"] = service;
    value["kind"] = kind;
    value["attempts"] = kLimits.attempts;
    value["timeout_ms"] = kTimeoutMs;
    value["goal_ms"] = kLatencyObjectiveMs;
    value["priority"] = priority;
    return value;
}

} // namespace

Fleet::Fleet(relay::asio::io_context& loop, Record& record, const FleetOptions& options)
    : store(std::make_unique<Store>(loop, ephemeralAcceptor(loop), options.seed))
    , loop_(loop)
    , record_(record)
    , options_(options)
{
    configure();
    for (int index = 0; index < kNodeCount; ++index)
        addMember(index);
}

void Fleet::addMember(int index)
{
    const auto reserve = [&] {
        relay::Tcp::acceptor& acceptor = reserved_.emplace_back(loop_, relay::Tcp::v4());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind({ asio::ip::address_v4::loopback(), 0 });
        return relay::localAddress(acceptor);
    };
    auto member = std::make_unique<Member>();
    member->name = absl::StrCat("n", index);
    member->service = kServices.at(static_cast<std::size_t>(index) % kServices.size());
    member->callerAddress = reserve();
    member->readyAddress = reserve();
    const std::string heartbeat = reserve();
    const std::string peer = reserve();
    member->target = std::make_unique<Target>(loop_, record_, absl::StrCat("t", index), member->service,
        ephemeralAcceptor(loop_), heartbeat, options_.seed * 100 + static_cast<std::uint64_t>(index));
    Member* raw = member.get();
    member->target->isPathDisturbed
        = [raw] { return relay::steadyNow() < std::max(raw->linkDisturbedUntil, raw->disturbedUntil); };
    const std::array<std::string, kLinkKindCount> destinations { peer, member->target->address(),
        store->address() };
    for (std::size_t kind = 0; kind < kLinkKindCount; ++kind)
        member->links.at(kind) = std::make_unique<Proxy>(
            loop_, ephemeralAcceptor(loop_), relay::parseEndpoint(destinations.at(kind)));
    const std::string settings = absl::StrCat(options_.folder, "/", member->name, ".json");
    std::ofstream(settings) << settingsFor(*member, heartbeat, peer);
    member->process = std::make_unique<Process>(
        options_.program, settings, absl::StrCat(options_.folder, "/", member->name, ".log"));
    members.push_back(std::move(member));
}

std::string Fleet::settingsFor(
    const Member& member, const std::string& heartbeat, const std::string& peer) const
{
    const auto link
        = [&](LinkKind kind) { return member.links.at(static_cast<std::size_t>(kind))->address(); };
    Json::Value value;
    value["process"] = member.name;
    value["service"] = member.service;
    value["dataCentre"] = kDataCentres.at(members.size() % kDataCentres.size());
    value["callerAddress"] = member.callerAddress;
    value["peerAddress"] = peer;
    value["toldPeerAddress"] = link(LinkKind::FromPeers);
    value["readyAddress"] = member.readyAddress;
    value["heartbeatAddress"] = heartbeat;
    value["operatorAddress"] = "127.0.0.1:0";
    value["targetAddress"] = link(LinkKind::ToTarget);
    value["platformAddress"] = link(LinkKind::ToStore);
    value["memoryMegabytes"] = kMaxMemoryMegabytes;
    value["descriptors"] = kMaxDescriptors;
    value["stopSeconds"] = kStopSeconds;
    value["configurationApplyMs"] = Json::Int64(absl::ToInt64Milliseconds(kLimits.apply));
    value["repeatRatio"] = kLimits.retryRatio;
    value["repeatExtra"] = kLimits.extraRetries;
    value["repeatWindowSeconds"] = absl::ToDoubleSeconds(kLimits.retryWindow);
    return canonicalJson(value);
}

void Fleet::configure()
{
    ++version_;
    Json::Value value;
    value["version"] = Json::UInt64(version_);
    Json::Value& routes = value["routes"];
    routes.append(route("/read/", kServices[0], "safe", 1));
    routes.append(route("/book/", kServices[0], "unsafe", 0));
    routes.append(route("/photo/", kServices[1], "upload", 2));
    routes.append(route(absl::StrCat("/v", version_, "/"), kServices[1], "safe", 1));
    if (version_ > 1)
        routes.append(route(absl::StrCat("/v", version_ - 1, "/"), kServices[1], "safe", 1));
    store->put(platform::kConfigurationKind, platform::kConfigurationName, value);
    configuredAt_ = relay::steadyNow();
}

void Fleet::startAll()
{
    for (const auto& member : members) {
        member->process->start();
        ++member->startCount;
    }
}

void Fleet::disturb(Member& member, absl::Duration time)
{
    member.disturbedUntil = std::max(member.disturbedUntil, relay::steadyNow() + time + kLimits.recoveryTime);
}

void Fleet::superviseProcesses()
{
    for (const auto& member : members) {
        const auto processExit = member->process->takeExit();
        const absl::Time now = relay::steadyNow();
        const bool isOverdue = now > member->stopSentAt + absl::Seconds(kStopSeconds) + kStopSlack;
        if (isOverdue && now > member->disturbedUntil) {
            record_.reportViolation(
                "planned-stop", absl::StrCat("process=", member->name, " is still running"));
            member->isKillExpected = true;
            member->process->signal(SIGKILL);
        }
        if (!processExit)
            continue;
        const bool isStopped = member->stopSentAt != absl::InfiniteFuture() && !processExit->isSignalled
            && processExit->code == 0;
        const bool isKilled
            = member->isKillExpected && processExit->isSignalled && processExit->code == SIGKILL;
        if (!isStopped && !isKilled)
            record_.reportViolation("processes-go-on",
                absl::StrCat("process=", member->name,
                    processExit->isSignalled ? " signal=" : " code=", processExit->code));
        member->isKillExpected = false;
        member->stopSentAt = absl::InfiniteFuture();
        member->isReady = false;
        member->process->start();
        ++member->startCount;
    }
}

} // namespace jackdawwall::soak
