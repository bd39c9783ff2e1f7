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
/// Of the settings; see Bounds for the rest.
constexpr double kStopSeconds = 5;
constexpr int kNodes = 6;
constexpr int kMemoryMegabytes = 128;
constexpr int kDescriptors = 1200;
constexpr int kTimeoutMs = 1500;
constexpr int kGoalMs = 600;
/// A stopped process that is still there so long after its stop time broke its promise.
constexpr absl::Duration kStopSlack = absl::Milliseconds(700);

const Bounds kBounds;

relay::Tcp::acceptor anyAcceptor(relay::asio::io_context& loop)
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
    value["attempts"] = kBounds.attempts;
    value["timeout_ms"] = kTimeoutMs;
    value["goal_ms"] = kGoalMs;
    value["priority"] = priority;
    return value;
}

} // namespace

Fleet::Fleet(relay::asio::io_context& loop, Record& record, const FleetOptions& options)
    : store(std::make_unique<Store>(loop, anyAcceptor(loop), options.seed))
    , loop_(loop)
    , record_(record)
    , options_(options)
{
    configure();
    for (int index = 0; index < kNodes; ++index)
        addMember(index);
}

void Fleet::addMember(int index)
{
    const auto reserve = [&] {
        relay::Tcp::acceptor& held = reserved_.emplace_back(loop_, relay::Tcp::v4());
        held.set_option(asio::socket_base::reuse_address(true));
        held.bind({ asio::ip::address_v4::loopback(), 0 });
        return relay::localAddress(held);
    };
    auto member = std::make_unique<Member>();
    member->name = absl::StrCat("n", index);
    member->service = kServices.at(static_cast<std::size_t>(index) % kServices.size());
    member->callerAddress = reserve();
    member->readyAddress = reserve();
    const std::string heartbeat = reserve();
    const std::string peer = reserve();
    member->target = std::make_unique<Target>(loop_, record_, absl::StrCat("t", index), member->service,
        anyAcceptor(loop_), heartbeat, options_.seed * 100 + static_cast<std::uint64_t>(index));
    Member* raw = member.get();
    member->target->isHeldUp
        = [raw] { return relay::steadyNow() < std::max(raw->linkDisturbedUntil, raw->disturbedUntil); };
    const std::array<std::string, kLinkKinds> ends { peer, member->target->address(), store->address() };
    for (std::size_t kind = 0; kind < kLinkKinds; ++kind)
        member->links.at(kind)
            = std::make_unique<Proxy>(loop_, anyAcceptor(loop_), relay::parseEndpoint(ends.at(kind)));
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
    value["memoryMegabytes"] = kMemoryMegabytes;
    value["descriptors"] = kDescriptors;
    value["stopSeconds"] = kStopSeconds;
    value["repeatRatio"] = kBounds.repeatRatio;
    value["repeatExtra"] = kBounds.repeatExtra;
    value["repeatWindowSeconds"] = absl::ToDoubleSeconds(kBounds.repeatWindow);
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
        ++member->processNumber;
    }
}

void Fleet::disturb(Member& member, absl::Duration time)
{
    member.disturbedUntil = std::max(member.disturbedUntil, relay::steadyNow() + time + kBounds.stable);
}

void Fleet::watchProcesses()
{
    for (const auto& member : members) {
        const auto end = member->process->takeEnd();
        const absl::Time now = relay::steadyNow();
        const bool isLate = now > member->stopSentAt + absl::Seconds(kStopSeconds) + kStopSlack;
        if (isLate && now > member->disturbedUntil) {
            record_.broken("planned-stop", absl::StrCat("process=", member->name, " is still there"));
            member->isKillExpected = true;
            member->process->signal(SIGKILL);
        }
        if (!end)
            continue;
        const bool isStopped
            = member->stopSentAt != absl::InfiniteFuture() && !end->isSignalled && end->code == 0;
        const bool isKilled = member->isKillExpected && end->isSignalled && end->code == SIGKILL;
        if (!isStopped && !isKilled)
            record_.broken("processes-go-on",
                absl::StrCat("process=", member->name, end->isSignalled ? " signal=" : " code=", end->code));
        member->isKillExpected = false;
        member->stopSentAt = absl::InfiniteFuture();
        member->isReady = false;
        member->process->start();
        ++member->processNumber;
    }
}

} // namespace jackdawwall::soak
