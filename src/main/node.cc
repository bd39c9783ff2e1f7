// jackdaw-node, the sidecar process of one target.
#include "main/command-line.h"
#include "node/catalogue-interface.h"
#include "node/claim-store.h"
#include "node/object-platform.h"
#include "node/settings.h"
#include "relay/relay-node.h"

#include <boost/asio/signal_set.hpp>
#include <tclap/CmdLine.h>

#include "absl/time/clock.h"

#include <csignal>
#include <iostream>

namespace jackdawwall {
namespace {

constexpr auto kClaimRemovalInterval = std::chrono::minutes(10);

/// Removes expired claims periodically. Only the node of rank 0 does so, on behalf of all nodes.
void scheduleClaimRemoval(
    relay::asio::steady_timer& timer, const relay::RelayNode& node, const ObjectApi& objects)
{
    timer.expires_after(kClaimRemovalInterval);
    timer.async_wait([&timer, &node, objects](const boost::system::error_code& error) {
        if (error)
            return;
        if (node.rank() == 0)
            removeExpiredClaims(objects, absl::Now(), [](int removed) {
                logEvent(LogLevel::Info, "claims-removed", { { "count", removed } });
            });
        scheduleClaimRemoval(timer, node, objects);
    });
}

void reportStart(const relay::RelaySettings& settings)
{
    logEvent(LogLevel::Info, "started",
        { { "service", settings.service }, { "caller", settings.callerAddress },
            { "peer", settings.peerAddress }, { "operator", settings.operatorAddress } });
    std::cout << "ready caller=" << settings.callerAddress << " peer=" << settings.peerAddress
              << " operator=" << settings.operatorAddress << std::endl;
}

int runNode(const NodeSettings& settings)
{
    startLog({ settings.process, settings.logPath, settings.logLevel });
    std::signal(SIGPIPE, SIG_IGN);
    relay::asio::io_context loop(1);
    ObjectApiOptions options;
    options.addresses = settings.platformAddresses;
    const ObjectApi objects = connectObjectApi(loop, options);
    relay::RelayNode node(loop, relaySettings(settings), objectPlatform(objects, settings.dataCentre),
        catalogueInterface(objects));
    reportStart(node.settings());
    relay::asio::signal_set stopSignals(loop, SIGTERM, SIGINT);
    stopSignals.async_wait([&](const boost::system::error_code& error, int /*signal*/) {
        if (!error)
            node.stop();
    });
    relay::asio::steady_timer claimTimer(loop);
    scheduleClaimRemoval(claimTimer, node, objects);
    loop.run();
    stopLog();
    return kExitOk;
}

} // namespace
} // namespace jackdawwall

int main(int argc, char** argv)
{
    using namespace jackdawwall;
    return runMain([&] {
        TCLAP::CmdLine line("Runs a jackdawwall node, the sidecar of one target.", ' ', kProgramVersion);
        TCLAP::ValueArg<std::string> file(
            "s", "settings", "Settings file, JSON with comments", false, "", "FILE", line);
        TCLAP::MultiArg<std::string> overrides("o", "set", "Overrides one setting", false, "KEY=VALUE", line);
        TCLAP::SwitchArg checkOnly("c", "check", "Validates the settings and exits", line);
        line.parse(argc, argv);
        std::vector<Finding> findings;
        const NodeSettings settings = readNodeSettings(file.getValue(), overrides.getValue(), findings);
        if (!findings.empty()) {
            std::cerr << formatFindings(findings);
            return kExitInvalid;
        }
        return checkOnly.getValue() ? kExitOk : runNode(settings);
    });
}
