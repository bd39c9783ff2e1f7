// jackdaw-node: the process beside one target.
#include "adapter/timer-service.h"
#include "main/command-line.h"
#include "node/caller-side.h"
#include "node/gossip.h"
#include "node/operator-port.h"
#include "node/platform-duty.h"
#include "node/settings.h"
#include "node/target-side.h"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>
#include <random>

namespace jackdawwall {
namespace {

constexpr std::size_t kHintRingLength = 64;
constexpr std::size_t kLongestCatalogueBytes = 1U << 20;
constexpr absl::Duration kAdmissionTick = absl::Milliseconds(10);
constexpr absl::Duration kIdleConnectionTime = absl::Seconds(8);
constexpr absl::Duration kQuietTime = absl::Milliseconds(300);
constexpr absl::Duration kDrainPoll = absl::Milliseconds(20);

/// The servers and duties of a running node, in the order in which they start.
struct NodeProcess {
    explicit NodeProcess(NodeState& state)
        : node(state)
    {
    }

    NodeState& node;
    BoundedRing<CatalogueHint> hints { kHintRingLength };
    std::unique_ptr<Gossip> gossip;
    std::unique_ptr<HttpServer> callerPort;
    std::unique_ptr<HttpServer> peerPort;
    std::unique_ptr<HttpServer> operatorPort;
    std::unique_ptr<PlatformDuty> platformDuty;
    std::unique_ptr<TimerService> timers;
};

absl::StatusOr<std::unique_ptr<HttpServer>> listen(
    const NodeState& node, const std::string& address, HttpServer::Opener opener)
{
    HttpServerOptions options;
    options.address = address;
    options.idleTimeout = node.settings.senderTimeout;
    return HttpServer::start(options, std::move(opener));
}

absl::Status startPorts(NodeProcess& process)
{
    NodeState& node = process.node;
    auto callerPort = listen(node, node.settings.callerAddress, callerSide(node));
    if (!callerPort.ok())
        return callerPort.status();
    process.callerPort = *std::move(callerPort);
    node.callerAddress = process.callerPort->address();
    auto peerPort = listen(node, node.settings.peerAddress, targetSide(node));
    if (!peerPort.ok())
        return peerPort.status();
    process.peerPort = *std::move(peerPort);
    node.peerAddress = process.peerPort->address();
    Gossip& gossip = *process.gossip;
    auto operatorPort = listen(node, node.settings.operatorAddress,
        wholeRequests(kLongestCatalogueBytes,
            [&node, &gossip](const HttpRequest& request) { return answerOperator(node, gossip, request); }));
    if (!operatorPort.ok())
        return operatorPort.status();
    process.operatorPort = *std::move(operatorPort);
    return absl::OkStatus();
}

void startMembership(NodeProcess& process)
{
    NodeState& node = process.node;
    Member self;
    self.peerAddress = node.peerAddress;
    self.incarnation = 1;
    self.service = node.settings.service;
    self.dataCentre = node.settings.dataCentre;
    self.controlAddress = process.gossip->address();
    self.operatorAddress = process.operatorPort->address();
    const absl::MutexLock lock(&node.mutex);
    std::random_device device;
    node.decisions = makeNodeDecisions(self, device(), absl::Now());
}

void startTimers(NodeProcess& process)
{
    NodeState& node = process.node;
    process.timers = std::make_unique<TimerService>();
    process.timers->subscribe(kAdmissionTick, [&node](absl::Time now) {
        const absl::MutexLock lock(&node.mutex);
        wakeReleased(node.waiters, advanceTime(node.decisions.admission, now));
    });
    process.timers->subscribe(
        absl::Seconds(1), [&node](absl::Time now) { node.pool.expire(now - kIdleConnectionTime); });
}

absl::Status startNode(NodeProcess& process)
{
    auto gossip = Gossip::start(process.node, process.hints);
    if (!gossip.ok())
        return gossip.status();
    process.gossip = *std::move(gossip);
    process.node.controlAddress = process.gossip->address();
    absl::Status ports = startPorts(process);
    if (!ports.ok())
        return ports;
    startMembership(process);
    startTimers(process);
    process.gossip->run();
    process.platformDuty = std::make_unique<PlatformDuty>(
        process.node, *process.gossip, process.hints, process.operatorPort->address());
    process.platformDuty->run();
    return absl::OkStatus();
}

void announceStart(const NodeProcess& process)
{
    const NodeState& node = process.node;
    logEvent(LogLevel::Info, "node-started",
        { { "service", node.settings.service }, { "caller", node.callerAddress },
            { "peer", node.peerAddress }, { "control", node.controlAddress },
            { "operator", process.operatorPort->address() } });
    std::cout << "ready caller=" << node.callerAddress << " peer=" << node.peerAddress
              << " control=" << node.controlAddress << " operator=" << process.operatorPort->address()
              << std::endl;
}

bool isBusy(NodeProcess& process)
{
    if (process.callerPort->active() > 0 || process.peerPort->active() > 0)
        return true;
    const absl::MutexLock lock(&process.node.mutex);
    return inFlight(process.node.decisions.admission) > 0;
}

/// Waits until nothing is in flight and nothing came for a while.
void awaitQuiet(NodeProcess& process)
{
    const absl::Time giveUp = absl::Now() + process.node.settings.drainTimeout;
    absl::Time quietSince = absl::Now();
    std::uint64_t seen = 0;
    while (absl::Now() < giveUp && absl::Now() - quietSince < kQuietTime) {
        const std::uint64_t begun = process.callerPort->begun() + process.peerPort->begun();
        if (begun != seen || isBusy(process))
            quietSince = absl::Now();
        seen = begun;
        absl::SleepFor(kDrainPoll);
    }
}

/// A planned stop: announce, serve until nobody sends new work, finish what is in flight.
void stopNode(NodeProcess& process)
{
    NodeState& node = process.node;
    logEvent(LogLevel::Info, "leave-announced", {});
    node.isLeaving = true;
    {
        const absl::MutexLock lock(&node.mutex);
        announceLeave(node.decisions.membership, absl::Now());
    }
    process.gossip->kick();
    absl::SleepFor(node.settings.leaveDelay);
    {
        const absl::MutexLock lock(&node.mutex);
        startDraining(node.decisions.admission);
    }
    logEvent(LogLevel::Info, "draining", {});
    process.callerPort->closeAfterAnswers();
    process.peerPort->closeAfterAnswers();
    awaitQuiet(process);
    process.callerPort->stop();
    process.peerPort->stop();
    process.platformDuty->stop();
    process.gossip->stop();
    process.timers->stop();
    process.operatorPort->stop();
    logEvent(LogLevel::Info, "node-stopped", {});
}

int runNode(NodeSettings settings)
{
    startLog({ settings.process, settings.logPath, settings.logLevel });
    const sigset_t signals = blockStopSignals();
    NodeState node(std::move(settings));
    NodeProcess process(node);
    const absl::Status started = startNode(process);
    if (!started.ok()) {
        std::cerr << started.message() << "\n";
        return kExitFailed;
    }
    announceStart(process);
    awaitStopSignal(signals);
    stopNode(process);
    stopLog();
    return kExitOk;
}

} // namespace
} // namespace jackdawwall

int main(int argc, char** argv)
{
    using namespace jackdawwall;
    return runMain([&] {
        TCLAP::CmdLine line("The jackdawwall process beside one target.", ' ', kProgramVersion);
        TCLAP::ValueArg<std::string> file(
            "s", "settings", "JSON settings with comments", false, "", "FILE", line);
        TCLAP::MultiArg<std::string> overrides("o", "set", "Overrides one setting", false, "KEY=VALUE", line);
        TCLAP::SwitchArg checkOnly("c", "check", "Only checks the settings", line);
        line.parse(argc, argv);
        std::vector<Finding> findings;
        NodeSettings settings = readNodeSettings(file.getValue(), overrides.getValue(), findings);
        if (!findings.empty()) {
            std::cerr << formatFindings(findings);
            return kExitInvalid;
        }
        return checkOnly.getValue() ? kExitOk : runNode(std::move(settings));
    });
}
