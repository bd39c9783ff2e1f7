#include "relay/relay-state.h"

namespace jackdawwall::relay {
namespace {

Member initialMember(const RelaySettings& settings)
{
    Member self;
    self.peerAddress
        = settings.advertisedPeerAddress.empty() ? settings.peerAddress : settings.advertisedPeerAddress;
    self.operatorAddress = settings.operatorAddress;
    self.isServing = false; // Until the target reports that it is ready.
    self.service = settings.service;
    self.dataCentre = settings.dataCentre;
    return self;
}

NodeDecisions initialDecisions(const RelaySettings& settings)
{
    const absl::Time now = steadyNow();
    const std::uint64_t seed
        = stableHash(settings.process) ^ static_cast<std::uint64_t>(absl::ToUnixNanos(now));
    NodeDecisions decisions = makeNodeDecisions(initialMember(settings), seed, now);
    decisions.admission = makeAdmissionState(settings.admission);
    decisions.routing.options = settings.routing;
    return decisions;
}

std::size_t memoryShare(const RelaySettings& settings, double share)
{
    return static_cast<std::size_t>(static_cast<double>(settings.memoryBytes) * share);
}

GateOptions gateOptions(const RelaySettings& settings)
{
    GateOptions options;
    options.targetAddress = settings.targetAddress;
    options.nodeAddress = settings.callerAddress;
    options.names = settings.names;
    options.arrivalBudget = settings.arrivalBudget;
    return options;
}

} // namespace

RelayState::RelayState(asio::io_context& ioLoop, RelaySettings initialSettings)
    : loop(ioLoop)
    , settings(std::move(initialSettings))
    , held(memoryShare(settings, kHeldShare))
    , heldForCallers(memoryShare(settings, kHeldShare * kCallerHeldShare), &held)
    , bufferedResponses(memoryShare(settings, kBufferedBodiesShare), &held)
    , pool(ioLoop, &bufferedResponses)
    , decisions(initialDecisions(settings))
    , gate(decisions, pool, requestLog, metrics, gateOptions(settings))
{
    pool.setSlowReader(parseEndpoint(settings.targetAddress));
}

void applySettings(RelayState& state, const RelaySettings& newSettings)
{
    RelaySettings& settings = state.settings;
    settings.memoryBytes = newSettings.memoryBytes;
    settings.descriptors = newSettings.descriptors;
    settings.gossipInterval = newSettings.gossipInterval;
    settings.configurationApplyTime = newSettings.configurationApplyTime;
    settings.stopTime = newSettings.stopTime;
    settings.arrivalBudget = newSettings.arrivalBudget;
    settings.limitSlack = newSettings.limitSlack;
    state.held.setLimit(memoryShare(settings, kHeldShare));
    state.heldForCallers.setLimit(memoryShare(settings, kHeldShare * kCallerHeldShare));
    state.bufferedResponses.setLimit(memoryShare(settings, kBufferedBodiesShare));
    state.gate.setArrivalBudget(settings.arrivalBudget);
}

void membersChanged(RelayState& state)
{
    invalidateCandidates(state.decisions);
    state.gate.setTargetCount(routableMembers(state.decisions.membership, state.settings.service).size());
}

const Member& localMember(const RelayState& state)
{
    return state.decisions.membership.members.at(state.decisions.membership.self).member;
}

} // namespace jackdawwall::relay
