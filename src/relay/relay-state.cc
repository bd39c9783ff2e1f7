#include "relay/relay-state.h"

namespace jackdawwall::relay {
namespace {

Member selfMember(const RelaySettings& settings)
{
    Member self;
    self.peerAddress = settings.toldPeerAddress.empty() ? settings.peerAddress : settings.toldPeerAddress;
    self.operatorAddress = settings.operatorAddress;
    self.isServing = false; // Until the target says that it is ready.
    self.service = settings.service;
    self.dataCentre = settings.dataCentre;
    return self;
}

NodeDecisions decisionsFor(const RelaySettings& settings)
{
    const absl::Time now = steadyNow();
    const std::uint64_t seed
        = stableHash(settings.process) ^ static_cast<std::uint64_t>(absl::ToUnixNanos(now));
    NodeDecisions decisions = makeNodeDecisions(selfMember(settings), seed, now);
    decisions.admission = makeAdmissionState(settings.admission);
    decisions.routing.options = settings.routing;
    return decisions;
}

std::size_t heldBodiesLimit(const RelaySettings& settings)
{
    return static_cast<std::size_t>(static_cast<double>(settings.memoryBytes) * kHeldBodiesShare);
}

GateOptions gateOptions(const RelaySettings& settings)
{
    GateOptions options;
    options.targetAddress = settings.targetAddress;
    options.nodeAddress = settings.callerAddress;
    options.names = settings.names;
    options.arrivalBudget = settings.repeats;
    return options;
}

} // namespace

RelayState::RelayState(asio::io_context& ioLoop, RelaySettings given)
    : loop(ioLoop)
    , settings(std::move(given))
    , heldBodies(heldBodiesLimit(settings))
    , pool(ioLoop)
    , decisions(decisionsFor(settings))
    , gate(decisions, pool, requestLog, metrics, gateOptions(settings))
{
}

void applySettings(RelayState& state, const RelaySettings& fresh)
{
    RelaySettings& settings = state.settings;
    settings.memoryBytes = fresh.memoryBytes;
    settings.descriptors = fresh.descriptors;
    settings.gossipInterval = fresh.gossipInterval;
    settings.stopTime = fresh.stopTime;
    settings.repeats = fresh.repeats;
    state.heldBodies.setLimit(heldBodiesLimit(settings));
    state.gate.setArrivalBudget(settings.repeats);
}

void membersChanged(RelayState& state)
{
    invalidateCandidates(state.decisions);
    state.gate.setTargetCount(routableMembers(state.decisions.membership, state.settings.service).size());
}

std::size_t rankAmongMembers(const RelayState& state)
{
    const MembershipState& membership = state.decisions.membership;
    const std::uint64_t own = mixBits(stableHash(membership.self));
    std::size_t rank = 0;
    for (const auto& [address, record] : membership.members) {
        if (record.member.status == MemberStatus::Alive && mixBits(stableHash(address)) < own)
            ++rank;
    }
    return rank;
}

const Member& selfOf(const RelayState& state)
{
    return state.decisions.membership.members.at(state.decisions.membership.self).member;
}

} // namespace jackdawwall::relay
